package steer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/stock"
)

// planLoop collects reports and results, and plans and sends orders while this daemon is
// the lease holder.
func (s *Controller) planLoop(ctx context.Context) {
	p := newPlanState(0, time.Now())
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	updates := time.NewTicker(updatePeriod)
	defer updates.Stop()
	// urgent fires when an update is due before the next one, because a server has ended. due fires when the next plan
	// may begin, if something has happened since the last one.
	var urgent, due <-chan time.Time
	var nextPlan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.reports:
			now := time.Now()
			p.demand.add(r, now)
			s.recordMeasurements(&r)
			p.loads.byVM[r.VM] = daemonLoad{receivedAt: now, servers: r.Loads}
			p.addLeaving(r.Leaving, now)
			s.markLeaving(r.Leaving)
			if urgent == nil && s.hasNewCrashes() {
				urgent = time.After(urgentDelay(s.broadcaster.count()))
			}
			if !r.hasWaiting() {
				continue
			}
		case apply := <-s.results:
			apply(p)
		case <-s.replan:
		case <-ticker.C:
		case <-due:
			due = nil
		case <-updates.C:
			s.broadcastUpdate(p, time.Now())
			continue
		case <-urgent:
			urgent = nil
			s.broadcastUpdate(p, time.Now())
			continue
		}
		begun := time.Now()
		if wait := nextPlan.Sub(begun); wait > 0 {
			if due == nil {
				due = time.After(wait)
			}
			continue
		}
		p = s.planOnce(ctx, p, begun)
		nextPlan = begun.Add(planInterval(time.Since(begun)))
	}
}

// planInterval returns the least time from the start of a plan that took some time to the start of the next one. With 90
// engines a plan takes some milliseconds, and calls that wait for adapters ask for hundreds of plans a second. Without a
// pause, requests for reservations waited for 80 ms behind them.
func planInterval(took time.Duration) time.Duration {
	return took + min(time.Duration(float64(took)*(1/planShare-1)), maxPlanPause)
}

// urgentDelay returns the time from a report on the end of a server until the update that passes it on.
func urgentDelay(links int) time.Duration {
	return max(urgentUpdateDelay, time.Duration(links)*urgentUpdatePerLink)
}

// recordMeasurements passes the measurements of a daemon's report to the router: the speed
// of engines and the pauses of streams.
func (s *Controller) recordMeasurements(r *daemonReport) {
	s.deps.Router.RecordSamples(r.Samples)
	for service, n := range r.Streams {
		s.deps.Router.RecordStreams(service, n.Ended, n.Paused)
	}
}

func newPlanState(fence int64, now time.Time) *planState {
	return &planState{
		demand:     demand{models: map[modelKey]*modelDemand{}},
		engines:    map[string]*engineState{},
		storeLoads: loadLimiter{unanswered: map[string]time.Time{}},
		loads:      loadTable{byVM: map[string]daemonLoad{}},
		leaving:    map[serverStart]time.Time{},
		fence:      fence,
		startedAt:  now,
	}
}

// hasWaiting reports whether calls of the daemon wait for a model or adapter.
func (r *daemonReport) hasWaiting() bool {
	for _, n := range r.Waiting {
		if n > 0 {
			return true
		}
	}
	return false
}

// planOnce plans and sends orders if this daemon is the lease holder. It returns the state
// for the next plan: p, or a new state if the lease is a new one.
func (s *Controller) planOnce(ctx context.Context, p *planState, now time.Time) *planState {
	if !s.IsLeaseHolder() {
		return p
	}
	s.mu.Lock()
	fence, config, servers := s.lease.Row().Fence, s.config, s.servers
	outage := !s.lease.Trusted(s.deps.Clock())
	s.mu.Unlock()
	if fence != p.fence {
		fresh := newPlanState(fence, now)
		fresh.demand, fresh.loads, fresh.leaving = p.demand, p.loads, p.leaving
		p = fresh
	}
	if config == nil || now.Sub(p.startedAt) < s.settings.FirstOrderDelay {
		return p
	}
	p.storeLoads.burst = storeBurst
	if outage {
		p.storeLoads.burst = outageBurst
	}
	p.updateServers(servers, config)
	s.requestReports(ctx, p, now)
	for _, service := range config.Services {
		if service.Engines == nil {
			continue
		}
		p.storeLoads.perSecond = service.Engines.LoadsPerSecond
		input := p.input(service, s.deps.Router.UsualPace, now)
		for model, n := range input.Demand {
			n.Work *= s.deps.Router.PrefillTimePerToken(service.Name, model).Seconds()
		}
		s.dispatchOrders(ctx, p, stock.Plan(input), now)
	}
	s.publish(p)
	return p
}

