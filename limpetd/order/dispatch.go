package order

import (
	"context"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// roleOrderPause is the minimum time between role orders to an engine, whose
	// reports lag behind its role.
	roleOrderPause = 5 * time.Second
	// roleGrant is the grant of role orders; no ledger row contains it.
	roleGrant = "role"
)

// pendingOrder is a charge whose load or unload has not been confirmed.
type pendingOrder struct {
	view   *engineView
	row    ledger.Row
	charge ledger.Charge
	// position is the index of the charge in the row.
	position int
}

// dispatch sends the pending orders of the rows whose current grant names this daemon. The
// lease holder sends loads and unloads, another daemon only the loads that it may restore.
func (l *loop) dispatch(ctx context.Context, hold lease.Hold, holdsLease bool, now time.Time) {
	if holdsLease {
		l.sendRoleOrders(ctx, hold, now)
		l.queryOldGrants(ctx, now)
	}
	for _, p := range l.pendingOrders(now) {
		a := l.attemptsFor(slotKey{p.view.vm.ID, p.charge.Slot})
		allowed := p.row.CurrentGrant().Allows(l.controller.config.VM)
		if !allowed || a.inFlight || now.Before(a.nextAt) {
			continue
		}
		if holdsLease && l.raiseFence(ctx, p, hold, now) {
			continue
		}
		if p.charge.Phase == ledger.PhaseUnloading {
			if holdsLease {
				l.sendUnload(ctx, p, hold, now)
			}
			continue
		}
		if holdsLease || l.mayRestore(now) {
			l.sendLoad(ctx, p, hold, holdsLease, a, now)
		}
	}
}

// sendRoleOrders orders engines whose role serves no whole requests back to the mixed
// role, since the document declares no other role. A role order takes no memory and so
// needs no charge, and a delayed role order has the same effect.
func (l *loop) sendRoleOrders(ctx context.Context, hold lease.Hold, now time.Time) {
	for _, v := range l.vms {
		e := l.engines[v.ID]
		if e == nil || !e.usable(now) || e.report.Role.RunsBothPhases() {
			continue
		}
		a := l.attemptsFor(slotKey{v.ID, envdoc.Slot{}})
		if a.inFlight || now.Before(a.nextAt) {
			continue
		}
		a.nextAt = now.Add(roleOrderPause)
		l.sendOrder(ctx, e, roleGrant, engine.Order{ID: newID(), Kind: engine.OrderRole, Role: engine.RoleMixed, Fence: hold.Fence})
	}
}

// queryOldGrants queries the senders of older grants in rows with more than maxGrants
// grants, since no further unload can begin in these rows.
func (l *loop) queryOldGrants(ctx context.Context, now time.Time) {
	for _, vm := range l.cache.engineIDs() {
		cached := l.cache.entries[vm]
		if cached.fault != nil || cached.uncertain || len(cached.row.Grants) <= maxGrants {
			continue
		}
		for _, g := range cached.row.Grants[:len(cached.row.Grants)-1] {
			l.confirmVoid(ctx, g, now)
		}
	}
}

