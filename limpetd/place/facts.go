// Package place decides which engine of a data centre holds which model and
// adapter.
//
// A Planner compares what the document declares with what the engines hold and
// returns the few moves that lead from one to the other. Its rules, the first
// ones first: every declared model is reachable somewhere; it is reachable in
// the data centre where memory allows; versions change by making the new slot
// before breaking the old one; replicas follow demand. The last resident
// replica of a declared model is never given up. A move for demand needs a gain
// over its cost, both weighed by the document, and a dwell time since the last.
//
// A Planner is deterministic: the same facts in the same order give the same
// plans. It starts no goroutine and reads no clock.
//
// # Usage
//
//	p := place.NewPlanner()
//	plan := p.Plan(place.Facts{Now: now, Document: doc, Engines: engines, ...})
//	for _, m := range plan.Moves { ... } // charge, then order
package place

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

// State is the state of a slot on an engine.
type State int

// The states of a slot.
const (
	// Loading means charged, and not known to be loaded.
	Loading State = iota
	// Resident means loaded.
	Resident
	// Unloading means charged until an unload is confirmed.
	Unloading
	// Refused means charged, and refused by the engine again and again.
	Refused
)

// Slot is a charged slot of an engine.
type Slot struct {
	Slot     envdoc.Slot
	MemoryMB int64
	State    State
	// Since is when the slot was charged.
	Since time.Time
}

// Engine is what placement knows of an engine.
type Engine struct {
	VM       string
	Pool     string
	MemoryMB int64
	// Usable is false for an engine that is leaving, silent or set aside: it
	// gets no loads and its slots count for nothing.
	Usable bool
	// TokensPerSecond is the capacity of the engine.
	TokensPerSecond float64
	// Load is the measured part of the capacity in use; above 1 requests wait.
	Load  float64
	Slots []Slot
	// Refuses are the models that the engine refused to load lately.
	Refuses []string
}

// Remote is what another data centre holds.
type Remote struct {
	DataCentre string
	// Models are those resident there, sorted.
	Models []string
	// Whole are those of them that are there with all their adapters, sorted.
	Whole []string
	// Unknown tells that it may hold more.
	Unknown bool
	// Engines are its engines. Where memory is scarce, data centres that know
	// each other's engines share the models out by them.
	Engines []Memory
	// At is when the data centre told it.
	At time.Time
}

// Memory is that of an engine of a pool.
type Memory struct {
	Pool     string
	MemoryMB int64
}

// Facts are all that a plan depends on, besides the planner's memory of demand.
type Facts struct {
	Now        time.Time
	Document   *envdoc.Document
	DataCentre string
	// Engines are those of the data centre, in the order of VM ids.
	Engines []Engine
	// Remotes are the other data centres, in the order of names.
	Remotes []Remote
	Demand  []member.ModelDemand
	// Saturated tells that the weight store is at its limit: loads for demand
	// wait.
	Saturated bool
}

// Kind is what a move does.
type Kind string

// The kinds of move.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Rule names why a move is made.
type Rule string

// The rules, in the order of their rank.
const (
	RuleReachable   Rule = "reachable"
	RuleAdapter     Rule = "adapter_reachable"
	RuleReplicas    Rule = "min_replicas"
	RuleVersion     Rule = "version"
	RuleUndeclared  Rule = "undeclared"
	RuleRefused     Rule = "refused"
	RuleMakeRoom    Rule = "make_room"
	RuleRelocate    Rule = "relocate"
	RuleDemand      Rule = "demand"
	RuleBurst       Rule = "burst"
	RuleDemandSpace Rule = "demand_space"
)

// Move is a load or an unload.
type Move struct {
	Kind     Kind        `json:"kind"`
	Engine   string      `json:"engine"`
	Slot     envdoc.Slot `json:"slot"`
	MemoryMB int64       `json:"memory_mb"`
	Rule     Rule        `json:"rule"`
	// Gain and Cost are in weighed parts of an engine's capacity. Moves that
	// keep a model reachable are made at any cost and have gain 0.
	Gain float64 `json:"gain"`
	Cost float64 `json:"cost"`
}

// Blocked tells of a declared slot that can't be placed.
type Blocked struct {
	Slot   envdoc.Slot `json:"slot"`
	Code   code.Code   `json:"code"`
	Reason string      `json:"reason"`
}

// Plan is the moves to make now, in order, and what can't be placed.
type Plan struct {
	Moves   []Move    `json:"moves"`
	Blocked []Blocked `json:"blocked,omitempty"`
}
