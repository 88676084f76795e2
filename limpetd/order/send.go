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
	// maxInFlight bounds the orders and sender queries in flight.
	maxInFlight = 1024
	// minBackoff and maxBackoff bound the pause after a failed order. The actual pause
	// is a random time between half of this and one and a half times as long.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
	// maxRefusals is the number of refusals after which placement gives up a load.
	maxRefusals = 3
)

// slotKey identifies a slot of an engine.
type slotKey struct {
	engine string
	slot   envdoc.Slot
}

// orderAttempts records the attempts to send orders for a slot.
type orderAttempts struct {
	inFlight bool
	// failures counts the failed attempts since the last success, and refusals those
	// that the engine refused.
	failures int
	refusals int
	// idSerial is appended to the order id. It grows when the last id was carried out
	// or refused without the intended effect.
	idSerial int
	// nextAt is when the next order may be sent.
	nextAt time.Time
}

// orderID returns the id to send. Since an engine carries out an id once, the same id
// is sent again only while its effect is unknown.
func (a *orderAttempts) orderID(id string) string {
	if a.idSerial == 0 {
		return id
	}
	return id + "." + strconv.Itoa(a.idSerial)
}

// recordFailure counts a failure and sets the pause before the next order.
func (a *orderAttempts) recordFailure(now time.Time, random *rand.Rand) {
	pause := min(minBackoff<<min(a.failures, 10), maxBackoff)
	a.failures++
	a.nextAt = now.Add(pause/2 + time.Duration(random.Int64N(int64(pause))))
}

// result is the outcome of an order or of a sender query.
type result struct {
	key slotKey
	// chargeOrder is the order id in the charge; the id of order may have a suffix.
	chargeOrder string
	order       engine.Order
	answer      engine.OrderResult
	err         error
	// sender is set for the answer to a sender query.
	sender *grantSender
	// void is whether the sender answered that the grant is void.
	void bool
}

// sendOrder sends an order in a new goroutine if the grant allows it. The id of o is
// the order id in the charge.
func (l *loop) sendOrder(ctx context.Context, e *engineView, grant string, o engine.Order) bool {
	chargeOrder := o.ID
	d := l.controller
	d.mu.Lock()
	allowed := !d.leaving && l.inFlight < maxInFlight && d.sendTracker.BeginSend(grant)
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
		answer, err := d.deps.OrderSender.Order(callCtx, address, o)
		d.mu.Lock()
		d.sendTracker.EndSend(grant, err == nil || code.Of(err) == code.BackendFailed, time.Now())
		d.mu.Unlock()
		d.results <- result{key: key, chargeOrder: chargeOrder, order: o, answer: answer, err: err}
		d.wake()
		return nil
	})
	return true
}

// countLoad updates the numbers of loads in flight.
func (l *loop) countLoad(o engine.Order, delta int) {
	switch {
	case o.Kind != engine.OrderLoad:
	case o.Slot.Adapter == "":
		l.modelLoads += delta
	default:
		l.adapterLoads += delta
	}
}

// attemptsFor returns the record of a slot's orders.
func (l *loop) attemptsFor(key slotKey) *orderAttempts {
	a := l.attempts[key]
	if a == nil {
		a = &orderAttempts{}
		l.attempts[key] = a
	}
	return a
}

// collectResults processes the results of orders and sender queries.
func (l *loop) collectResults(now time.Time) {
	for {
		select {
		case r := <-l.controller.results:
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

// handleOrderResult processes the result of an order.
func (l *loop) handleOrderResult(r result, now time.Time) {
	l.countLoad(r.order, -1)
	a := l.attemptsFor(r.key)
	a.inFlight = false
	e := l.engines[r.key.engine]
	switch {
	case r.err != nil:
		a.recordFailure(now, l.controller.random)
	case r.answer.Status == engine.OrderDone:
		*a = orderAttempts{idSerial: a.idSerial, nextAt: a.nextAt}
		if e != nil {
			e.recordConfirmation(r.chargeOrder, r.order, r.answer, now)
		}
	case r.answer.Status == engine.OrderFenced:
		a.recordFailure(now, l.controller.random)
		a.idSerial++
		r.err = code.Errorf(code.OrderRefused, "engine %s refused fencing number %d, its own is %d", r.key.engine, r.order.Fence, r.answer.Fence)
		if r.answer.Fence > r.order.Fence {
			l.cache.writable = false
			l.controller.keeper.Invalidate()
		}
	default:
		a.recordFailure(now, l.controller.random)
		a.refusals++
		a.idSerial++
		r.err = code.Errorf(code.OrderRefused, "engine %s refused the order: %s", r.key.engine, r.answer.Reason)
	}
	l.recordOrderResult(r)
}

// recordOrderResult emits metrics, an event and a log line for the result of an order.
func (l *loop) recordOrderResult(r result) {
	d := l.controller
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
