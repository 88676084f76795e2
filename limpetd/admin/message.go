// Package admin implements the operators' interface of a daemon: the messages, the
// HTTP server and the client.
//
// Every daemon answers every operator call; it fetches data of other daemons from
// them. Each call requires the bearer token of a declared operator and is recorded
// in the timeline with the operator's name.
//
// # Usage
//
//	c := admin.NewClient("https://10.0.0.7:8082", token)
//	accepted, err := c.Apply(ctx, admin.Submission{ID: id, File: "andesoft.yaml", Body: body})
//	status, err := c.Status(ctx)
package admin

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/event"
)

// Submission is a request to apply an environment document.
type Submission struct {
	// ID is chosen by the client and makes the submission idempotent.
	ID string `json:"id"`
	// File is the file name of the document, for error messages.
	File string `json:"file"`
	Body string `json:"body"`
	// AllowUntried allows a document in production that was not tried in the trial
	// stage.
	AllowUntried bool `json:"untried,omitempty"`
}

// Promotion is a request to put the document that is in force in the trial stage
// into the production stage.
type Promotion struct {
	ID string `json:"id"`
	// Digest is the digest of the tried document. The promotion is refused if
	// another document is in force in the trial stage.
	Digest string `json:"digest"`
}

// Accepted confirms a submission or a promotion.
type Accepted struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Repeated reports whether the submission had already been accepted before
	// this call.
	Repeated bool `json:"repeated,omitempty"`
}

// Daemon is the state of a daemon as reported by the daemon itself or by its peers.
type Daemon struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	// Revision is the revision of the document in force on the daemon.
	Revision int64 `json:"revision"`
	// Level is the feature level of the daemon's release; see envdoc.FeatureLevel.
	Level   int  `json:"level"`
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Reasons are the names of the codes that state why the daemon is not ready.
	Reasons []string `json:"reasons,omitempty"`
}

// Engine is the state of an engine in the data centre of the called daemon. CommittedMB is
// the memory that the ledger charges to the engine. Slots is the number of models and
// adapters in the engine's last report, which was measured at ReportedAt. Unconfirmed is the
// number of charges that the engine has not confirmed. SetAside is why the engine gets no
// orders; empty if it gets orders.
type Engine struct {
	VM          string    `json:"vm"`
	State       string    `json:"state"`
	MemoryMB    int64     `json:"memory_mb"`
	CommittedMB int64     `json:"committed_mb"`
	Slots       int       `json:"slots"`
	Unconfirmed int       `json:"unresolved"`
	SetAside    string    `json:"set_aside,omitempty"`
	ReportedAt  time.Time `json:"reported_at,omitzero"`
}

// Status is the response to a status call. Daemon is the VM of the called daemon; Revision,
// Digest and InFlight describe that daemon. LeaseHolder and Fence are the VM and the fencing
// token of the lease holder in its data centre.
type Status struct {
	Environment string   `json:"environment"`
	Stage       string   `json:"stage"`
	Daemon      string   `json:"daemon"`
	Revision    int64    `json:"revision"`
	Digest      string   `json:"digest"`
	DataCentre  string   `json:"data_centre"`
	LeaseHolder string   `json:"lease_holder"`
	Fence       int64    `json:"fence"`
	InFlight    int      `json:"inflight"`
	Daemons     []Daemon `json:"daemons"`
	Engines     []Engine `json:"engines"`
}

// Move is a planned load or unload of a model or adapter, with its reason.
type Move struct {
	Kind string `json:"kind"`
	// Engine is the VM of the engine. Slot is model@version or model/adapter@version.
	Engine string `json:"engine"`
	Slot   string `json:"slot"`
	// Rule is the name of the placement rule that is the reason.
	Rule string `json:"rule"`
	// Gain and Cost are fractions of an engine's capacity, multiplied by the weights of
	// the document.
	Gain float64 `json:"gain"`
	Cost float64 `json:"cost"`
}

// Plan is the response to a plan call. Notes name the declared models and
// adapters that cannot be placed, and why.
type Plan struct {
	DataCentre string   `json:"data_centre"`
	Moves      []Move   `json:"moves"`
	Notes      []string `json:"notes,omitempty"`
}

// Events is the response to an events call: the merged timeline of the daemons.
type Events struct {
	Events []event.Event `json:"events"`
	// Missing are the daemons that did not answer, whose events are missing.
	Missing []string `json:"missing,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}

// DrainRequest is a request that a VM leaves.
type DrainRequest struct {
	// VM is the VM of a daemon or of a backend server.
	VM string `json:"vm"`
	// Cancel cancels the drain of a backend server.
	Cancel bool `json:"stay,omitempty"`
}
