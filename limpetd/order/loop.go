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

// maxPlansPerPeriod is the maximum number of plans in a plan period, when results of
// orders trigger plans early.
const maxPlansPerPeriod = 4

// loop is the state of the control loop of a Controller.
type loop struct {
	controller *Controller
	cache      *ledgerCache
	planner    *place.Planner
	// engines are the views of the engines of the data centre, by VM id. vms is the
	// whole VM list, sorted by id.
	engines map[string]*engineView
	vms     []store.VM
	// missingSince is when a grant's sender or an engine was first missing from the VM
	// list.
	missingSince  map[string]time.Time
	attempts      map[slotKey]*orderAttempts
	senderQueries map[grantSender]*senderQuery
	// leaseTakenAt is when this daemon took the lease with the fencing number
	// leaseTakenFence.
	leaseTakenAt    time.Time
	leaseTakenFence int64
	// silentSince is when a daemon first left a sender query without an answer.
	silentSince map[string]time.Time
	// unloadsToCancel are the unloads that would remove a last replica.
	unloadsToCancel map[slotKey]bool
	// refusedUntil is when placement may again use an engine for a model that the
	// engine refused.
	refusedUntil map[slotKey]time.Time
	startedAt    time.Time
	// inFlight counts orders and sender queries, modelLoads and adapterLoads the loads
	// among them.
	inFlight     int
	modelLoads   int
	adapterLoads int
	budget       *loadBudget
	// limiter enforces the rate of model loads.
	limiter         *rate.Limiter
	document        *envdoc.Document
	plannedAt       time.Time
	plannedDocument *envdoc.Document
	prunedAt        time.Time
	// releasableSince is when the oldest unwritten release became possible.
	releasableSince time.Time
	// tableRetryAt is when the table may be called again after a failure.
	tableRetryAt time.Time
}

// newLoop returns the state before the first step.
func newLoop(d *Controller) *loop {
	c := d.config
	return &loop{
		controller:      d,
		startedAt:       time.Now(),
		cache:           newLedgerCache(d.deps.Table, c.Environment, c.DataCentre),
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

// run executes a step in each plan period, and earlier after a wake-up.
func (l *loop) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.controller.config.PlanPeriod):
		case <-l.controller.wakeups:
			l.waitCommitWindow(ctx)
		}
	}
}

// waitCommitWindow waits for further changes, so that the next step handles them
// together.
func (l *loop) waitCommitWindow(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(commitWindow):
	}
}

// step processes results and reports, writes the resulting changes to the ledger, and
// sends the orders of the charged slots.
func (l *loop) step(ctx context.Context, now time.Time) {
	l.collectResults(now)
	l.observeEngines(now)
	if doc, ok := l.controller.deps.Documents.Document(); ok {
		l.document = doc
	}
	hold, holdsLease := l.controller.keeper.Hold()
	l.refreshLedger(ctx, holdsLease, now)
	l.updateMissing(l.vms, now)
	l.updateLimits(ctx, hold, holdsLease, now)
	if holdsLease && hold.Fence != l.leaseTakenFence {
		l.leaseTakenAt, l.leaseTakenFence = now, hold.Fence
	}
	if holdsLease && l.cache.writable && !now.Before(l.tableRetryAt) {
		l.updateLedger(ctx, hold, now)
	}
	l.dispatch(ctx, hold, holdsLease && l.cache.writable, now)
	l.updateStatus(hold, holdsLease)
	l.prune(now)
}

// isLeaving reports whether Leave was called.
func (l *loop) isLeaving() bool {
	l.controller.mu.Lock()
	defer l.controller.mu.Unlock()
	return l.controller.leaving
}

// withdrawFromGrants removes this daemon from the grants that are void for it, once none
// of its orders and sender queries are in flight. The next lease holder then need not
// wait until the VM of this daemon is gone.
func (l *loop) withdrawFromGrants(ctx context.Context, hold lease.Hold, now time.Time) {
	if l.inFlight > 0 {
		return
	}
	var changes []change
	for _, vm := range l.cache.engineIDs() {
		cached := l.cache.entries[vm]
		if cached.fault != nil {
			continue
		}
		row := cached.row.RemoveSender(l.controller.config.VM, func(g ledger.Grant) bool { return l.controller.AnswerGrantQuery(g.ID).State == GrantVoid })
		if len(row.Senders()) != len(cached.row.Senders()) {
			changes = append(changes, change{row: row})
		}
	}
	if err := l.commit(ctx, hold, changes, now); err != nil {
		return
	}
	l.controller.mu.Lock()
	defer l.controller.mu.Unlock()
	l.controller.withdrawn = true
}

// enginesReported reports whether all live engines have reported, or startGrace is
// over.
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

