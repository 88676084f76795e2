package order

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// extraRestorers is the number of daemons, besides the lease holder, that may
	// restore an engine.
	extraRestorers = 2
	// maxGrants is the number of grants in a row above which no unload begins until
	// older grants are void.
	maxGrants = 4
	// releaseDelay is how long confirmed unloads of adapters are collected, so that one
	// transaction releases them together.
	releaseDelay = 200 * time.Millisecond
	// refusalPeriod is how long placement avoids an engine that refused a model.
	refusalPeriod = 5 * time.Minute
)

// draft holds changed ledger rows before they are written.
type draft struct {
	loop *loop
	now  time.Time
	// rows are the changed rows by engine, removed the engines whose rows are deleted.
	rows    map[string]ledger.Row
	removed map[string]bool
	// newGrants are the grants that the write adds, by engine.
	newGrants map[string]ledger.Grant
	moves     []place.Move
	// releasedCount counts the released charges. urgentRelease is whether one of them
	// is a model's, which is written without releaseDelay.
	releasedCount int
	urgentRelease bool
}

// newDraft returns a draft without changes.
func newDraft(l *loop, now time.Time) *draft {
	return &draft{loop: l, now: now, rows: map[string]ledger.Row{}, removed: map[string]bool{}, newGrants: map[string]ledger.Grant{}}
}

// row returns an engine's row with the changes so far, or false if the row can't be
// decoded.
func (d *draft) row(vm string) (ledger.Row, bool) {
	if r, ok := d.rows[vm]; ok {
		return r, true
	}
	cached, ok := d.loop.cache.entries[vm]
	if !ok {
		return ledger.Row{Engine: vm}, true
	}
	return cached.row, cached.fault == nil
}

// grantFor returns the new grant of an engine's row, which is created on the first
// call.
func (d *draft) grantFor(vm string) ledger.Grant {
	if g, ok := d.newGrants[vm]; ok {
		return g
	}
	controller := d.loop.controller
	g := ledger.Grant{ID: newID(), Senders: append([]string{controller.config.VM}, d.loop.otherRestorers(vm)...)}
	controller.mu.Lock()
	controller.sendTracker.RecordCreated(g.ID)
	controller.mu.Unlock()
	d.newGrants[vm] = g
	return g
}

// otherRestorers chooses the responsive daemons that may restore an engine besides this
// daemon.
func (l *loop) otherRestorers(vm string) []string {
	excluded := func(o string) bool { return o == l.controller.config.VM || !l.responsive(o, time.Now()) }
	chosen := slices.DeleteFunc(l.chooseRestorers(vm, extraRestorers+1+len(l.silentSince)), excluded)
	return chosen[:min(extraRestorers, len(chosen))]
}

// chooseRestorers chooses n live daemons of the data centre by rendezvous hashing.
func (l *loop) chooseRestorers(vm string, n int) []string {
	var candidates []string
	for _, v := range l.vms {
		if v.Kind == store.KindEntry && v.DataCentre == l.controller.config.DataCentre && v.State == store.StateLive {
			candidates = append(candidates, v.ID)
		}
	}
	var chosen []string
	for len(chosen) < n && len(candidates) > 0 {
		c := rendezvous.New(candidates, xxhash.Sum64String).Lookup(vm)
		chosen = append(chosen, c)
		candidates = slices.DeleteFunc(candidates, func(o string) bool { return o == c })
	}
	return chosen
}

// ensureGrant returns the row with a current grant under which this daemon may send.
func (d *draft) ensureGrant(r ledger.Row) ledger.Row {
	controller := d.loop.controller
	g := r.CurrentGrant()
	controller.mu.Lock()
	open := controller.sendTracker.IsOpen(g.ID)
	controller.mu.Unlock()
	if g.Allows(controller.config.VM) && open {
		return r
	}
	return r.AddGrant(d.grantFor(r.Engine))
}

// renewGrants adds a grant to each row whose pending orders this daemon could not send
// otherwise. A current grant that names an unresponsive daemon is followed by a grant
// without that daemon, so that unloads of slots charged from then on don't wait for it.
func (d *draft) renewGrants() {
	for _, vm := range d.loop.cache.engineIDs() {
		r, ok := d.row(vm)
		if !ok {
			continue
		}
		unresponsive := func(o string) bool { return o != d.loop.controller.config.VM && !d.loop.responsive(o, d.now) }
		if slices.ContainsFunc(r.CurrentGrant().Senders, unresponsive) {
			d.rows[vm] = r.AddGrant(d.grantFor(vm))
			continue
		}
		if !d.loop.hasPendingOrders(r, d.now) {
			continue
		}
		if allowed := d.ensureGrant(r); allowed.CurrentGrant().ID != r.CurrentGrant().ID {
			d.rows[vm] = allowed
		}
	}
}

