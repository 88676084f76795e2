// Package matrix is the fault matrix: every fault at every step, singly,
// together and twice.
//
// A cell runs the real packages of the daemon, several daemons of them, against
// the stand-ins in process and in fake time. A named injection point sits at
// each step; when a step is reached for the n-th time the cell's fault strikes.
// The checkers are the promises of the system. They read what the stand-ins and
// the callers saw, never what the daemons believe.
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

// Step is an injection point.
type Step string

// The steps.
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

// Steps are all steps.
var Steps = []Step{Claim, Dispatch, Relay, Ledger, Order, Lease, Apply, Promote, TakeUp, Join, Leave, Batch}

// Fault is what strikes at a step.
type Fault string

// The faults. The first four befall the message of the step, the others the
// daemon that takes the step, the platform, or the whole.
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

// Faults are all faults.
var Faults = []Fault{Lost, Late, Doubled, AnswerLost, Dies, Pause, StoreDown, StoreSlow, Partition, VMLeaves, Race, Demand}

// Cell is an entry of the matrix: faults that strike at a step, one after the
// other. A fault that stands twice strikes twice.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Name returns the name of the cell's test.
func (c Cell) Name() string {
	names := make([]string, 0, len(c.Faults))
	for _, f := range c.Faults {
		names = append(names, string(f))
	}
	return string(c.Step) + "/" + strings.Join(names, "+")
}

// Singles returns a cell for each fault at each step.
func Singles() []Cell {
	var cells []Cell
	for _, s := range Steps {
		for _, f := range Faults {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}})
		}
	}
	return cells
}

// Pairs returns the cells of two faults at a step: each two together, and each
// twice.
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

// Impossible returns why a cell can't occur; empty when it can.
func (c Cell) Impossible() string {
	for _, f := range c.Faults {
		if r := impossible(c.Step, f); r != "" {
			return r
		}
	}
	return ""
}

// impossible returns why a fault can't strike at a step.
func impossible(s Step, f Fault) string {
	if f == Doubled {
		switch s {
		case TakeUp:
			return "taking a document up only reads, and a doubled read has no effect"
		case Relay:
			return ""
		}
	}
	return ""
}

// contextProvider gives the context that ends a cell.
type contextProvider interface {
	Context() context.Context
}
