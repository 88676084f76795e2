// Package admin is the operators' interface of a daemon: its messages, its
// HTTP server and its client.
//
// Any daemon answers any operator call; what needs other daemons is fetched
// from them. Each call needs a bearer token of a declared operator and is
// recorded in the time line with the operator's name.
//
// # Usage
//
//	c := admin.NewClient("https://10.0.0.7:8082", token)
//	accepted, err := c.Apply(ctx, "andesoft.yaml", body, submission)
//	status, err := c.Status(ctx)
package admin

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/event"
)

// Submission is an environment document to apply.
type Submission struct {
	// ID makes the submission idempotent; the client chooses it.
	ID string `json:"id"`
	// File is the name that errors show.
	File string `json:"file"`
	Body string `json:"body"`
	// Untried lets production take a document that was not tried.
	Untried bool `json:"untried,omitempty"`
}

// Promotion puts the document that is in force in the trial stage into the
// production stage.
type Promotion struct {
	ID string `json:"id"`
	// Digest is the digest that was tried; no other is promoted.
	Digest string `json:"digest"`
}

// Accepted confirms a submission or a promotion.
type Accepted struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Repeated tells that the submission had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Daemon is the state of a daemon as its peers or it itself tell it.
type Daemon struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	Revision   int64  `json:"revision"`
	Level      int    `json:"level"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving"`
	// Reasons are the names of the codes for which it is not ready.
	Reasons []string `json:"reasons,omitempty"`
}

// Engine is the state of an engine in the data centre of the daemon asked.
type Engine struct {
	VM          string    `json:"vm"`
	State       string    `json:"state"`
	MemoryMB    int64     `json:"memory_mb"`
	CommittedMB int64     `json:"committed_mb"`
	Slots       int       `json:"slots"`
	Unresolved  int       `json:"unresolved"`
	SetAside    string    `json:"set_aside,omitempty"`
	ReportedAt  time.Time `json:"reported_at,omitzero"`
}

// Status is the answer to a status call.
type Status struct {
	Environment string   `json:"environment"`
	Stage       string   `json:"stage"`
	Daemon      string   `json:"daemon"`
	Revision    int64    `json:"revision"`
	Digest      string   `json:"digest"`
	DataCentre  string   `json:"data_centre"`
	LeaseHolder string   `json:"lease_holder"`
	Fence       int64    `json:"fence"`
	Inflight    int      `json:"inflight"`
	Daemons     []Daemon `json:"daemons"`
	Engines     []Engine `json:"engines"`
}

// Move is a planned load or unload with its reason.
type Move struct {
	Kind   string  `json:"kind"`
	Engine string  `json:"engine"`
	Slot   string  `json:"slot"`
	Rule   string  `json:"rule"`
	Gain   float64 `json:"gain"`
	Cost   float64 `json:"cost"`
}

// Plan is the answer to a plan call.
type Plan struct {
	DataCentre string   `json:"data_centre"`
	Moves      []Move   `json:"moves"`
	Notes      []string `json:"notes,omitempty"`
}

// Events is the answer to an events call: the merged time line.
type Events struct {
	Events []event.Event `json:"events"`
	// Missing lists the daemons that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// Fault is the body of an error.
type Fault struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}

// Drain asks that a VM leaves.
type Drain struct {
	// VM runs a daemon or is a backend server.
	VM string `json:"vm"`
	// Stay takes back the drain of a backend server.
	Stay bool `json:"stay,omitempty"`
}
