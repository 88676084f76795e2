package engsim

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// loadedSlot is the state of a slot that is resident in memory.
type loadedSlot struct {
	memory int64
	// users is the number of generations that use the slot.
	users int
	// unloadOrders are the unload orders that wait until users is 0.
	unloadOrders []*orderRecord
}

// pendingLoad is a load in progress and the orders that wait for it.
type pendingLoad struct {
	memory int64
	orders []*orderRecord
}

// orderRecord is an order and its answer. done is closed when the order has
// ended; lost is set when it ended without an answer.
type orderRecord struct {
	order  engine.Order
	done   chan struct{}
	lost   bool
	answer engine.OrderResult
}

// abandon ends the order without an answer, unless it has ended before.
func (r *orderRecord) abandon() {
	select {
	case <-r.done:
	default:
		r.lost = true
		close(r.done)
	}
}

// Order carries out an order and returns its answer. Orders with the same ID are
// carried out once per instance.
func (e *Engine) Order(ctx context.Context, o engine.Order) (engine.OrderResult, error) {
	action := e.faultAt("order_"+string(o.Kind), o.ID)
	switch action.Kind {
	case fault.Down:
		return engine.OrderResult{}, code.Errorf(code.BackendFailed, "engine is down")
	case fault.Drop:
		return engine.OrderResult{}, code.Errorf(code.OrderUnknown, "no answer to the order")
	case fault.Refuse:
		return e.rejectOrder(o), nil
	case fault.Restart:
		e.Restart()
	case fault.Delay:
		return e.delayOrder(ctx, action.Delay, o)
	case fault.Duplicate:
		e.repeatOrder(action.Delay, o)
	case fault.Lost:
		e.accept(o)
		return engine.OrderResult{}, code.Errorf(code.OrderUnknown, "no answer to the order")
	}
	return e.awaitAnswer(ctx, e.accept(o))
}

// rejectOrder returns a rejection for an order that the engine does not carry
// out.
func (e *Engine) rejectOrder(o engine.Order) engine.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.OrderResult{ID: o.ID, Status: engine.OrderRejected, Reason: "refused", Fence: e.instance.fence, Instance: e.instance.id}
}

// delayOrder accepts an order after a delay, even if the sender has given up by
// then.
func (e *Engine) delayOrder(ctx context.Context, delay time.Duration, o engine.Order) (engine.OrderResult, error) {
	arrived := make(chan *orderRecord, 1)
	time.AfterFunc(delay, func() { arrived <- e.accept(o) })
	select {
	case r := <-arrived:
		return e.awaitAnswer(ctx, r)
	case <-ctx.Done():
		return engine.OrderResult{}, code.Errorf(code.OrderUnknown, "no answer to the order: %w", ctx.Err())
	}
}

// repeatOrder delivers a second copy of an order after a delay.
func (e *Engine) repeatOrder(delay time.Duration, o engine.Order) {
	time.AfterFunc(delay, func() { e.accept(o) })
}

// awaitAnswer waits for the answer to an order.
func (e *Engine) awaitAnswer(ctx context.Context, r *orderRecord) (engine.OrderResult, error) {
	select {
	case <-ctx.Done():
		return engine.OrderResult{}, code.Errorf(code.OrderUnknown, "no answer to the order: %w", ctx.Err())
	case <-r.done:
	}
	if r.lost {
		return engine.OrderResult{}, code.Errorf(code.OrderUnknown, "engine restarted before it answered the order")
	}
	return r.answer, nil
}

// accept starts an order, or returns the existing record of an order with the
// same ID.
func (e *Engine) accept(o engine.Order) *orderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.instance.orders[o.ID]; ok {
		e.counters.duplicateOrders++
		return r
	}
	r := &orderRecord{order: o, done: make(chan struct{})}
	e.instance.orders[o.ID] = r
	e.counters.orders++
	if e.checkFence(o) {
		e.counters.fencedOrders++
		e.completeOrder(r, engine.OrderFenced, "fence")
		return r
	}
	switch o.Kind {
	case engine.OrderLoad:
		e.startLoad(r)
	case engine.OrderUnload:
		e.startUnload(r)
	case engine.OrderRole:
		e.instance.role = o.Role
		e.completeOrder(r, engine.OrderDone, "")
	case engine.OrderFence:
		e.completeOrder(r, engine.OrderDone, "")
	default:
		e.completeOrder(r, engine.OrderRejected, "unknown kind")
	}
	return r
}

// checkFence reports whether the engine must refuse the order because its
// fencing number is lower than the engine's, and otherwise sets the engine's
// number to the order's. An engine that ignores fencing stores no number. e.mu is
// held.
func (e *Engine) checkFence(o engine.Order) bool {
	if e.config.Fencing != store.FencingRefuses {
		return false
	}
	if o.Fence < e.instance.fence {
		return true
	}
	e.instance.fence = o.Fence
	return false
}