// pendingOrders lists the pending orders of usable engines, in the order in which they
// were charged.
func (l *loop) pendingOrders(now time.Time) []pendingOrder {
	var list []pendingOrder
	for _, vm := range l.cache.engineIDs() {
		cached, e := l.cache.entries[vm], l.engines[vm]
		if cached.fault != nil || cached.uncertain || e == nil || !e.usable(now) {
			continue
		}
		for i, c := range cached.row.Charges {
			waits := !e.resident(c.Slot, now)
			if c.Phase == ledger.PhaseUnloading {
				waits = !e.confirmedUnloads[c.Order]
			}
			if waits {
				list = append(list, pendingOrder{view: e, row: cached.row, charge: c, position: i})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b pendingOrder) int {
		if a.charge.At != b.charge.At {
			return int(a.charge.At - b.charge.At)
		}
		return a.position - b.position
	})
	return list
}

// raiseFence raises the fencing number of an engine that refuses orders with an old
// one, before any other order of a new lease is sent. It reports whether p has to wait.
func (l *loop) raiseFence(ctx context.Context, p pendingOrder, hold lease.Hold, now time.Time) bool {
	e := p.view
	if e.vm.Fencing != store.FencingRefuses || e.fence >= hold.Fence {
		return false
	}
	a := l.attemptsFor(slotKey{e.vm.ID, envdoc.Slot{}})
	if !a.inFlight && !now.Before(a.nextAt) {
		l.sendOrder(ctx, e, p.row.CurrentGrant().ID, engine.Order{ID: newID(), Kind: engine.OrderFence, Fence: hold.Fence})
	}
	return true
}

// mayRestore reports whether a daemon that doesn't hold a valid lease sends loads: this
// daemon held the lease last, or the table was unreachable for two lease terms, so that
// no lease holder may be able to send them.
func (l *loop) mayRestore(now time.Time) bool {
	tableUnreachable := now.Sub(l.controller.keeper.LastRead()) >= 2*l.controller.config.LeaseTerm
	return tableUnreachable || l.controller.keeper.Row().VM == l.controller.config.VM
}

// sendLoad sends the load of a charge within the budgets.
func (l *loop) sendLoad(ctx context.Context, p pendingOrder, hold lease.Hold, holdsLease bool, a *orderAttempts, now time.Time) {
	c := p.charge
	if c.Slot.Adapter != "" && !l.modelResident(p, now) {
		return
	}
	if !l.withinBudget(c.Slot, now) {
		return
	}
	// The process would ignore an id that it has already carried out.
	if p.view.confirmedLoads[c.Slot] == p.view.instance {
		a.idSerial++
	}
	o := engine.Order{ID: c.Order, Kind: engine.OrderLoad, Slot: c.Slot, MemoryMB: c.MemoryMB, Fence: p.row.Fence}
	if holdsLease {
		o.Fence = hold.Fence
	}
	if l.sendOrder(ctx, p.view, p.row.CurrentGrant().ID, o) && c.Slot.Adapter == "" {
		l.limiter.AllowN(now, 1)
	}
}

// modelResident reports whether an adapter's model is resident on the engine.
func (l *loop) modelResident(p pendingOrder, now time.Time) bool {
	return slices.ContainsFunc(p.row.Charges, func(c ledger.Charge) bool {
		return c.Slot.Model == p.charge.Slot.Model && c.Slot.Adapter == "" && p.view.resident(c.Slot, now)
	})
}

// withinBudget reports whether the budgets allow a load now.
func (l *loop) withinBudget(slot envdoc.Slot, now time.Time) bool {
	limits := l.budget.limits
	if slot.Adapter != "" {
		return l.adapterLoads < max(1, limits.Adapters)
	}
	return l.modelLoads < max(1, limits.AtOnce) && l.limiter.TokensAt(now) >= 1
}

// sendUnload sends the unload of a charge once no order sent before can load the slot
// again. The unload of a last replica is cancelled. The unload of a model waits while
// adapters on the engine need the model. Any unload waits while another replica is known
// only from reports that may be older than the lease, since the previous lease holder may
// have unloaded the other replica after the report.
func (l *loop) sendUnload(ctx context.Context, p pendingOrder, hold lease.Hold, now time.Time) {
	c := p.charge
	key := slotKey{p.view.vm.ID, c.Slot}
	last, certain := l.isLastReplica(p, now)
	if !certain {
		return
	}
	if last {
		l.unloadsToCancel[key] = true
		return
	}
	if c.Slot.Adapter == "" && l.neededByAdapters(p) {
		return
	}
	allVoid := true
	for _, g := range p.row.GrantsToVoid(c.Slot) {
		allVoid = l.confirmVoid(ctx, g, now) && allVoid
	}
	if !allVoid {
		return
	}
	o := engine.Order{ID: c.Order, Kind: engine.OrderUnload, Slot: c.Slot, Fence: hold.Fence}
	l.sendOrder(ctx, p.view, p.row.CurrentGrant().ID, o)
}

// neededByAdapters reports whether adapters on the engine still need the model: no
// other version of the model stays on the engine.
func (l *loop) neededByAdapters(p pendingOrder) bool {
	adapters := false
	for _, c := range p.row.Charges {
		if c.Slot.Model != p.charge.Slot.Model || c.Slot == p.charge.Slot {
			continue
		}
		if c.Slot.Adapter == "" && c.Phase == ledger.PhaseCharged {
			return false
		}
		adapters = adapters || c.Slot.Adapter != ""
	}
	return adapters
}

// isLastReplica reports whether the slot is the last resident replica of a declared
// model or adapter in the data centre, and the planner does not yield the model to
// another data centre. certain is whether the result rests on reports that are recent
// enough.
func (l *loop) isLastReplica(p pendingOrder, now time.Time) (last, certain bool) {
	slot := p.charge.Slot
	if l.document == nil || !declares(l.document, slot) || !p.view.resident(slot, now) {
		return false, true
	}
	certain = true
	for _, vm := range l.cache.engineIDs() {
		cached, e := l.cache.entries[vm], l.engines[vm]
		if cached.fault != nil || e == nil || !e.usable(now) || !e.report.Role.RunsBothPhases() {
			continue
		}
		for _, c := range cached.row.Charges {
			same := c.Slot.Model == slot.Model && c.Slot.Adapter == slot.Adapter
			if !same || c.Phase != ledger.PhaseCharged || !e.resident(c.Slot, now) {
				continue
			}
			if e.confirmedLoads[c.Slot] == e.instance || e.measuredAt.Sub(l.leaseTakenAt) > MaxReportDelay {
				return false, true
			}
			certain = false
		}
	}
	return certain && !l.planner.MayUnload(slot, l.controller.config.DataCentre, l.remotes(now)), certain
}

// declares reports whether a document declares the model or adapter of a slot.
func declares(doc *envdoc.Document, slot envdoc.Slot) bool {
	for _, m := range doc.Models {
		if m.Name != slot.Model {
			continue
		}
		return slot.Adapter == "" || slices.ContainsFunc(m.Adapters, func(a envdoc.Adapter) bool { return a.Name == slot.Adapter })
	}
	return false
}

// knownVoid reports whether a grant is known to be void, without querying its senders.
func (l *loop) knownVoid(g ledger.Grant, now time.Time) bool {
	for _, vm := range g.Senders {
		if vm == l.controller.config.VM {
			l.controller.mu.Lock()
			open := l.controller.sendTracker.IsOpen(g.ID)
			l.controller.mu.Unlock()
			if open || l.controller.AnswerGrantQuery(g.ID).State != GrantVoid {
				return false
			}
			continue
		}
		if l.gone(vm, now) {
			continue
		}
		if q := l.senderQueries[grantSender{g.ID, vm}]; q == nil || !q.void {
			return false
		}
	}
	return true
}
