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
	maxInFlight = 1024
	// firstBackoff and lastBackoff bound the pause after a failed order.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
	// refusedLimit is the number of refusals after which a load is given up.
	maxRefusals = 3
)

// slotKey names a slot of an engine.
type slotKey struct {
	engine string
	slot   envdoc.Slot
}

// attempt is what became of the orders for a slot.
type orderAttempts struct {
	inFlight bool
	// failures counts since the last success, refusals those of them that the
	// engine refused.
	failures int
	refusals int
	// serial makes a new order id where the last one has been carried out or
	// refused without the wanted effect.
	idSerial int
	// next is when the next order may be sent.
	nextAt time.Time
}

// orderID is the id to send. An engine carries an id out once, so that the same
// id is only sent again while its effect is unknown.
func (a *orderAttempts) orderID(id string) string {
	if a.idSerial == 0 {
		return id
	}
	return id + "." + strconv.Itoa(a.idSerial)
}

// failed sets the pause before the next order.
func (a *orderAttempts) recordFailure(now time.Time, random *rand.Rand) {
	pause := min(minBackoff<<min(a.failures, 10), maxBackoff)
	a.failures++
	a.nextAt = now.Add(pause/2 + time.Duration(random.Int64N(int64(pause))))
}

// result is the end of a send or of a question.
type result struct {
	key slotKey
	// charge is the order id in the row, which order may have a variant of.
	chargeOrder string
	order       engine.Order
	answer      engine.OrderAnswer
	err         error
	// question is set for the answer to a question.
	sender *grantSender
	void   bool
}

// send delivers an order in a goroutine of its own, if the grant allows. The id
// of o is that of the charge.
func (l *loop) sendOrder(ctx context.Context, e *engineView, grant string, o engine.Order) bool {
	chargeOrder := o.ID
	d := l.duty
	d.mu.Lock()
	allowed := !d.leaving && l.inFlight < maxInFlight && d.gate.Begin(grant)
	d.mu.Unlock()
	if !allowed {
		return false
	}
	o.Sender = d.config.Instance
	key := slotKey{e.vm.ID, o.Slot}
	a := l.attemptsFor(key)
	a.inFlight = true
	o.ID = a.orderID(chargeOrder)
	l.inFlight++
	l.countLoad(o, 1)
	d.deps.Scope.Counter("orders_sent").Inc(1)
	d.deps.Events.Add(event.Event{Kind: event.OrderSent, Model: o.Slot.Model, VM: e.vm.ID, Text: string(o.Kind) + " " + o.Slot.String()})
	address := e.vm.Address
	d.tomb.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, d.orderTimeout)
		defer cancel()
		answer, err := d.deps.Orderer.Order(callCtx, address, o)
		d.mu.Lock()
		d.gate.End(grant, err == nil || code.Of(err) == code.BackendFailed, time.Now())
		d.mu.Unlock()
		d.results <- result{key: key, chargeOrder: chargeOrder, order: o, answer: answer, err: err}
		d.wake()
		return nil
	})
	return true
}

// count keeps the numbers of loads in transit.
func (l *loop) countLoad(o engine.Order, delta int) {
	switch {
	case o.Kind != engine.OrderLoad:
	case o.Slot.Adapter == "":
		l.modelLoads += delta
	default:
		l.adapterLoads += delta
	}
}

// attempt returns the record of a slot's orders.
func (l *loop) attemptsFor(key slotKey) *orderAttempts {
	a := l.attempts[key]
	if a == nil {
		a = &orderAttempts{}
		l.attempts[key] = a
	}
	return a
}

// collect takes the ends of sends and questions.
func (l *loop) collectResults(now time.Time) {
	for {
		select {
		case r := <-l.duty.results:
			l.inFlight--
			if r.sender != nil {
				l.handleQueryResult(r, now)
				continue
			}
			l.handleOrderResult(r, now)
		default:
			return
		}
	}
}

// ended takes the end of a send.
func (l *loop) handleOrderResult(r result, now time.Time) {
	l.countLoad(r.order, -1)
	a := l.attemptsFor(r.key)
	a.inFlight = false
	e := l.engines[r.key.engine]
	switch {
	case r.err != nil:
		a.recordFailure(now, l.duty.random)
	case r.answer.Status == engine.OrderDone:
		*a = orderAttempts{idSerial: a.idSerial, nextAt: a.nextAt}
		if e != nil {
			e.recordConfirmation(r.chargeOrder, r.order, r.answer, now)
		}
	case r.answer.Status == engine.OrderFenced:
		a.recordFailure(now, l.duty.random)
		a.idSerial++
		r.err = code.Errorf(code.OrderRefused, "engine %s refused fence %d, has %d", r.key.engine, r.order.Fence, r.answer.Fence)
		if r.answer.Fence > r.order.Fence {
			l.ledger.writable = false
			l.duty.keeper.Doubt()
		}
	default:
		a.recordFailure(now, l.duty.random)
		a.refusals++
		a.idSerial++
		r.err = code.Errorf(code.OrderRefused, "engine %s refused: %s", r.key.engine, r.answer.Reason)
	}
	l.recordOrderResult(r)
}

// tell puts the end of a send on the time line and in the log.
func (l *loop) recordOrderResult(r result) {
	d := l.duty
	orderText := string(r.order.Kind) + " " + r.order.Slot.String()
	d.deps.Events.Add(event.Event{
		Kind: event.OrderResolved, Model: r.order.Slot.Model, VM: r.key.engine,
		Code: int(code.Of(r.err)), Text: orderText + " " + string(r.answer.Status),
	})
	if r.err != nil {
		d.deps.Scope.Counter("orders_failed").Inc(1)
		d.deps.Log.Warn("order_failed", zap.String("vm", r.key.engine), zap.String("order", orderText), zap.Error(r.err))
	}
}