// requestReports requests a report from each engine whose state is unknown or that loads or
// unloads a model, when its next report is due.
func (s *Controller) requestReports(ctx context.Context, p *planState, now time.Time) {
	for id, e := range p.engines {
		needed := !e.synced || e.loading != "" || e.unloadInFlight != ""
		if !needed || e.inFlight || now.Before(e.nextReportAt) || e.server.State != layout.Ready || s.inBackoff(id, now) || !s.deps.Router.TakeToken(id) {
			continue
		}
		e.inFlight = true
		server := e.server
		s.tomb.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, engineReportTimeout)
			defer cancel()
			r, err := s.deps.Engines.Report(ctx, server)
			s.sendResult(func(p *planState) { s.handleEngineReport(p, id, server, r, err) })
			return nil
		})
	}
}

// handleEngineReport applies the outcome of a report request to the state of the engine.
func (s *Controller) handleEngineReport(p *planState, id string, server *layout.Server, r EngineReport, err error) {
	now := time.Now()
	e := p.engines[id]
	if e == nil || !e.server.SameStart(server) {
		return
	}
	e.inFlight = false
	if err != nil {
		s.markUnreachable(e, now, err)
		return
	}
	e.applyReport(r, now)
	if e.synced {
		delete(p.storeLoads.unanswered, id)
	}
	s.deps.Log.Info("engine_reported", zap.String("engine", id), zap.Int64("state", r.AcceptedOrders), zap.Bool("busy", r.Busy), zap.Int("models", len(r.Models)), zap.Bool("known", e.synced))
}

// inBackoff reports whether an engine wants neither requests nor orders from this daemon.
func (s *Controller) inBackoff(id string, now time.Time) bool {
	return now.Before(s.deps.Engines.BackoffUntil(id))
}

// markUnreachable records that a request to an engine failed. An engine that wants none for a time
// is not unreachable.
func (s *Controller) markUnreachable(e *engineState, now time.Time, err error) {
	if e.unreachableSince.IsZero() && !s.inBackoff(e.server.ID, now) {
		e.unreachableSince = now
		s.deps.Log.Info("engine_lost", zap.String("engine", e.server.ID), zap.Error(err))
	}
	e.resync(now, retryDelay)
}

// dispatchOrders starts sending the orders of a plan. Engines receive their orders
// concurrently, each engine its own orders in sequence.
func (s *Controller) dispatchOrders(ctx context.Context, p *planState, orders []stock.Order, now time.Time) {
	byEngine := map[string][]stock.Order{}
	for _, o := range orders {
		byEngine[o.Engine] = append(byEngine[o.Engine], o)
	}
	for id, list := range byEngine {
		e := p.engines[id]
		if e == nil || e.inFlight || s.inBackoff(id, now) {
			continue
		}
		e.inFlight = true
		for _, o := range list {
			if o.Unload && o.Adapter == "" {
				e.unloading[o.Model] = true
				e.freedFor, e.freedUntil = o.For, now.Add(freedMemoryTerm)
			}
			if o.FromStore {
				p.storeLoads.level--
			}
		}
		server, state, fence := e.server, e.acceptedOrders, p.fence
		s.tomb.Go(func() error {
			s.sendOrders(ctx, server, state, fence, list)
			return nil
		})
	}
}

