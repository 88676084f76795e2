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
	// rolePause is the time between role orders to an engine: its reports lag.
	rolePause = 5 * time.Second
	// roleGrant is the grant of role orders, which no row names.
	roleGrant = "role"
)

// pending is a charge that waits for an order.
type pending struct {
	known  *knowledge
	row    ledger.Row
	charge ledger.Charge
	place  int
}

// dispatch sends the orders that charges wait for: loads under any grant that
// names this daemon, unloads only while it holds the lease.
func (l *loop) dispatch(ctx context.Context, hold lease.Hold, mine bool, now time.Time) {
	if mine {
		l.roles(ctx, hold, now)
		l.clearGrants(ctx, now)
	}
	for _, p := range l.pending(now) {
		a := l.attempt(slotKey{p.known.vm.ID, p.charge.Slot})
		named := p.row.Current().Allows(l.duty.config.VM)
		if !named || a.running || now.Before(a.next) {
			continue
		}
		if mine && l.fence(ctx, p, hold, now) {
			continue
		}
		if p.charge.Phase == ledger.PhaseUnloading {
			if mine {
				l.unload(ctx, p, hold, now)
			}
			continue
		}
		if mine || l.restores(now) {
			l.load(ctx, p, hold, mine, a, now)
		}
	}
}

// roles orders engines that report another role to serve all parts of a request,
// as the document declares no other. Such an order takes no memory, so it needs
// no charge, and a late one has the same effect.
func (l *loop) roles(ctx context.Context, hold lease.Hold, now time.Time) {
	for _, v := range l.vms {
		k := l.known[v.ID]
		if k == nil || !k.usable(now) || k.report.Role.Whole() {
			continue
		}
		a := l.attempt(slotKey{v.ID, envdoc.Slot{}})
		if a.running || now.Before(a.next) {
			continue
		}
		a.next = now.Add(rolePause)
		l.send(ctx, k, roleGrant, engine.Order{ID: newID(), Kind: engine.OrderRole, Role: engine.RoleMixed, Fence: hold.Fence})
	}
}

// clearGrants asks about the older grants of rows that have too many for another
// unload.
func (l *loop) clearGrants(ctx context.Context, now time.Time) {
	for _, vm := range l.books.engines() {
		b := l.books.copies[vm]
		if b.fault != nil || b.doubtful || len(b.row.Grants) <= grantLimit {
			continue
		}
		for _, g := range b.row.Grants[:len(b.row.Grants)-1] {
			l.void(ctx, g, now)
		}
	}
}

