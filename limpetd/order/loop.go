package order

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// plansPerPeriod is how often a plan may be made in a plan period, when orders
// end.
const plansPerPeriod = 4

// loop is the state of the duty's goroutine.
type loop struct {
	duty    *Duty
	books   *books
	planner *place.Planner
	// known is what is known of each engine of the data centre, vms the whole
	// VM list in the order of ids.
	known map[string]*knowledge
	vms   []store.VM
	// missing is since when a sender or engine is not in the VM list.
	missing   map[string]time.Time
	attempts  map[slotKey]*attempt
	inquiries map[question]*inquiry
	// took is when this daemon took the lease with the fence tookFence.
	took      time.Time
	tookFence int64
	// silent is since when daemons leave questions without an answer.
	silent     map[string]time.Time
	cancels    map[slotKey]bool
	refuses    map[slotKey]time.Time
	start      time.Time
	running    int
	models     int
	adapters   int
	shares     *shares
	limiter    *rate.Limiter
	document   *envdoc.Document
	planned    time.Time
	plannedFor *envdoc.Document
	pruned     time.Time
	releasable time.Time
	retry      time.Time
}

// newLoop returns the state before the first step.
func newLoop(d *Duty) *loop {
	c := d.config
	return &loop{
		duty:      d,
		start:     time.Now(),
		books:     newBooks(d.deps.Table, c.Environment, c.DataCentre),
		planner:   place.NewPlanner(),
		known:     map[string]*knowledge{},
		missing:   map[string]time.Time{},
		attempts:  map[slotKey]*attempt{},
		inquiries: map[question]*inquiry{},
		silent:    map[string]time.Time{},
		cancels:   map[slotKey]bool{},
		refuses:   map[slotKey]time.Time{},
		shares:    newShares(d.deps.Table, c.Environment, c.DataCentre),
		limiter:   rate.NewLimiter(0, 1),
	}
}

// run steps at each plan period, and sooner when it is woken.
func (l *loop) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.duty.config.PlanPeriod):
		case <-l.duty.kick:
			l.pause(ctx)
		}
	}
}

// pause gathers what arises in the commit window.
func (l *loop) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(commitWindow):
	}
}

// step takes in what happened, writes what follows, and sends what is charged.
func (l *loop) step(ctx context.Context, now time.Time) {
	l.collect(now)
	l.observe(now)
	if doc, ok := l.duty.deps.Documents.Document(); ok {
		l.document = doc
	}
	hold, mine := l.duty.keeper.Hold()
	l.read(ctx, mine, now)
	l.watchSenders(l.vms, now)
	l.limits(ctx, hold, mine, now)
	if mine && hold.Fence != l.tookFence {
		l.took, l.tookFence = now, hold.Fence
	}
	if mine && l.books.fresh && !now.Before(l.retry) {
		l.decide(ctx, hold, now)
	}
	l.dispatch(ctx, hold, mine && l.books.fresh, now)
	l.publish(hold, mine)
	l.prune(now)
}

// leaving tells whether the daemon has begun to leave.
func (l *loop) leaving() bool {
	l.duty.mu.Lock()
	defer l.duty.mu.Unlock()
	return l.duty.left
}

// withdraw takes this daemon out of all grants, once nothing that it sent is
// unanswered, so that its successor need not wait for its VM to be gone.
func (l *loop) withdraw(ctx context.Context, hold lease.Hold, now time.Time) {
	if l.running > 0 {
		return
	}
	var changes []change
	for _, vm := range l.books.engines() {
		b := l.books.copies[vm]
		if b.fault != nil {
			continue
		}
		row := b.row.Withdraw(l.duty.config.VM, func(g ledger.Grant) bool { return l.duty.AnswerSent(g.ID).State == SentNever })
		if len(row.Senders()) != len(b.row.Senders()) {
			changes = append(changes, change{row: row})
		}
	}
	if err := l.commit(ctx, hold, changes, now); err != nil {
		return
	}
	l.duty.mu.Lock()
	defer l.duty.mu.Unlock()
	l.duty.withdrawn = true
}

// informed tells whether the engines have reported, or had the time to.
func (l *loop) informed(now time.Time) bool {
	if now.Sub(l.start) >= startGrace {
		return true
	}
	for _, v := range l.vms {
		k := l.known[v.ID]
		if v.State == store.StateLive && k != nil && !k.reported {
			return false
		}
	}
	return len(l.known) > 0
}

// observe takes in the VM list and the reports.
func (l *loop) observe(now time.Time) {
	l.vms = slices.Clone(l.duty.deps.VMs.VMs())
	slices.SortFunc(l.vms, func(a, b store.VM) int { return strings.Compare(a.ID, b.ID) })
	for _, v := range l.vms {
		if v.Kind != store.KindEngine || v.DataCentre != l.duty.config.DataCentre {
			continue
		}
		k := l.known[v.ID]
		if k == nil {
			k = newKnowledge(v)
			l.known[v.ID] = k
		}
		k.vm = v
		l.report(k, now)
	}
}

// report takes in the report of an engine.
func (l *loop) report(k *knowledge, now time.Time) {
	r, received, ok := l.duty.deps.Reports.Report(k.vm.ID)
	if !ok {
		return
	}
	var row ledger.Row
	if b, ok := l.books.copies[k.vm.ID]; ok {
		row = b.row
	}
	if err := k.observe(r, received, row, now); err != nil {
		l.setAside(k, err)
	}
}