// cancelUnloads cancels the unloads that would remove a last replica.
func (d *draft) cancelUnloads() {
	for key := range d.loop.unloadsToCancel {
		r, ok := d.row(key.engine)
		if !ok {
			continue
		}
		if r, err := r.CancelUnload(key.slot, newID(), d.now); err == nil {
			d.rows[key.engine] = r
		}
	}
	clear(d.loop.unloadsToCancel)
}

// releaseCharges removes the charges of confirmed unloads. If only adapters are among
// them, it first waits for releaseDelay.
func (d *draft) releaseCharges() {
	l := d.loop
	released := map[string]ledger.Row{}
	for _, vm := range l.cache.engineIDs() {
		r, ok := d.row(vm)
		e := l.engines[vm]
		if !ok || e == nil {
			continue
		}
		for _, c := range slices.Clone(r.Charges) {
			if c.Phase != ledger.PhaseUnloading || !e.confirmedUnloads[c.Order] {
				continue
			}
			next, err := r.Release(c.Slot, c.Order)
			if err != nil {
				continue
			}
			r = next
			d.releasedCount++
			d.urgentRelease = d.urgentRelease || c.Slot.Adapter == ""
			released[vm] = r
		}
	}
	if d.releasedCount == 0 {
		l.releasableSince = time.Time{}
		return
	}
	if l.releasableSince.IsZero() {
		l.releasableSince = d.now
	}
	if !d.urgentRelease && d.now.Sub(l.releasableSince) < releaseDelay {
		return
	}
	for vm, r := range released {
		d.rows[vm] = r
	}
}

// removeGoneEngines removes the rows of engines whose VMs are gone.
func (d *draft) removeGoneEngines() {
	l := d.loop
	for _, vm := range l.cache.engineIDs() {
		if l.gone(vm, d.now) {
			d.removed[vm] = true
			delete(d.rows, vm)
			delete(l.engines, vm)
		}
	}
}

// applyMove applies a move of the plan to the rows.
func (d *draft) applyMove(m place.Move) {
	r, ok := d.row(m.Engine)
	e := d.loop.engines[m.Engine]
	if !ok || e == nil || d.removed[m.Engine] {
		return
	}
	r.MemoryMB = e.memoryMB()
	var err error
	if m.Kind == place.Load {
		r, err = d.ensureGrant(r).Charge(m.Slot, m.MemoryMB, newID(), d.now)
	} else {
		r = r.DropGrants(func(g ledger.Grant) bool { return d.loop.knownVoid(g, d.now) })
		if len(r.Grants) > maxGrants {
			return
		}
		r, err = r.BeginUnload(m.Slot, newID(), d.grantFor(m.Engine), d.now)
	}
	if err != nil {
		return
	}
	d.rows[m.Engine] = r
	d.moves = append(d.moves, m)
}

// changes returns the rows to write, without the grants known to be void.
func (d *draft) changes() []change {
	var changes []change
	for _, r := range d.rows {
		r = r.DropGrants(func(g ledger.Grant) bool { return d.loop.knownVoid(g, d.now) })
		changes = append(changes, change{row: r})
	}
	for vm := range d.removed {
		changes = append(changes, change{row: ledger.Row{Engine: vm}, remove: true})
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.row.Engine, b.row.Engine) })
	return changes
}

// recordMoves emits metrics and events for the written moves, and records which engines
// refused a model.
func (d *draft) recordMoves() {
	controller := d.loop.controller
	for _, m := range d.moves {
		controller.deps.Scope.Counter("moves").Inc(1)
		controller.deps.Events.Add(event.Event{
			Kind: event.OrderCharged, Model: m.Slot.Model, VM: m.Engine,
			Text: string(m.Kind) + " " + m.Slot.String() + " " + string(m.Rule),
		})
		if m.Kind == place.Unload && m.Rule == place.RuleRefused {
			d.loop.refusedUntil[slotKey{m.Engine, m.Slot}] = d.now.Add(refusalPeriod)
		}
	}
}
