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
const maxPlansPerPeriod = 4

// loop is the state of the duty's goroutine.
type loop struct {
	duty    *Duty
	ledger  *ledgerCache
	planner *place.Planner
	// known is what is known of each engine of the data centre, vms the whole
	// VM list in the order of ids.
	engines map[string]*engineView
	vms     []store.VM
	// missing is since when a sender or engine is not in the VM list.
	missingSince  map[string]time.Time
	attempts      map[slotKey]*orderAttempts
	senderQueries map[grantSender]*senderQuery
	// took is when this daemon took the lease with the fence tookFence.
	leaseTakenAt    time.Time
	leaseTakenFence int64
	// silent is since when daemons leave questions without an answer.
	silentSince     map[string]time.Time
	unloadsToCancel map[slotKey]bool
	refusedUntil    map[slotKey]time.Time
	startedAt       time.Time
	inFlight        int
	modelLoads      int
	adapterLoads    int
	budget          *loadBudget
	limiter         *rate.Limiter
	document        *envdoc.Document
	plannedAt       time.Time
	plannedDocument *envdoc.Document
	prunedAt        time.Time
	releasableSince time.Time
	tableRetryAt    time.Time
}

// newLoop returns the state before the first step.
func newLoop(d *Duty) *loop {
	c := d.config
	return &loop{
		duty:            d,
		startedAt:       time.Now(),
		ledger:          newLedgerCache(d.deps.Table, c.Environment, c.DataCentre),
		planner:         place.NewPlanner(),
		engines:         map[string]*engineView{},
		missingSince:    map[string]time.Time{},
		attempts:        map[slotKey]*orderAttempts{},
		senderQueries:   map[grantSender]*senderQuery{},
		silentSince:     map[string]time.Time{},
		unloadsToCancel: map[slotKey]bool{},
		refusedUntil:    map[slotKey]time.Time{},
		budget:          newLoadBudget(d.deps.Table, c.Environment, c.DataCentre),
		limiter:         rate.NewLimiter(0, 1),
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
		case <-l.duty.wakeups:
			l.waitCommitWindow(ctx)
		}
	}
}

// pause gathers what arises in the commit window.
func (l *loop) waitCommitWindow(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(commitWindow):
	}
}

// step takes in what happened, writes what follows, and sends what is charged.
func (l *loop) step(ctx context.Context, now time.Time) {
	l.collectResults(now)
	l.observeEngines(now)
	if doc, ok := l.duty.deps.Documents.Document(); ok {
		l.document = doc
	}
	hold, holdsLease := l.duty.keeper.Hold()
	l.refreshLedger(ctx, holdsLease, now)
	l.updateMissing(l.vms, now)
	l.updateLimits(ctx, hold, holdsLease, now)
	if holdsLease && hold.Fence != l.leaseTakenFence {
		l.leaseTakenAt, l.leaseTakenFence = now, hold.Fence
	}
	if holdsLease && l.ledger.writable && !now.Before(l.tableRetryAt) {
		l.updateLedger(ctx, hold, now)
	}
	l.dispatch(ctx, hold, holdsLease && l.ledger.writable, now)
	l.updateStatus(hold, holdsLease)
	l.prune(now)
}

// leaving tells whether the daemon has begun to leave.
func (l *loop) isLeaving() bool {
	l.duty.mu.Lock()
	defer l.duty.mu.Unlock()
	return l.duty.leaving
}

