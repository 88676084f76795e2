// Package matrix tests the system with a matrix of injected faults: every fault
// at every step of a scenario, singly, in pairs and twice.
//
// A cell of the matrix runs several daemons, made of the real packages, against
// the stand-ins, in one process and in fake time. Each step has a named injection
// point. When the step is taken for the n-th time, the cell's fault is injected;
// the seed determines n. The checks are the invariants of the system. They read
// what the stand-ins and the callers recorded and which revision each daemon has
// in force, never the state that the daemons assume.
//
// # Usage
//
//	go test ./limpetlab/matrix -v            # single faults and a sample of the rest
//	go test ./limpetlab/matrix -v -full      # every cell
//	go test ./limpetlab/matrix -run 'TestMatrix/order/late$' -seed 7
package matrix

import (
	"context"
	"strings"
)

// Step is a point of the scenario at which faults are injected.
type Step string

// The steps of the scenario.
const (
	Claim    Step = "claim"    // a write of the claim of a keyed call
	Dispatch Step = "dispatch" // a request sent to a backend server
	Relay    Step = "relay"    // a frame of an engine's stream
	Ledger   Step = "ledger"   // a write to the ledger of orders
	Order    Step = "order"    // an order sent to an engine
	Lease    Step = "lease"    // a write of the lease
	Apply    Step = "apply"    // a write of the trial environment's revision
	Promote  Step = "promote"  // a write of production's revision
	TakeUp   Step = "take_up"  // a read of a document
	Join     Step = "join"     // any message of a daemon that joins
	Leave    Step = "leave"    // any message of a daemon that leaves
	Batch    Step = "batch"    // a write of a batch
)

// Steps lists all steps.
var Steps = []Step{Claim, Dispatch, Relay, Ledger, Order, Lease, Apply, Promote, TakeUp, Join, Leave, Batch}

// Fault is a fault that is injected at a step.
type Fault string

// The faults. The first four affect the message of the step. The others affect
// the daemon that takes the step, the platform's services, or the whole fleet.
const (
	Lost       Fault = "lost"           // the message does not arrive
	Late       Fault = "late"           // the message arrives late
	Doubled    Fault = "doubled"        // the message arrives twice
	AnswerLost Fault = "answer_lost"    // the message arrives but its answer does not
	Dies       Fault = "dies"           // the daemon dies
	Pause      Fault = "pause"          // the daemon is paused
	StoreDown  Fault = "store_down"     // the platform's services are unreachable
	StoreSlow  Fault = "store_slow"     // the platform's services answer late
	Partition  Fault = "partition"      // the daemon's data centre is partitioned
	VMLeaves   Fault = "vm_leaves"      // the platform takes the daemon's VM away
	Race       Fault = "operators_race" // two operators change the same model at once
	Demand     Fault = "demand_jumps"   // the demand for one model jumps
)

// Faults lists all faults.
var Faults = []Fault{Lost, Late, Doubled, AnswerLost, Dies, Pause, StoreDown, StoreSlow, Partition, VMLeaves, Race, Demand}

// Cell is one entry of the matrix: a step and the faults that are injected
// there, in order. A fault that is listed twice is injected twice.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Name returns the name of the cell's test, for example "lease/pause".
func (c Cell) Name() string {
	names := make([]string, 0, len(c.Faults))
	for _, f := range c.Faults {
		names = append(names, string(f))
	}
	return string(c.Step) + "/" + strings.Join(names, "+")
}

// Singles returns one cell for each fault at each step.
func Singles() []Cell {
	var cells []Cell
	for _, s := range Steps {
		for _, f := range Faults {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}})
		}
	}
	return cells
}

// Pairs returns the cells with two faults at one step: each two different
// faults, and each fault twice.
func Pairs() []Cell {
	var cells []Cell
	for _, s := range Steps {
		for i, f := range Faults {
			for _, g := range Faults[i:] {
				cells = append(cells, Cell{Step: s, Faults: []Fault{f, g}})
			}
		}
	}
	return cells
}

// Impossible returns the reason why the cell can't occur, or "" if the cell can
// occur.
func (c Cell) Impossible() string {
	for _, f := range c.Faults {
		if r := impossibleReason(c.Step, f); r != "" {
			return r
		}
	}
	return ""
}

// impossibleReason returns the reason why a fault can't occur at a step, or ""
// if the fault can occur there.
func impossibleReason(s Step, f Fault) string {
	if f == Doubled {
		switch s {
		case TakeUp:
			return "the step only reads a document, and a repeated read has no effect"
		case Relay:
			return ""
		}
	}
	return ""
}

// contextProvider is the part of testing.TB that Run needs. The cell ends when
// the context is done.
type contextProvider interface {
	Context() context.Context
}
