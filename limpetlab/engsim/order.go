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

// residence is a slot in memory.
type residence struct {
	memory int64
	// users counts the generations that use the slot.
	users int
	// unload are the orders that wait for the last user.
	unload []*orderRecord
}

// loading is a load under way.
type loading struct {
	memory int64
	orders []*orderRecord
}

// orderRecord is an order with its answer.
type orderRecord struct {
	order  engine.Order
	done   chan struct{}
	lost   bool
	answer engine.OrderAnswer
}

// lose ends a record without an answer.
func (r *orderRecord) lose() {
	select {
	case <-r.done:
	default:
		r.lost = true
		close(r.done)
	}
}

// Order carries out an order, once for its id, and returns its answer.
func (e *Engine) Order(ctx context.Context, o engine.Order) (engine.OrderAnswer, error) {
	a := e.fault("order_"+string(o.Kind), o.ID)
	switch a.Kind {
	case fault.Down:
		return engine.OrderAnswer{}, code.Errorf(code.BackendFailed, "the engine is down")
	case fault.Drop:
		return engine.OrderAnswer{}, code.Errorf(code.OrderUnknown, "no answer")
	case fault.Refuse:
		return e.refuse(o), nil
	case fault.Restart:
		e.Restart()
	case fault.Delay:
		return e.late(ctx, a.Delay, o)
	case fault.Duplicate:
		e.again(a.Delay, o)
	case fault.Lost:
		e.accept(o)
		return engine.OrderAnswer{}, code.Errorf(code.OrderUnknown, "no answer")
	}
	return e.await(ctx, e.accept(o))
}

// refuse answers an order without effect.
func (e *Engine) refuse(o engine.Order) engine.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.OrderAnswer{ID: o.ID, Status: engine.OrderRejected, Reason: "refused", Fence: e.life.fence, Instance: e.life.id}
}

// late lets an order arrive after d, also when its sender has given up.
func (e *Engine) late(ctx context.Context, d time.Duration, o engine.Order) (engine.OrderAnswer, error) {
	arrived := make(chan *orderRecord, 1)
	time.AfterFunc(d, func() { arrived <- e.accept(o) })
	select {
	case r := <-arrived:
		return e.await(ctx, r)
	case <-ctx.Done():
		return engine.OrderAnswer{}, code.Errorf(code.OrderUnknown, "no answer: %w", ctx.Err())
	}
}

// again lets an order arrive once more after d.
func (e *Engine) again(d time.Duration, o engine.Order) {
	time.AfterFunc(d, func() { e.accept(o) })
}

// await waits for the answer of an order.
func (e *Engine) await(ctx context.Context, r *orderRecord) (engine.OrderAnswer, error) {
	select {
	case <-ctx.Done():
		return engine.OrderAnswer{}, code.Errorf(code.OrderUnknown, "no answer: %w", ctx.Err())
	case <-r.done:
	}
	if r.lost {
		return engine.OrderAnswer{}, code.Errorf(code.OrderUnknown, "the engine restarted")
	}
	return r.answer, nil
}

// accept begins an order unless its id is known.
func (e *Engine) accept(o engine.Order) *orderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.life.orders[o.ID]; ok {
		e.books.duplicateOrders++
		return r
	}
	r := &orderRecord{order: o, done: make(chan struct{})}
	e.life.orders[o.ID] = r
	e.books.orders++
	if e.fenced(o) {
		e.books.fencedOrders++
		e.answer(r, engine.OrderFenced, "fence")
		return r
	}
	switch o.Kind {
	case engine.OrderLoad:
		e.load(r)
	case engine.OrderUnload:
		e.unload(r)
	case engine.OrderRole:
		e.life.role = o.Role
		e.answer(r, engine.OrderDone, "")
	case engine.OrderFence:
		e.answer(r, engine.OrderDone, "")
	default:
		e.answer(r, engine.OrderRejected, "unknown kind")
	}
	return r
}

// fenced tells whether the order's fence is old, and raises the engine's fence.
// An engine that ignores fences keeps none. e.mu is held.
func (e *Engine) fenced(o engine.Order) bool {
	if e.config.Fencing != store.FencingRefuses {
		return false
	}
	if o.Fence < e.life.fence {
		return true
	}
	e.life.fence = o.Fence
	return false
}