// observeEngines reads the VM list and the reports of the engines.
func (l *loop) observeEngines(now time.Time) {
	l.vms = slices.Clone(l.controller.deps.VMs.VMs())
	slices.SortFunc(l.vms, func(a, b store.VM) int { return strings.Compare(a.ID, b.ID) })
	for _, v := range l.vms {
		if v.Kind != store.KindEngine || v.DataCentre != l.controller.config.DataCentre {
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

// observeReport processes the last report of an engine.
func (l *loop) observeReport(e *engineView, now time.Time) {
	r, measured, ok := l.controller.deps.Reports.Report(e.vm.ID)
	if !ok {
		return
	}
	var row ledger.Row
	if cached, ok := l.cache.entries[e.vm.ID]; ok {
		row = cached.row
	}
	if err := e.observe(r, measured, row, now); err != nil {
		l.recordSetAside(e, err)
	}
}

// recordSetAside emits a metric, an event and a log line for an engine that gets no
// more orders.
func (l *loop) recordSetAside(e *engineView, err error) {
	l.controller.deps.Scope.Counter("engines_set_aside").Inc(1)
	l.controller.deps.Events.Add(event.Event{Kind: event.EngineSetAside, VM: e.vm.ID, Code: int(code.Of(err)), Text: err.Error()})
	l.controller.deps.Log.Warn("engine_set_aside", zap.String("vm", e.vm.ID), zap.Error(err))
}

// refreshLedger reads the ledger if the cached rows are outdated. The lease holder
// reads while the cache is not writable, other daemons every LedgerRefreshPeriod.
func (l *loop) refreshLedger(ctx context.Context, holdsLease bool, now time.Time) {
	outdated := !l.cache.writable
	if !holdsLease {
		outdated = now.Sub(l.cache.readAt) > LedgerRefreshPeriod
	}
	if !outdated || now.Before(l.tableRetryAt) {
		return
	}
	refresh := l.cache.refresh
	if !holdsLease {
		refresh = l.readRestorableRows
	}
	if err := refresh(ctx, now); err != nil {
		l.backOff(now, "ledger_unread", err)
		return
	}
	for _, vm := range l.cache.engineIDs() {
		if err := l.cache.entries[vm].fault; err != nil {
			if e := l.engines[vm]; e != nil {
				l.recordSetAside(e, err)
			}
		}
	}
}

// readRestorableRows reads the rows of the engines that this daemon may have to
// restore. A daemon without the lease caches no other rows.
func (l *loop) readRestorableRows(ctx context.Context, now time.Time) error {
	var engines []string
	for _, v := range l.vms {
		if v.Kind != store.KindEngine || v.DataCentre != l.controller.config.DataCentre {
			continue
		}
		// Consider more daemons than a grant names: the lease holder leaves itself out,
		// and its VM list may differ.
		chosen := l.chooseRestorers(v.ID, 2*extraRestorers)
		if slices.Contains(chosen, l.controller.config.VM) || l.namedInGrant(v.ID) {
			engines = append(engines, v.ID)
		}
	}
	return l.cache.readRows(ctx, engines, now)
}

// namedInGrant reports whether the current grant of an engine's cached row names this
// daemon.
func (l *loop) namedInGrant(vm string) bool {
	cached, ok := l.cache.entries[vm]
	return ok && cached.row.CurrentGrant().Allows(l.controller.config.VM)
}

// backOff postpones the next call to the table.
func (l *loop) backOff(now time.Time, message string, err error) {
	l.tableRetryAt = now.Add(time.Second)
	l.controller.deps.Log.Warn(message, zap.Error(err))
}

// updateLedger writes the changes that follow from answers of engines, from the state
// of the senders, and from a new plan. One transaction holds up to maxRowsPerTx rows.
func (l *loop) updateLedger(ctx context.Context, hold lease.Hold, now time.Time) {
	if err := l.commit(ctx, hold, l.cache.rewriteUncertain(), now); err != nil {
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

// commit writes changed rows. After a failure it postpones the next call to the table,
// and after a conflict the lease is read again before it is trusted.
func (l *loop) commit(ctx context.Context, hold lease.Hold, changes []change, now time.Time) error {
	if len(changes) == 0 {
		return nil
	}
	l.controller.deps.Scope.Counter("ledger_writes").Inc(1)
	err := l.cache.write(ctx, hold, changes)
	switch code.Of(err) {
	case code.OK:
		return nil
	case code.StoreConflict:
		l.controller.keeper.Invalidate()
	}
	l.backOff(now, "ledger_unwritten", err)
	return err
}

// planDue reports whether to make a new plan: the document has changed, or the last
// plan is older than the minimum time between plans.
func (l *loop) planDue(now time.Time) bool {
	return l.document != l.plannedDocument || now.Sub(l.plannedAt) >= l.controller.config.PlanPeriod/maxPlansPerPeriod
}

// makePlan makes a plan and applies its moves to the draft.
func (l *loop) makePlan(d *draft, now time.Time) {
	l.plannedAt, l.plannedDocument = now, l.document
	input := l.planInput(d, now)
	l.controller.plannerMu.Lock()
	plan := l.planner.Plan(input)
	l.controller.plannerMu.Unlock()
	l.controller.mu.Lock()
	l.controller.lastPlan, l.controller.lastInput = plan, &input
	l.controller.mu.Unlock()
	for _, m := range plan.Moves {
		d.applyMove(m)
	}
}

// updateStatus replaces the status that Status returns.
func (l *loop) updateStatus(hold lease.Hold, holdsLease bool) {
	row := l.controller.keeper.Row()
	s := Status{LeaseHolder: row.VM, HoldsLease: holdsLease, Fence: row.Fence, InFlight: l.inFlight}
	if holdsLease {
		s.Fence = hold.Fence
	}
	for _, vm := range l.cache.engineIDs() {
		s.Engines = append(s.Engines, l.engineStatus(vm))
	}
	l.controller.mu.Lock()
	defer l.controller.mu.Unlock()
	s.Blocked = l.controller.lastPlan.Blocked
	l.controller.status = s
}

// engineStatus returns the state of an engine that has a cached row.
func (l *loop) engineStatus(vm string) EngineStatus {
	cached := l.cache.entries[vm]
	s := EngineStatus{VM: vm, MemoryMB: cached.row.MemoryMB, CommittedMB: cached.row.ChargedMB()}
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
			s.Unconfirmed = append(s.Unconfirmed, text)
		}
	}
	return s
}
