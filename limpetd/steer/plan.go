package steer

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/stock"
)

// plan plans and sends orders while this daemon is the steerer.
func (s *Steerer) plan(ctx context.Context) {
	b := newBooks(0, time.Now())
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	words := time.NewTicker(wordPeriod)
	defer words.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-s.reports:
			now := time.Now()
			b.demand.add(t, now)
			s.learnPace(&t)
			b.loads.by[t.VM] = daemonLoads{at: now, loads: t.Loads}
			if !t.urgent() {
				continue
			}
		case f := <-s.results:
			f(b)
		case <-s.wake:
		case <-ticker.C:
		case <-words.C:
			s.flush(b, time.Now())
			continue
		}
		b = s.step(ctx, b, time.Now())
	}
}

// learnPace takes in how fast engines are.
func (s *Steerer) learnPace(t *told) {
	s.deps.Listener.Learn(t.Samples)
	for service, n := range t.Streams {
		s.deps.Listener.Streamed(service, n.Ended, n.Paused)
	}
}

func newBooks(fence int64, now time.Time) *books {
	return &books{
		demand: demand{rates: map[slot]*rate{}},
		views:  map[string]*view{},
		stores: bucket{unanswered: map[string]time.Time{}},
		loads:  loads{by: map[string]daemonLoads{}},
		fence:  fence,
		since:  now,
	}
}

// urgent tells whether calls wait.
func (t *told) urgent() bool {
	for _, n := range t.Waiting {
		if n > 0 {
			return true
		}
	}
	return false
}

// step makes one plan; with a new lease it starts with new books.
func (s *Steerer) step(ctx context.Context, b *books, now time.Time) *books {
	if !s.Holds() {
		return b
	}
	s.mu.Lock()
	fence, config, servers := s.lease.Row().Fence, s.config, s.servers
	away := !s.lease.Valid(s.deps.Clock())
	s.mu.Unlock()
	if fence != b.fence {
		fresh := newBooks(fence, now)
		fresh.demand, fresh.loads = b.demand, b.loads
		b = fresh
	}
	if config == nil || now.Sub(b.since) < s.settings.Quiet {
		return b
	}
	b.stores.burst = storeBurst
	if away {
		b.stores.burst = awayBurst
	}
	b.know(servers, config)
	s.ask(ctx, b, now)
	for _, service := range config.Services {
		if service.Engines == nil {
			continue
		}
		b.stores.perSecond = service.Engines.LoadsPerSecond
		facts := b.facts(service, now)
		for model, n := range facts.Demand {
			n.Work *= s.deps.Listener.PerToken(service.Name, model).Seconds()
		}
		s.order(ctx, b, stock.Plan(facts), now)
	}
	s.publish(b)
	return b
}

// ask asks engines for their state where it is unknown.
func (s *Steerer) ask(ctx context.Context, b *books, now time.Time) {
	for id, v := range b.views {
		due := !v.known || v.loading != "" || v.unloading != ""
		if !due || v.sending || now.Before(v.next) || v.server.State != layout.Ready {
			continue
		}
		v.sending = true
		server := v.server
		s.tomb.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			r, err := s.deps.Engines.Report(ctx, server)
			s.result(func(b *books) { s.reported(b, id, server, r, err) })
			return nil
		})
	}
}

// reported notes a report of an engine.
func (s *Steerer) reported(b *books, id string, server *layout.Server, r Report, err error) {
	now := time.Now()
	v := b.views[id]
	if v == nil || !v.server.Same(server) {
		return
	}
	v.sending = false
	if err != nil {
		s.failed(v, now, err)
		return
	}
	v.reported(r, now)
	if v.known {
		delete(b.stores.unanswered, id)
	}
	s.deps.Log.Info("engine_reported", zap.String("engine", id), zap.Int64("state", r.State), zap.Bool("busy", r.Busy), zap.Int("models", len(r.Models)), zap.Bool("known", v.known))
}

// failed notes that an engine was not reached.
func (s *Steerer) failed(v *view, now time.Time, err error) {
	if v.failing.IsZero() {
		v.failing = now
		s.deps.Log.Info("engine_lost", zap.String("engine", v.server.ID), zap.Error(err))
	}
	v.unknown(now, reportRetry)
}

// order sends the orders of a plan: those to one engine one after the other.
func (s *Steerer) order(ctx context.Context, b *books, orders []stock.Order, now time.Time) {
	byEngine := map[string][]stock.Order{}
	for _, o := range orders {
		byEngine[o.Engine] = append(byEngine[o.Engine], o)
	}
	for id, list := range byEngine {
		v := b.views[id]
		if v == nil || v.sending {
			continue
		}
		v.sending = true
		for _, o := range list {
			if o.Unload && o.Adapter == "" {
				v.closing[o.Model] = true
				v.promised, v.promisedUntil = o.For, now.Add(promiseFor)
			}
			if o.FromStore {
				b.stores.level--
			}
		}
		server, state, fence := v.server, v.state, b.fence
		s.tomb.Go(func() error {
			s.send(ctx, server, state, fence, list)
			return nil
		})
	}
}

