// Package place decides which engine of a data centre holds which model and
// adapter.
//
// A Planner compares the models and adapters that the document declares with those
// that the engines hold, and returns the few moves (loads and unloads) that lead from
// the current state to the declared state. Its rules, in descending priority:
//
//   - Every declared model is reachable in at least one data centre.
//   - Every declared model is reachable in this data centre if memory allows.
//   - Versions change make-before-break: the new version is loaded before the old
//     version is unloaded.
//   - The number of replicas follows demand.
//
// The last resident replica of a declared model in the data centre is unloaded only if a
// data centre with a higher priority for the model also holds the model. A move for
// demand requires that its gain exceeds its cost, both weighted by the document. It also
// requires that the dwell time since the last such load of the model has passed, unless
// the demand is a burst.
//
// A Planner is deterministic: the same sequence of inputs results in the same plans. It
// starts no goroutine and reads no clock.
//
// # Usage
//
//	p := place.NewPlanner()
//	plan := p.Plan(place.Input{Now: now, Document: doc, Engines: engines, ...})
//	for _, m := range plan.Moves { ... } // charge the slot, then order the move
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
	// Loading means that memory is charged for the slot, but the engine has not
	// reported the slot as loaded.
	Loading State = iota
	// Resident means that the engine has loaded the slot.
	Resident
	// Unloading means that memory stays charged until an unload is confirmed.
	Unloading
	// Refused means that memory is charged, but the engine has repeatedly refused the
	// load.
	Refused
)

// ChargedSlot is a slot for which memory of an engine is charged.
type ChargedSlot struct {
	Slot     envdoc.Slot
	MemoryMB int64
	State    State
	// ChargedAt is when the memory was charged.
	ChargedAt time.Time
}

// Engine describes an engine with its slots.
type Engine struct {
	VM       string
	Pool     string
	MemoryMB int64
	// Usable is false for an engine that is leaving, doesn't report or is set aside.
	// An unusable engine gets no loads, and its slots don't count as replicas.
	Usable bool
	// TokensPerSecond is the capacity of the engine.
	TokensPerSecond float64
	// Load is the measured fraction of the capacity in use; above 1, requests wait.
	Load  float64
	Slots []ChargedSlot
	// RefusedModels are the models whose load the engine recently refused.
	RefusedModels []string
}

// Remote describes what another data centre holds.
type Remote struct {
	DataCentre string
	// Models are the names of the models resident there, sorted.
	Models []string
	// WithAdapters are the names of the models resident there with all their adapters, sorted.
	WithAdapters []string
	// Incomplete is whether the data centre may hold more than Models and WithAdapters list.
	Incomplete bool
	// Engines are the engines of the data centre, or empty if unknown. Where memory is
	// scarce, data centres with known engines divide the models among themselves
	// according to the memory of all engines.
	Engines []EngineMemory
	// QueriedAt is the time at which the data centre was queried, or zero without an answer.
	QueriedAt time.Time
}

// EngineMemory is the memory of one engine of a pool.
type EngineMemory struct {
	Pool     string
	MemoryMB int64
}

// Input is the input of a plan. Apart from it, a plan depends only on the
// planner's record of earlier demand and moves.
type Input struct {
	Now        time.Time
	Document   *envdoc.Document
	DataCentre string
	// Engines are the engines of the data centre, sorted by VM ID.
	Engines []Engine
	// Remotes are the other data centres, sorted by name.
	Remotes []Remote
	Demand  []member.ModelDemand
	// Saturated is whether the weight store is at its limit. Loads for demand then
	// wait.
	Saturated bool
}

// Kind is the kind of a move.
type Kind string

// The kinds of moves.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Rule is the reason for a move.
type Rule string

// The rules, in descending priority.
const (
	RuleReachable      Rule = "reachable"
	RuleAdapter        Rule = "adapter_reachable"
	RuleReplicas       Rule = "min_replicas"
	RuleVersion        Rule = "version"
	RuleUndeclared     Rule = "undeclared"
	RuleRefused        Rule = "refused"
	RuleMakeRoom       Rule = "make_room"
	RuleRelocate       Rule = "relocate"
	RuleDemand         Rule = "demand"
	RuleBurst          Rule = "burst"
	RuleDemandEviction Rule = "demand_space"
)

// Move is a load or an unload of a slot.
type Move struct {
	Kind     Kind        `json:"kind"`
	Engine   string      `json:"engine"`
	Slot     envdoc.Slot `json:"slot"`
	MemoryMB int64       `json:"memory_mb"`
	Rule     Rule        `json:"rule"`
	// Gain and Cost are fractions of an engine's capacity, multiplied by the weights of
	// the document. Moves that keep a model reachable are made at any cost and have gain
	// 0.
	Gain float64 `json:"gain"`
	Cost float64 `json:"cost"`
}

// BlockedSlot is a declared slot that can't be placed, with the reason.
type BlockedSlot struct {
	Slot   envdoc.Slot `json:"slot"`
	Code   code.Code   `json:"code"`
	Reason string      `json:"reason"`
}

// Plan holds the moves to start now, in order, and the slots that can't be placed.
type Plan struct {
	Moves   []Move        `json:"moves"`
	Blocked []BlockedSlot `json:"blocked,omitempty"`
}