// answer ends an order. e.mu is held.
func (e *Engine) answer(r *orderRecord, s engine.OrderStatus, reason string) {
	if s == engine.OrderRejected {
		e.books.rejectedOrders++
	}
	r.answer = engine.OrderAnswer{
		ID:       r.order.ID,
		Status:   s,
		Reason:   reason,
		Fence:    e.life.fence,
		Instance: e.life.id,
	}
	close(r.done)
}

// load begins a load. e.mu is held.
func (e *Engine) load(r *orderRecord) {
	slot := r.order.Slot
	if held, ok := e.life.resident[slot]; ok {
		if len(held.unload) > 0 {
			e.answer(r, engine.OrderRejected, "unloading")
			return
		}
		e.answer(r, engine.OrderDone, "")
		return
	}
	if l, ok := e.life.loading[slot]; ok {
		l.orders = append(l.orders, r)
		return
	}
	if slot.Adapter != "" && !e.life.holdsModel(slot.Model) {
		e.answer(r, engine.OrderRejected, "the adapter's model is not loaded")
		return
	}
	if used := e.life.used(); used+r.order.MemoryMB > e.config.MemoryMB {
		e.books.overcommit(e.config, slot, used, r.order.MemoryMB)
		e.answer(r, engine.OrderRejected, "out of memory")
		return
	}
	e.life.loading[slot] = &loading{memory: r.order.MemoryMB, orders: []*orderRecord{r}}
	e.books.peak(e.life.used())
	l := e.life
	go func() {
		err := e.weights.Load(l.ctx, slot)
		e.loaded(l, slot, err)
	}()
}

// loaded ends the load of a slot in the life l.
func (e *Engine) loaded(l *instance, slot envdoc.Slot, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l {
		return
	}
	load := l.loading[slot]
	delete(l.loading, slot)
	status, reason := engine.OrderDone, ""
	switch {
	case err != nil:
		status, reason = engine.OrderRejected, err.Error()
	case slot.Adapter != "" && !l.holdsModel(slot.Model):
		status, reason = engine.OrderRejected, "the adapter's model was unloaded"
	default:
		l.resident[slot] = &residence{memory: load.memory}
		e.books.loaded(slot)
	}
	for _, r := range load.orders {
		e.answer(r, status, reason)
	}
}

// unload begins the removal of a slot; it ends when its last user has ended.
// e.mu is held.
func (e *Engine) unload(r *orderRecord) {
	slot := r.order.Slot
	if _, ok := e.life.loading[slot]; ok {
		e.answer(r, engine.OrderRejected, "loading")
		return
	}
	held, ok := e.life.resident[slot]
	if !ok {
		e.answer(r, engine.OrderDone, "")
		return
	}
	held.unload = append(held.unload, r)
	e.finishUnload(slot)
}

// finishUnload removes a slot that is to be unloaded and has no user. The
// adapters of a model go with its last version. e.mu is held.
func (e *Engine) finishUnload(slot envdoc.Slot) {
	held := e.life.resident[slot]
	if held == nil || len(held.unload) == 0 || held.users > 0 {
		return
	}
	delete(e.life.resident, slot)
	e.books.unloaded(slot)
	for _, r := range held.unload {
		e.answer(r, engine.OrderDone, "")
	}
	if slot.Adapter != "" || e.life.holdsModel(slot.Model) {
		return
	}
	for s := range e.life.resident {
		if s.Model == slot.Model {
			delete(e.life.resident, s)
			e.books.unloaded(s)
		}
	}
}

// used returns the memory of resident slots and loads under way.
func (l *instance) used() int64 {
	var used int64
	for _, r := range l.resident {
		used += r.memory
	}
	for _, n := range l.loading {
		used += n.memory
	}
	return used
}

// holdsModel tells whether any version of a model is resident.
func (l *instance) holdsModel(model string) bool {
	return l.base(model) != nil
}

// base returns the residence of a model in any version, nil when there is none.
func (l *instance) base(model string) *residence {
	for s, r := range l.resident {
		if s.Model == model && s.Adapter == "" {
			return r
		}
	}
	return nil
}