// send sends orders to an engine until one is not accepted.
func (s *Steerer) send(ctx context.Context, server *layout.Server, state, fence int64, list []stock.Order) {
	var arriving []slot
	for _, o := range list {
		if o.Unload && o.Adapter == "" {
			life.Sleep(ctx, closeDelay)
		}
		if !s.Holds() {
			break
		}
		within, cancel := context.WithTimeout(ctx, orderTimeout)
		answer, err := s.deps.Engines.Order(within, server, Order{
			Unload: o.Unload, Model: o.Model, Adapter: o.Adapter, State: state, Holder: s.settings.Self.VM, Fence: fence,
		})
		cancel()
		s.deps.Scope.Counter("orders").Inc(1)
		s.deps.Log.Info("order_sent", zap.String("engine", server.ID), zap.Bool("unload", o.Unload), zap.String("model", o.Model),
			zap.String("adapter", o.Adapter), zap.String("reason", string(o.Reason)), zap.Bool("from_store", o.FromStore),
			zap.Int64("state", state), zap.Int64("fence", fence), zap.Int("answer", int(answer)), zap.Error(err))
		moved := err == nil && (answer == Accepted || answer == Already && o.Unload)
		if moved {
			state++
		}
		if moved && o.Adapter != "" && !o.Unload {
			arriving = append(arriving, slot{server.Service, o.Model, o.Adapter})
		}
		s.result(func(b *books) { s.ordered(b, server, o, answer, err) })
		if err != nil || answer != Accepted && answer != Already {
			break
		}
	}
	if len(arriving) > 0 {
		life.Sleep(ctx, adapterDelay)
	}
	s.result(func(b *books) {
		if v := b.views[server.ID]; v != nil && v.server.Same(server) {
			v.sending = false
			for _, a := range arriving {
				delete(v.arriving, a.Model+"/"+a.Adapter)
			}
			if len(arriving) > 0 {
				s.hub.arrived(server.ID, v.adapters(), arriving, time.Now())
			}
		}
	})
}

// ordered notes the outcome of an order.
func (s *Steerer) ordered(b *books, server *layout.Server, o stock.Order, answer Answer, err error) {
	now := time.Now()
	if err != nil && o.FromStore {
		b.stores.unanswered[server.ID] = now.Add(lateOrder)
	}
	v := b.views[server.ID]
	if v == nil || !v.server.Same(server) {
		return
	}
	if err != nil {
		s.failed(v, now, err)
		return
	}
	v.failing = time.Time{}
	switch answer {
	case Accepted:
		v.state++
		s.accepted(b, v, o, now)
	case Already:
		if o.Unload {
			v.state++
		}
		s.done(b, v, o)
	case Conflict, Elsewhere:
		v.unknown(now, 0)
	case Rejected:
		v.unknown(now, time.Second)
	case Fenced:
		s.mu.Lock()
		s.lease.Forget()
		s.mu.Unlock()
		s.deps.Log.Warn("steerer_fenced", zap.Int64("fence", b.fence))
	}
}

// accepted notes an order that the engine carries out.
func (s *Steerer) accepted(b *books, v *view, o stock.Order, now time.Time) {
	switch {
	case o.Adapter != "":
		if !o.Unload {
			v.arriving[o.Model+"/"+o.Adapter] = true
		}
		s.done(b, v, o)
	case o.Unload:
		v.unloading, v.moved = o.Model, now
		v.next = now.Add(reportRetry)
	default:
		v.loading, v.moved = o.Model, now
		v.promisedUntil = time.Time{}
		v.next = now.Add(s.loadTime(v, o))
	}
}

// loadTime returns when an engine that loads a model is asked whether it has.
func (s *Steerer) loadTime(v *view, o stock.Order) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.config.Services[v.server.Service]; c != nil && c.Engines != nil {
		if m := c.Engines.Model(o.Model); m != nil {
			switch {
			case v.inMemory[o.Model]:
				return m.MemoryLoad + reportRetry
			case v.onDisk[o.Model]:
				return m.DiskLoad + reportRetry
			}
			return m.StoreLoad + reportRetry
		}
	}
	return time.Second
}

// done notes an order that was carried out.
func (s *Steerer) done(b *books, v *view, o stock.Order) {
	switch {
	case o.Adapter == "" && o.Unload:
		v.unloaded(o.Model)
	case o.Adapter == "":
		if v.models[o.Model] == nil {
			v.models[o.Model] = map[string]bool{}
		}
	case v.models[o.Model] == nil:
	case o.Unload:
		delete(v.models[o.Model], o.Adapter)
	default:
		v.models[o.Model][o.Adapter] = true
		b.demand.served(slot{v.server.Service, o.Model, o.Adapter})
	}
}

// publish tells this daemon what engines hold, if that has changed.
func (s *Steerer) publish(b *books) {
	adapters, closing := b.holdings()
	if maps.EqualFunc(adapters, b.adapters, slices.Equal[[]string]) && maps.EqualFunc(closing, b.closing, slices.Equal[[]string]) {
		return
	}
	b.adapters, b.closing = adapters, closing
	s.deps.Listener.Holdings(sets(adapters), sets(closing))
}

// flush sends a word to all daemons.
func (s *Steerer) flush(b *books, now time.Time) {
	if !s.Holds() {
		return
	}
	adapters, closing := b.holdings()
	shared := b.loads.sum(now)
	s.deps.Listener.Share(shared)
	s.mu.Lock()
	row, version := s.lease.Row(), s.lease.Version()
	s.mu.Unlock()
	complete := func(w word) (encoded, error) {
		w.Loads = shared
		w.Lease = leaseWord{VM: row.VM, Instance: row.Instance, Fence: row.Fence, Version: version}
		return encode(w)
	}
	if err := s.hub.flush(adapters, closing, complete, now); err != nil {
		s.deps.Log.Error("word_not_encoded", zap.Error(err))
	}
}
