package order

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// orderFault is a fault in the delivery of an order.
type orderFault int

const (
	orderDelivered orderFault = iota
	// orderUnreachable means no connection to the engine; orderLost, neither effect nor
	// answer; orderUnanswered, an effect without an answer; orderDuplicated, a second
	// delivery after orderDelay; orderDelayed, a delivery after the sender has given
	// up.
	orderUnreachable
	orderLost
	orderUnanswered
	orderDuplicated
	orderDelayed
)

// orderDelay is the delay of delayed and duplicated orders. It is below the connection
// lifetime of the tests.
const orderDelay = 4 * time.Second

// fakeEngine is an engine that carries out every order, even beyond its memory, and
// records the peak of its memory use.
type fakeEngine struct {
	mu           sync.Mutex
	vm           store.VM
	loadTime     time.Duration
	fault        func(o engine.Order) orderFault
	restarts     int
	sequence     int64
	slots        map[envdoc.Slot]int64
	answers      map[string]engine.OrderResult
	fence        int64
	peakMB       int64
	loadArrivals int
	loads        int
	unloads      int
	alterReport  func(r *engine.Report)
	simulation   *simulation
	role         engine.Role
}

func (e *fakeEngine) instance() string { return fmt.Sprintf("%s#%d", e.vm.ID, e.restarts) }

// restart starts a new engine process without slots.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restarts++
	e.sequence, e.fence = 0, 0
	e.slots, e.answers = map[envdoc.Slot]int64{}, map[string]engine.OrderResult{}
}

// apply carries out an order and records the unload of a last replica.
func (e *fakeEngine) apply(o engine.Order) engine.OrderResult {
	resident := e.holds(o.Slot)
	a := e.applyOnce(o)
	if resident && o.Kind == engine.OrderUnload && a.Status == engine.OrderDone {
		e.simulation.recordUnload(o.Slot)
	}
	return a
}

// applyOnce carries out an order unless its id was carried out or refused before.
func (e *fakeEngine) applyOnce(o engine.Order) engine.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, ok := e.answers[o.ID]; ok {
		return a
	}
	a := engine.OrderResult{ID: o.ID, Status: engine.OrderDone, Instance: e.instance()}
	if e.vm.Fencing == store.FencingRefuses {
		if o.Fence < e.fence {
			a.Status, a.Fence = engine.OrderFenced, e.fence
			e.answers[o.ID] = a
			return a
		}
		e.fence = o.Fence
	}
	a.Fence = e.fence
	switch o.Kind {
	case engine.OrderRole:
		e.role = o.Role
	case engine.OrderLoad:
		if _, ok := e.slots[o.Slot]; !ok {
			e.loads++
		}
		e.slots[o.Slot] = o.MemoryMB
	case engine.OrderUnload:
		if _, ok := e.slots[o.Slot]; ok {
			e.unloads++
		}
		delete(e.slots, o.Slot)
	}
	e.peakMB = max(e.peakMB, e.used())
	e.answers[o.ID] = a
	return a
}

func (e *fakeEngine) used() int64 {
	var sum int64
	for _, m := range e.slots {
		sum += m
	}
	return sum
}

// holdsModel reports whether any version of a model is resident.
func (e *fakeEngine) holdsModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.slots {
		if s.Model == model && s.Adapter == "" {
			return true
		}
	}
	return false
}

func (e *fakeEngine) holds(slot envdoc.Slot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.slots[slot]
	return ok
}

func (e *fakeEngine) setFault(fault func(o engine.Order) orderFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

func (e *fakeEngine) setAlterReport(alter func(r *engine.Report)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alterReport = alter
}

// moves counts the loaded and unloaded slots.
func (e *fakeEngine) moves() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads + e.unloads
}

// loadsArrived counts the load orders that arrived, duplicates included.
func (e *fakeEngine) loadsArrived() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadArrivals
}

func (e *fakeEngine) report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	r := engine.Report{
		VM: e.vm.ID, Instance: e.instance(), Sequence: e.sequence, MeasuredAt: time.Now(),
		MemoryMB: e.vm.MemoryMB, UsedMB: min(e.used(), e.vm.MemoryMB), BatchLimit: 8, Role: e.role,
	}
	for s := range e.slots {
		r.Slots = append(r.Slots, s)
	}
	slices.SortFunc(r.Slots, func(a, b envdoc.Slot) int { return strings.Compare(a.String(), b.String()) })
	if e.alterReport != nil {
		e.alterReport(&r)
	}
	return r
}

func (e *fakeEngine) deliver(ctx context.Context, o engine.Order) (engine.OrderResult, error) {
	e.mu.Lock()
	fault, delay := orderDelivered, e.loadTime
	if o.Kind == engine.OrderLoad {
		e.loadArrivals++
	}
	if e.fault != nil {
		fault = e.fault(o)
	}
	e.mu.Unlock()
	errUnknown := code.Errorf(code.OrderUnknown, "no answer")
	switch fault {
	case orderUnreachable:
		return engine.OrderResult{}, code.Errorf(code.BackendFailed, "no connection")
	case orderLost:
		return engine.OrderResult{}, errUnknown
	case orderDelayed:
		time.AfterFunc(orderDelay, func() { e.apply(o) })
		return engine.OrderResult{}, errUnknown
	case orderDuplicated:
		time.AfterFunc(orderDelay, func() { e.apply(o) })
	}
	if o.Kind != engine.OrderLoad {
		delay = 0
	}
	if o.Slot.Adapter != "" {
		delay /= 100
	}
	if o.Kind == engine.OrderLoad {
		e.simulation.countLoading(o.Slot, 1)
		defer e.simulation.countLoading(o.Slot, -1)
	}
	select {
	case <-ctx.Done():
		time.AfterFunc(time.Second, func() { e.apply(o) })
		return engine.OrderResult{}, errUnknown
	case <-time.After(delay):
	}
	a := e.apply(o)
	if fault == orderUnanswered || fault == orderDuplicated {
		return engine.OrderResult{}, errUnknown
	}
	return a, nil
}