// completeOrder ends an order with an answer. e.mu is held.
func (e *Engine) completeOrder(r *orderRecord, s engine.OrderStatus, reason string) {
	if s == engine.OrderRejected {
		e.counters.rejectedOrders++
	}
	r.answer = engine.OrderResult{
		ID:       r.order.ID,
		Status:   s,
		Reason:   reason,
		Fence:    e.instance.fence,
		Instance: e.instance.id,
	}
	close(r.done)
}

// startLoad starts to load a slot. An order for a slot that is already being
// loaded waits for that load. e.mu is held.
func (e *Engine) startLoad(r *orderRecord) {
	slot := r.order.Slot
	if loaded, ok := e.instance.resident[slot]; ok {
		if len(loaded.unloadOrders) > 0 {
			e.completeOrder(r, engine.OrderRejected, "unloading")
			return
		}
		e.completeOrder(r, engine.OrderDone, "")
		return
	}
	if pending, ok := e.instance.loading[slot]; ok {
		pending.orders = append(pending.orders, r)
		return
	}
	if slot.Adapter != "" && !e.instance.hasModel(slot.Model) {
		e.completeOrder(r, engine.OrderRejected, "the adapter's model is not loaded")
		return
	}
	if used := e.instance.used(); used+r.order.MemoryMB > e.config.MemoryMB {
		e.counters.recordOvercommit(e.config, slot, used, r.order.MemoryMB)
		e.completeOrder(r, engine.OrderRejected, "out of memory")
		return
	}
	e.instance.loading[slot] = &pendingLoad{memory: r.order.MemoryMB, orders: []*orderRecord{r}}
	e.counters.recordPeak(e.instance.used())
	inst := e.instance
	go func() {
		err := e.weights.Load(inst.ctx, slot)
		e.finishLoad(inst, slot, err)
	}()
}

// finishLoad ends the load of a slot and answers the orders that wait for it. It
// does nothing when inst has been replaced by a restart.
func (e *Engine) finishLoad(inst *instance, slot envdoc.Slot, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance != inst {
		return
	}
	load := inst.loading[slot]
	delete(inst.loading, slot)
	status, reason := engine.OrderDone, ""
	switch {
	case err != nil:
		status, reason = engine.OrderRejected, err.Error()
	case slot.Adapter != "" && !inst.hasModel(slot.Model):
		status, reason = engine.OrderRejected, "the adapter's model was unloaded"
	default:
		inst.resident[slot] = &loadedSlot{memory: load.memory}
		e.counters.countLoad(slot)
	}
	for _, r := range load.orders {
		e.completeOrder(r, status, reason)
	}
}

// startUnload marks a slot for removal. The slot is removed when no generation
// uses it. e.mu is held.
func (e *Engine) startUnload(r *orderRecord) {
	slot := r.order.Slot
	if _, ok := e.instance.loading[slot]; ok {
		e.completeOrder(r, engine.OrderRejected, "loading")
		return
	}
	loaded, ok := e.instance.resident[slot]
	if !ok {
		e.completeOrder(r, engine.OrderDone, "")
		return
	}
	loaded.unloadOrders = append(loaded.unloadOrders, r)
	e.finishUnload(slot)
}

// finishUnload removes a slot that is marked for removal and that no generation
// uses. When the last version of a model is removed, its adapters are removed
// with it. e.mu is held.
func (e *Engine) finishUnload(slot envdoc.Slot) {
	loaded := e.instance.resident[slot]
	if loaded == nil || len(loaded.unloadOrders) == 0 || loaded.users > 0 {
		return
	}
	delete(e.instance.resident, slot)
	e.counters.countUnload(slot)
	for _, r := range loaded.unloadOrders {
		e.completeOrder(r, engine.OrderDone, "")
	}
	if slot.Adapter != "" || e.instance.hasModel(slot.Model) {
		return
	}
	for s := range e.instance.resident {
		if s.Model == slot.Model {
			delete(e.instance.resident, s)
			e.counters.countUnload(s)
		}
	}
}

// used returns the memory of resident slots and loads in progress, in MB.
func (i *instance) used() int64 {
	var used int64
	for _, r := range i.resident {
		used += r.memory
	}
	for _, p := range i.loading {
		used += p.memory
	}
	return used
}

// hasModel reports whether any version of a model is resident.
func (i *instance) hasModel(model string) bool {
	return i.baseModel(model) != nil
}

// baseModel returns any resident version of a model, without adapter, or nil
// when there is none.
func (i *instance) baseModel(model string) *loadedSlot {
	for s, r := range i.resident {
		if s.Model == model && s.Adapter == "" {
			return r
		}
	}
	return nil
}
