package order

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
)

const (
	// maxRunning bounds the orders and questions that run at once.
	maxRunning = 1024
	// firstBackoff and lastBackoff bound the pause after a failed order.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 30 * time.Second
	// refusedLimit is the number of refusals after which a load is given up.
	refusedLimit = 3
)

// slotKey names a slot of an engine.
type slotKey struct {
	engine string
	slot   envdoc.Slot
}

// attempt is what became of the orders for a slot.
type attempt struct {
	running bool
	// failures counts since the last success, refusals those of them that the
	// engine refused.
	failures int
	refusals int
	// serial makes a new order id where the last one has been carried out or
	// refused without the wanted effect.
	serial int
	// next is when the next order may be sent.
	next time.Time
}

// orderID is the id to send. An engine carries an id out once, so that the same
// id is only sent again while its effect is unknown.
func (a *attempt) orderID(id string) string {
	if a.serial == 0 {
		return id
	}
	return id + "." + strconv.Itoa(a.serial)
}

// failed sets the pause before the next order.
func (a *attempt) failed(now time.Time, random *rand.Rand) {
	pause := min(firstBackoff<<min(a.failures, 10), lastBackoff)
	a.failures++
	a.next = now.Add(pause/2 + time.Duration(random.Int64N(int64(pause))))
}

// result is the end of a send or of a question.
type result struct {
	key slotKey
	// charge is the order id in the row, which order may have a variant of.
	charge string
	order  engine.Order
	answer engine.OrderAnswer
	err    error
	// question is set for the answer to a question.
	question *question
	settled  bool
}

// send delivers an order in a goroutine of its own, if the grant allows. The id
// of o is that of the charge.
func (l *loop) send(ctx context.Context, k *knowledge, grant string, o engine.Order) bool {
	charge := o.ID
	d := l.duty
	d.mu.Lock()
	allowed := !d.left && l.running < maxRunning && d.gate.Begin(grant)
	d.mu.Unlock()
	if !allowed {
		return false
	}
	o.Sender = d.config.Instance
	key := slotKey{k.vm.ID, o.Slot}
	a := l.attempt(key)
	a.running = true
	o.ID = a.orderID(charge)
	l.running++
	l.count(o, 1)
	d.deps.Scope.Counter("orders_sent").Inc(1)
	d.deps.Events.Add(event.Event{Kind: event.OrderSent, Model: o.Slot.Model, VM: k.vm.ID, Text: string(o.Kind) + " " + o.Slot.String()})
	address := k.vm.Address
	d.tomb.Go(func() error {
		call, cancel := context.WithTimeout(ctx, d.orderTimeout)
		defer cancel()
		answer, err := d.deps.Orderer.Order(call, address, o)
		d.mu.Lock()
		d.gate.End(grant, err == nil || code.Of(err) == code.BackendFailed, time.Now())
		d.mu.Unlock()
		d.results <- result{key: key, charge: charge, order: o, answer: answer, err: err}
		d.wake()
		return nil
	})
	return true
}

// count keeps the numbers of loads in transit.
func (l *loop) count(o engine.Order, n int) {
	switch {
	case o.Kind != engine.OrderLoad:
	case o.Slot.Adapter == "":
		l.models += n
	default:
		l.adapters += n
	}
}

// attempt returns the record of a slot's orders.
func (l *loop) attempt(key slotKey) *attempt {
	a := l.attempts[key]
	if a == nil {
		a = &attempt{}
		l.attempts[key] = a
	}
	return a
}

// collect takes the ends of sends and questions.
func (l *loop) collect(now time.Time) {
	for {
		select {
		case r := <-l.duty.results:
			l.running--
			if r.question != nil {
				l.answered(r, now)
				continue
			}
			l.ended(r, now)
		default:
			return
		}
	}
}

// ended takes the end of a send.
func (l *loop) ended(r result, now time.Time) {
	l.count(r.order, -1)
	a := l.attempt(r.key)
	a.running = false
	k := l.known[r.key.engine]
	switch {
	case r.err != nil:
		a.failed(now, l.duty.random)
	case r.answer.Status == engine.OrderDone:
		*a = attempt{serial: a.serial, next: a.next}
		if k != nil {
			k.confirmed(r.charge, r.order, r.answer, now)
		}
	case r.answer.Status == engine.OrderFenced:
		a.failed(now, l.duty.random)
		a.serial++
		r.err = code.Errorf(code.OrderRefused, "engine %s refused fence %d, has %d", r.key.engine, r.order.Fence, r.answer.Fence)
		if r.answer.Fence > r.order.Fence {
			l.books.fresh = false
			l.duty.keeper.Doubt()
		}
	default:
		a.failed(now, l.duty.random)
		a.refusals++
		a.serial++
		r.err = code.Errorf(code.OrderRefused, "engine %s refused: %s", r.key.engine, r.answer.Reason)
	}
	l.tell(r)
}

// tell puts the end of a send on the time line and in the log.
func (l *loop) tell(r result) {
	d := l.duty
	what := string(r.order.Kind) + " " + r.order.Slot.String()
	d.deps.Events.Add(event.Event{
		Kind: event.OrderResolved, Model: r.order.Slot.Model, VM: r.key.engine,
		Code: int(code.Of(r.err)), Text: what + " " + string(r.answer.Status),
	})
	if r.err != nil {
		d.deps.Scope.Counter("orders_failed").Inc(1)
		d.deps.Log.Warn("order_failed", zap.String("vm", r.key.engine), zap.String("order", what), zap.Error(r.err))
	}
}
