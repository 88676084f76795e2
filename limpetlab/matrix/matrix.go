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
	Claim    Step = "claim"
	Dispatch Step = "dispatch"
	Relay    Step = "relay"
	Ledger   Step = "ledger"
	Order    Step = "order"
	Lease    Step = "lease"
	Apply    Step = "apply"
	Promote  Step = "promote"
	TakeUp   Step = "take_up"
	Join     Step = "join"
	Leave    Step = "leave"
	Batch    Step = "batch"
)

// Steps lists all steps.
var Steps = []Step{Claim, Dispatch, Relay, Ledger, Order, Lease, Apply, Promote, TakeUp, Join, Leave, Batch}

// Fault is a fault that is injected at a step.
type Fault string

// The faults. The first four affect the message of the step. The others affect
// the daemon that takes the step, the platform's services, or the whole fleet.
const (
	Lost       Fault = "lost"
	Late       Fault = "late"
	Doubled    Fault = "doubled"
	AnswerLost Fault = "answer_lost"
	Dies       Fault = "dies"
	Pause      Fault = "pause"
	StoreDown  Fault = "store_down"
	StoreSlow  Fault = "store_slow"
	Partition  Fault = "partition"
	VMLeaves   Fault = "vm_leaves"
	Race       Fault = "operators_race"
	Demand     Fault = "demand_jumps"
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