// withdraw takes this daemon out of all grants, once nothing that it sent is
// unanswered, so that its successor need not wait for its VM to be gone.
func (l *loop) withdrawFromGrants(ctx context.Context, hold lease.Hold, now time.Time) {
	if l.inFlight > 0 {
		return
	}
	var changes []change
	for _, vm := range l.ledger.engines() {
		cached := l.ledger.rows[vm]
		if cached.fault != nil {
			continue
		}
		row := cached.row.Withdraw(l.duty.config.VM, func(g ledger.Grant) bool { return l.duty.AnswerSent(g.ID).State == SentNever })
		if len(row.Senders()) != len(cached.row.Senders()) {
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
func (l *loop) enginesReported(now time.Time) bool {
	if now.Sub(l.startedAt) >= startGrace {
		return true
	}
	for _, v := range l.vms {
		e := l.engines[v.ID]
		if v.State == store.StateLive && e != nil && !e.reported {
			return false
		}
	}
	return len(l.engines) > 0
}

// observe takes in the VM list and the reports.
func (l *loop) observeEngines(now time.Time) {
	l.vms = slices.Clone(l.duty.deps.VMs.VMs())
	slices.SortFunc(l.vms, func(a, b store.VM) int { return strings.Compare(a.ID, b.ID) })
	for _, v := range l.vms {
		if v.Kind != store.KindEngine || v.DataCentre != l.duty.config.DataCentre {
			continue
		}
		e := l.engines[v.ID]
		if e == nil {
			e = newEngineView(v)
			l.engines[v.ID] = e
		}
		e.vm = v
		l.observeReport(e, now)
	}
}

// report takes in the report of an engine.
func (l *loop) observeReport(e *engineView, now time.Time) {
	r, received, ok := l.duty.deps.Reports.Report(e.vm.ID)
	if !ok {
		return
	}
	var row ledger.Row
	if cached, ok := l.ledger.rows[e.vm.ID]; ok {
		row = cached.row
	}
	if err := e.observe(r, received, row, now); err != nil {
		l.recordSetAside(e, err)
	}
}

// setAside tells that an engine gets no orders.
func (l *loop) recordSetAside(e *engineView, err error) {
	l.duty.deps.Scope.Counter("engines_set_aside").Inc(1)
	l.duty.deps.Events.Add(event.Event{Kind: event.EngineSetAside, VM: e.vm.ID, Code: int(code.Of(err)), Text: err.Error()})
	l.duty.deps.Log.Warn("engine_set_aside", zap.String("vm", e.vm.ID), zap.Error(err))
}

// read reads the ledger when the copy is stale.
func (l *loop) refreshLedger(ctx context.Context, holdsLease bool, now time.Time) {
	outdated := !l.ledger.writable
	if !holdsLease {
		outdated = now.Sub(l.ledger.readAt) > CopyPeriod
	}
	if !outdated || now.Before(l.tableRetryAt) {
		return
	}
	refresh := l.ledger.refresh
	if !holdsLease {
		refresh = l.readRestorableRows
	}
	if err := refresh(ctx, now); err != nil {
		l.backOff(now, "ledger_unread", err)
		return
	}
	for _, vm := range l.ledger.engines() {
		if err := l.ledger.rows[vm].fault; err != nil {
			if e := l.engines[vm]; e != nil {
				l.recordSetAside(e, err)
			}
		}
	}
}

// copyRows reads the rows of the engines that this daemon may have to restore: a
// daemon without the lease keeps no others.
func (l *loop) readRestorableRows(ctx context.Context, now time.Time) error {
	var engines []string
	for _, v := range l.vms {
		if v.Kind != store.KindEngine || v.DataCentre != l.duty.config.DataCentre {
			continue
		}
		// The holder leaves itself out, and may know other daemons.
		chosen := l.chooseRestorers(v.ID, 2*extraRestorers)
		if slices.Contains(chosen, l.duty.config.VM) || l.namedInGrant(v.ID) {
			engines = append(engines, v.ID)
		}
	}
	return l.ledger.readRows(ctx, engines, now)
}

// held tells whether the copy of an engine's row names this daemon.
func (l *loop) namedInGrant(vm string) bool {
	cached, ok := l.ledger.rows[vm]
	return ok && cached.row.Current().Allows(l.duty.config.VM)
}

// backOff puts the next call to the table off.
func (l *loop) backOff(now time.Time, message string, err error) {
	l.tableRetryAt = now.Add(time.Second)
	l.duty.deps.Log.Warn(message, zap.Error(err))
}

// decide writes, in one transaction, what follows from answers, from the state
// of the senders, and from a new plan.
func (l *loop) updateLedger(ctx context.Context, hold lease.Hold, now time.Time) {
	if err := l.commit(ctx, hold, l.ledger.rewriteUncertain(), now); err != nil {
		return
	}
	if l.isLeaving() {
		l.withdrawFromGrants(ctx, hold, now)
		return
	}
	d := newDraft(l, now)
	d.cancelUnloads()
	d.releaseCharges()
	d.renewGrants()
	d.removeGoneEngines()
	if l.document != nil && l.enginesReported(now) && l.planDue(now) {
		l.makePlan(d, now)
	}
	if err := l.commit(ctx, hold, d.changes(), now); err != nil {
		return
	}
	d.recordMoves()
}

// commit writes changed rows and notes the outcome.
func (l *loop) commit(ctx context.Context, hold lease.Hold, changes []change, now time.Time) error {
	if len(changes) == 0 {
		return nil
	}
	l.duty.deps.Scope.Counter("ledger_writes").Inc(1)
	err := l.ledger.write(ctx, hold, changes)
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
func (l *loop) planDue(now time.Time) bool {
	return l.document != l.plannedDocument || now.Sub(l.plannedAt) >= l.duty.config.PlanPeriod/maxPlansPerPeriod
}

// plan makes a plan and takes its moves into the draft.
func (l *loop) makePlan(d *draft, now time.Time) {
	l.plannedAt, l.plannedDocument = now, l.document
	facts := l.planFacts(d, now)
	l.duty.plannerMu.Lock()
	plan := l.planner.Plan(facts)
	l.duty.plannerMu.Unlock()
	l.duty.mu.Lock()
	l.duty.lastPlan, l.duty.lastFacts = plan, &facts
	l.duty.mu.Unlock()
	for _, m := range plan.Moves {
		d.applyMove(m)
	}
}

// publish renews the status.
func (l *loop) updateStatus(hold lease.Hold, holdsLease bool) {
	row := l.duty.keeper.Row()
	s := Status{Holder: row.VM, Mine: holdsLease, Fence: row.Fence, Running: l.inFlight}
	if holdsLease {
		s.Fence = hold.Fence
	}
	for _, vm := range l.ledger.engines() {
		s.Engines = append(s.Engines, l.engineStatus(vm))
	}
	l.duty.mu.Lock()
	defer l.duty.mu.Unlock()
	s.Blocked = l.duty.lastPlan.Blocked
	l.duty.status = s
}

// engineStatus returns the state of an engine that has a row.
func (l *loop) engineStatus(vm string) EngineStatus {
	cached := l.ledger.rows[vm]
	s := EngineStatus{VM: vm, MemoryMB: cached.row.MemoryMB, CommittedMB: cached.row.Committed()}
	e := l.engines[vm]
	fault := cached.fault
	if fault == nil && e != nil {
		fault = e.fault
	}
	if fault != nil {
		s.SetAside, s.Reason = code.Of(fault), fault.Error()
	}
	for _, c := range cached.row.Charges {
		if c.Phase == ledger.PhaseUnloading || e == nil || !e.resident(c.Slot, time.Now()) {
			text := string(c.Phase) + " " + c.Slot.String()
			if vms := l.silentSenders(cached.row, c); c.Phase == ledger.PhaseUnloading && len(vms) > 0 {
				text += ", waits for " + strings.Join(vms, ", ")
			}
			s.Unresolved = append(s.Unresolved, text)
		}
	}
	return s
}