// setAside tells that an engine gets no orders.
func (l *loop) setAside(k *knowledge, err error) {
	l.duty.deps.Scope.Counter("engines_set_aside").Inc(1)
	l.duty.deps.Events.Add(event.Event{Kind: event.EngineSetAside, VM: k.vm.ID, Code: int(code.Of(err)), Text: err.Error()})
	l.duty.deps.Log.Warn("engine_set_aside", zap.String("vm", k.vm.ID), zap.Error(err))
}

// read reads the ledger when the copy is stale.
func (l *loop) read(ctx context.Context, mine bool, now time.Time) {
	stale := !l.books.fresh
	if !mine {
		stale = now.Sub(l.books.read) > CopyPeriod
	}
	if !stale || now.Before(l.retry) {
		return
	}
	refresh := l.books.refresh
	if !mine {
		refresh = l.copyRows
	}
	if err := refresh(ctx, now); err != nil {
		l.backOff(now, "ledger_unread", err)
		return
	}
	for _, vm := range l.books.engines() {
		if err := l.books.copies[vm].fault; err != nil {
			if k := l.known[vm]; k != nil {
				l.setAside(k, err)
			}
		}
	}
}

// copyRows reads the rows of the engines that this daemon may have to restore: a
// daemon without the lease keeps no others.
func (l *loop) copyRows(ctx context.Context, now time.Time) error {
	var engines []string
	for _, v := range l.vms {
		if v.Kind != store.KindEngine || v.DataCentre != l.duty.config.DataCentre {
			continue
		}
		// The holder leaves itself out, and may know other daemons.
		chosen := l.restorers(v.ID, 2*restorers)
		if slices.Contains(chosen, l.duty.config.VM) || l.held(v.ID) {
			engines = append(engines, v.ID)
		}
	}
	return l.books.copyRows(ctx, engines, now)
}

// held tells whether the copy of an engine's row names this daemon.
func (l *loop) held(vm string) bool {
	b, ok := l.books.copies[vm]
	return ok && b.row.Current().Allows(l.duty.config.VM)
}

// backOff puts the next call to the table off.
func (l *loop) backOff(now time.Time, what string, err error) {
	l.retry = now.Add(time.Second)
	l.duty.deps.Log.Warn(what, zap.Error(err))
}

// decide writes, in one transaction, what follows from answers, from the state
// of the senders, and from a new plan.
func (l *loop) decide(ctx context.Context, hold lease.Hold, now time.Time) {
	if err := l.commit(ctx, hold, l.books.barrier(), now); err != nil {
		return
	}
	if l.leaving() {
		l.withdraw(ctx, hold, now)
		return
	}
	d := newDraft(l, now)
	d.cancel()
	d.release()
	d.grant()
	d.forget()
	if l.document != nil && l.informed(now) && l.due(now) {
		l.plan(d, now)
	}
	if err := l.commit(ctx, hold, d.changes(), now); err != nil {
		return
	}
	d.tell()
}

// commit writes changed rows and notes the outcome.
func (l *loop) commit(ctx context.Context, hold lease.Hold, changes []change, now time.Time) error {
	if len(changes) == 0 {
		return nil
	}
	l.duty.deps.Scope.Counter("ledger_writes").Inc(1)
	err := l.books.write(ctx, hold, changes)
	switch code.Of(err) {
	case code.OK:
		return nil
	case code.StoreConflict:
		l.duty.keeper.Doubt()
	}
	l.backOff(now, "ledger_unwritten", err)
	return err
}

// due tells whether it is time to plan: the document changed, or the last plan is
// a part of the period old.
func (l *loop) due(now time.Time) bool {
	return l.document != l.plannedFor || now.Sub(l.planned) >= l.duty.config.PlanPeriod/plansPerPeriod
}

// plan makes a plan and takes its moves into the draft.
func (l *loop) plan(d *draft, now time.Time) {
	l.planned, l.plannedFor = now, l.document
	facts := l.facts(d, now)
	l.duty.planning.Lock()
	plan := l.planner.Plan(facts)
	l.duty.planning.Unlock()
	l.duty.mu.Lock()
	l.duty.plan, l.duty.facts = plan, &facts
	l.duty.mu.Unlock()
	for _, m := range plan.Moves {
		d.move(m)
	}
}

// publish renews the status.
func (l *loop) publish(hold lease.Hold, mine bool) {
	row := l.duty.keeper.Row()
	s := Status{Holder: row.VM, Mine: mine, Fence: row.Fence, Running: l.running}
	if mine {
		s.Fence = hold.Fence
	}
	for _, vm := range l.books.engines() {
		s.Engines = append(s.Engines, l.engineStatus(vm))
	}
	l.duty.mu.Lock()
	defer l.duty.mu.Unlock()
	s.Blocked = l.duty.plan.Blocked
	l.duty.status = s
}

// engineStatus returns the state of an engine that has a row.
func (l *loop) engineStatus(vm string) EngineStatus {
	b := l.books.copies[vm]
	s := EngineStatus{VM: vm, MemoryMB: b.row.MemoryMB, CommittedMB: b.row.Committed()}
	k := l.known[vm]
	fault := b.fault
	if fault == nil && k != nil {
		fault = k.fault
	}
	if fault != nil {
		s.SetAside, s.Reason = code.Of(fault), fault.Error()
	}
	for _, c := range b.row.Charges {
		if c.Phase == ledger.PhaseUnloading || k == nil || !k.resident(c.Slot, time.Now()) {
			what := string(c.Phase) + " " + c.Slot.String()
			if vms := l.awaited(b.row, c); c.Phase == ledger.PhaseUnloading && len(vms) > 0 {
				what += ", waits for " + strings.Join(vms, ", ")
			}
			s.Unresolved = append(s.Unresolved, what)
		}
	}
	return s
}