// sendOrders sends orders to an engine until one of them fails. state is the number of
// orders that the engine has accepted before.
func (s *Controller) sendOrders(ctx context.Context, server *layout.Server, state, fence int64, list []stock.Order) {
	var added []modelKey
	allowed := func() bool { return s.holdsFence(fence) }
	for _, o := range list {
		if o.Unload && o.Adapter == "" {
			life.Sleep(ctx, unloadDelay)
		}
		if !allowed() || !s.deps.Router.TakeToken(server.ID) {
			break
		}
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		answer, err := s.deps.Engines.Order(orderCtx, server, Order{
			Unload: o.Unload, Model: o.Model, Adapter: o.Adapter, ExpectedOrders: state, LeaseHolder: s.settings.Self.VM, Fence: fence,
			Allowed: allowed,
		})
		cancel()
		s.deps.Scope.Counter("orders").Inc(1)
		s.deps.Log.Info("order_sent", zap.String("engine", server.ID), zap.Bool("unload", o.Unload), zap.String("model", o.Model),
			zap.String("adapter", o.Adapter), zap.String("reason", string(o.Reason)), zap.Bool("from_store", o.FromStore),
			zap.Int64("state", state), zap.Int64("fence", fence), zap.Int("answer", int(answer)), zap.Error(err))
		counted := err == nil && (answer == Accepted || answer == AlreadyDone && o.Unload)
		if counted {
			state++
		}
		if counted && o.Adapter != "" && !o.Unload {
			added = append(added, modelKey{server.Service, o.Model, o.Adapter})
		}
		s.sendResult(func(p *planState) { s.handleAnswer(p, server, o, answer, err) })
		if err != nil || answer != Accepted && answer != AlreadyDone {
			break
		}
	}
	if len(added) > 0 {
		life.Sleep(ctx, adapterDelay)
	}
	s.sendResult(func(p *planState) {
		if e := p.engines[server.ID]; e != nil && e.server.SameStart(server) {
			e.inFlight = false
			for _, key := range added {
				delete(e.pendingAdapters, key.Model+"/"+key.Adapter)
			}
			if len(added) > 0 {
				s.broadcaster.announceAdapters(server.ID, e.usableAdapters(), added, time.Now())
			}
		}
	})
}

// handleAnswer applies the outcome of an order to the state of the engine.
func (s *Controller) handleAnswer(p *planState, server *layout.Server, o stock.Order, answer OrderResult, err error) {
	now := time.Now()
	if err != nil && o.FromStore {
		p.storeLoads.unanswered[server.ID] = now.Add(lateOrderTerm)
	}
	e := p.engines[server.ID]
	if e == nil || !e.server.SameStart(server) {
		return
	}
	if err != nil {
		s.markUnreachable(e, now, err)
		return
	}
	e.unreachableSince = time.Time{}
	switch answer {
	case Accepted:
		e.acceptedOrders++
		s.applyAccepted(p, e, o, now)
	case AlreadyDone:
		if o.Unload {
			e.acceptedOrders++
		}
		s.applyCompleted(p, e, o)
	case Conflict, WrongEngine:
		e.resync(now, 0)
	case Rejected:
		e.resync(now, time.Second)
	case Fenced:
		s.mu.Lock()
		s.lease.Invalidate()
		s.mu.Unlock()
		s.deps.Log.Warn("steerer_fenced", zap.Int64("fence", p.fence))
	}
}

// applyAccepted applies an accepted order. Adapters count as loaded or unloaded at once,
// although calls may use a loaded adapter only after adapterDelay. Models count when the
// engine has finished.
func (s *Controller) applyAccepted(p *planState, e *engineState, o stock.Order, now time.Time) {
	switch {
	case o.Adapter != "":
		if !o.Unload {
			e.pendingAdapters[o.Model+"/"+o.Adapter] = true
		}
		s.applyCompleted(p, e, o)
	case o.Unload:
		e.unloadInFlight, e.modelsChangedAt = o.Model, now
		e.nextReportAt = now.Add(retryDelay)
	default:
		e.loading, e.modelsChangedAt = o.Model, now
		e.freedUntil = time.Time{}
		e.nextReportAt = now.Add(s.loadReportDelay(e, o))
	}
}

// loadReportDelay returns how long after a load order the engine is asked for a report: the
// expected load time of the model plus retryDelay, or a second if the configuration no
// longer declares the model.
func (s *Controller) loadReportDelay(e *engineState, o stock.Order) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.config.Services[e.server.Service]; c != nil && c.Engines != nil {
		if m := c.Engines.Model(o.Model); m != nil {
			switch {
			case e.inMemory[o.Model]:
				return m.MemoryLoad + retryDelay
			case e.onDisk[o.Model]:
				return m.DiskLoad + retryDelay
			}
			return m.StoreLoad + retryDelay
		}
	}
	return time.Second
}

// applyCompleted applies an order that the engine has carried out.
func (s *Controller) applyCompleted(p *planState, e *engineState, o stock.Order) {
	switch {
	case o.Adapter == "" && o.Unload:
		e.removeModel(o.Model)
	case o.Adapter == "":
		if e.models[o.Model] == nil {
			e.models[o.Model] = map[string]bool{}
		}
	case e.models[o.Model] == nil:
	case o.Unload:
		delete(e.models[o.Model], o.Adapter)
	default:
		e.models[o.Model][o.Adapter] = true
		p.demand.clearWaiting(modelKey{e.server.Service, o.Model, o.Adapter})
	}
}