// pending lists the charges of usable engines that wait for an order, in the
// order in which they were made.
func (l *loop) pending(now time.Time) []pending {
	var list []pending
	for _, vm := range l.books.engines() {
		b, k := l.books.copies[vm], l.known[vm]
		if b.fault != nil || b.doubtful || k == nil || !k.usable(now) {
			continue
		}
		for i, c := range b.row.Charges {
			waits := !k.resident(c.Slot, now)
			if c.Phase == ledger.PhaseUnloading {
				waits = !k.gone[c.Order]
			}
			if waits {
				list = append(list, pending{known: k, row: b.row, charge: c, place: i})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b pending) int {
		if a.charge.At != b.charge.At {
			return int(a.charge.At - b.charge.At)
		}
		return a.place - b.place
	})
	return list
}

// fence raises the fencing number of an engine that refuses old ones, before
// anything else is sent to it. It tells whether the order has to wait.
func (l *loop) fence(ctx context.Context, p pending, hold lease.Hold, now time.Time) bool {
	k := p.known
	if k.vm.Fencing != store.FencingRefuses || k.fence >= hold.Fence {
		return false
	}
	a := l.attempt(slotKey{k.vm.ID, envdoc.Slot{}})
	if !a.running && !now.Before(a.next) {
		l.send(ctx, k, p.row.Current().ID, engine.Order{ID: newID(), Kind: engine.OrderFence, Fence: hold.Fence})
	}
	return true
}

// restores tells whether a daemon without a trusted lease loads a charge: it
// held the lease last, or the table has been away for so long that no holder
// may be able to.
func (l *loop) restores(now time.Time) bool {
	away := now.Sub(l.duty.keeper.Seen()) >= 2*l.duty.config.LeaseTerm
	return away || l.duty.keeper.Row().VM == l.duty.config.VM
}

// load sends the load of a charge within the budgets.
func (l *loop) load(ctx context.Context, p pending, hold lease.Hold, mine bool, a *attempt, now time.Time) {
	c := p.charge
	if c.Slot.Adapter != "" && !l.hosted(p, now) {
		return
	}
	if !l.affords(c.Slot, now) {
		return
	}
	if p.known.done[c.Slot] == p.known.instance {
		a.serial++
	}
	o := engine.Order{ID: c.Order, Kind: engine.OrderLoad, Slot: c.Slot, MemoryMB: c.MemoryMB, Fence: p.row.Fence}
	if mine {
		o.Fence = hold.Fence
	}
	if l.send(ctx, p.known, p.row.Current().ID, o) && c.Slot.Adapter == "" {
		l.limiter.AllowN(now, 1)
	}
}

// hosted tells whether an adapter's model is resident on the engine.
func (l *loop) hosted(p pending, now time.Time) bool {
	return slices.ContainsFunc(p.row.Charges, func(c ledger.Charge) bool {
		return c.Slot.Model == p.charge.Slot.Model && c.Slot.Adapter == "" && p.known.resident(c.Slot, now)
	})
}

// affords tells whether the budgets allow a load now.
func (l *loop) affords(slot envdoc.Slot, now time.Time) bool {
	limits := l.shares.limits
	if slot.Adapter != "" {
		return l.adapters < max(1, limits.Adapters)
	}
	return l.models < max(1, limits.AtOnce) && l.limiter.TokensAt(now) >= 1
}

// unload sends the unload of a charge once nothing sent before can load the slot
// again. A last replica is kept instead. While another replica is known only from
// reports that may be older than the lease, the unload waits: the holder before may
// have unloaded that replica since.
func (l *loop) unload(ctx context.Context, p pending, hold lease.Hold, now time.Time) {
	c := p.charge
	key := slotKey{p.known.vm.ID, c.Slot}
	last, sure := l.last(p, now)
	if !sure {
		return
	}
	if last {
		l.cancels[key] = true
		return
	}
	if c.Slot.Adapter == "" && l.carries(p) {
		return
	}
	settled := true
	for _, g := range p.row.Older(c.Slot) {
		settled = l.void(ctx, g, now) && settled
	}
	if !settled {
		return
	}
	o := engine.Order{ID: c.Order, Kind: engine.OrderUnload, Slot: c.Slot, Fence: hold.Fence}
	l.send(ctx, p.known, p.row.Current().ID, o)
}

// carries tells whether adapters on the engine still need the model: no other
// version of it stays there.
func (l *loop) carries(p pending) bool {
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

// last tells whether the slot is the last resident one of a declared model or
// adapter in the data centre, and no other data centre keeps the model; and
// whether that is sure.
func (l *loop) last(p pending, now time.Time) (last, sure bool) {
	slot := p.charge.Slot
	if l.document == nil || !declares(l.document, slot) || !p.known.resident(slot, now) {
		return false, true
	}
	sure = true
	for _, vm := range l.books.engines() {
		b, k := l.books.copies[vm], l.known[vm]
		if b.fault != nil || k == nil || !k.usable(now) || !k.report.Role.Whole() {
			continue
		}
		for _, c := range b.row.Charges {
			same := c.Slot.Model == slot.Model && c.Slot.Adapter == slot.Adapter
			if !same || c.Phase != ledger.PhaseCharged || !k.resident(c.Slot, now) {
				continue
			}
			if k.done[c.Slot] == k.instance || k.received.Sub(l.took) > ReportLag {
				return false, true
			}
			sure = false
		}
	}
	return sure && !l.planner.Yields(slot, l.duty.config.DataCentre, l.remotes(now)), sure
}

// declares tells whether a document declares the model or adapter of a slot.
func declares(doc *envdoc.Document, slot envdoc.Slot) bool {
	for _, m := range doc.Models {
		if m.Name != slot.Model {
			continue
		}
		return slot.Adapter == "" || slices.ContainsFunc(m.Adapters, func(a envdoc.Adapter) bool { return a.Name == slot.Adapter })
	}
	return false
}

// knownVoid tells whether a grant is known to be void, without asking.
func (l *loop) knownVoid(g ledger.Grant, now time.Time) bool {
	for _, vm := range g.Senders {
		if vm == l.duty.config.VM {
			l.duty.mu.Lock()
			open := l.duty.gate.Open(g.ID)
			l.duty.mu.Unlock()
			if open || l.duty.AnswerSent(g.ID).State != SentNever {
				return false
			}
			continue
		}
		if l.gone(vm, now) {
			continue
		}
		if i := l.inquiries[question{g.ID, vm}]; i == nil || !i.settled {
			return false
		}
	}
	return true
}
