package order

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// reportsToRecover is the number of consistent reports after which an engine that
	// was set aside gets orders again.
	reportsToRecover = 3
	// unchargedTimeout is how long an engine may report a slot without a charge, since
	// reports lag behind unloads.
	unchargedTimeout = 20 * time.Second
	// absentTimeout is how long a slot may be missing from the reports of the process
	// that confirmed its load before the slot is loaded again.
	absentTimeout = 20 * time.Second
	// partialRoleTimeout is how long an engine may report a role that serves no whole
	// requests before placement treats the engine as unusable.
	partialRoleTimeout = 30 * time.Second
	// defaultTokensPerSecond is the assumed capacity of an accelerator until reports
	// allow an estimate for the engine.
	defaultTokensPerSecond = 2500.0
	// minLoadForEstimate is the number of running requests, as a fraction of the batch
	// limit, from which on the generation rate is used to estimate the capacity.
	minLoadForEstimate = 0.5
)

// engineView is a daemon's view of an engine, based on reports, which lag, and on the
// answers to the daemon's own orders.
type engineView struct {
	vm store.VM
	// report is the last accepted report, and measuredAt the time of its measurement in
	// this daemon's clock.
	report     engine.Report
	measuredAt time.Time
	reported   bool
	// reportedSlots are the slots of the report.
	reportedSlots map[envdoc.Slot]bool
	// instance is the current engine process, and previousInstance the process before
	// it.
	instance         string
	previousInstance string
	// confirmedLoads holds, for each slot, the engine process that last confirmed its
	// load.
	confirmedLoads map[envdoc.Slot]string
	// confirmedUnloads holds the order ids of confirmed unloads.
	confirmedUnloads map[string]bool
	// unloadedAt is when the unload of a slot was confirmed. A report measured before
	// then does not show a later load of the slot.
	unloadedAt map[envdoc.Slot]time.Time
	// unchargedSince is when a slot without a charge was first reported.
	unchargedSince map[envdoc.Slot]time.Time
	// absentSince is when a slot with a confirmed load was first missing from reports.
	absentSince map[envdoc.Slot]time.Time
	// restartedAt is when a new engine process was noticed.
	restartedAt time.Time
	// fence is the highest fencing number that the engine process confirmed.
	fence int64
	// partialRoleSince is when the engine first reported a role that serves no whole
	// requests, or zero.
	partialRoleSince time.Time
	// fault is why the engine is set aside. consistentReports counts the accepted
	// reports since the last inconsistent one.
	fault             error
	consistentReports int
	// tokensPerSecond is the estimated capacity of the engine.
	tokensPerSecond float64
}

// newEngineView returns the view of an engine that has not reported.
func newEngineView(vm store.VM) *engineView {
	return &engineView{
		vm:               vm,
		confirmedLoads:   map[envdoc.Slot]string{},
		confirmedUnloads: map[string]bool{},
		unloadedAt:       map[envdoc.Slot]time.Time{},
		unchargedSince:   map[envdoc.Slot]time.Time{},
		absentSince:      map[envdoc.Slot]time.Time{},
		tokensPerSecond:  defaultTokensPerSecond * float64(max(1, vm.Accelerators)),
	}
}

// usable reports whether the engine gets orders: its last report is recent and the
// engine is not set aside.
func (e *engineView) usable(now time.Time) bool {
	return e.reported && e.fault == nil && now.Sub(e.measuredAt) <= MaxReportAge
}

// servesWholeRequests reports whether the engine serves whole requests, or has not done
// so only for a short time.
func (e *engineView) servesWholeRequests(now time.Time) bool {
	return e.partialRoleSince.IsZero() || now.Sub(e.partialRoleSince) <= partialRoleTimeout
}

// memoryMB returns the memory that may be charged: the smaller of the sizes that the
// platform and the engine give, or the only size that is known.
func (e *engineView) memoryMB() int64 {
	if e.vm.MemoryMB > 0 && e.report.MemoryMB > 0 {
		return min(e.vm.MemoryMB, e.report.MemoryMB)
	}
	return max(e.vm.MemoryMB, e.report.MemoryMB)
}

// observe processes a report. Repeated reports, and delayed ones of a replaced process,
// are ignored. For an engine that is not yet set aside, an inconsistent report results
// in an error with code EngineSetAside.
func (e *engineView) observe(r engine.Report, measured time.Time, row ledger.Row, now time.Time) error {
	if e.reported && r.Instance == e.report.Instance && r.Sequence == e.report.Sequence {
		return nil
	}
	if e.reported && r.Instance != e.report.Instance && !r.MeasuredAt.After(e.report.MeasuredAt) {
		return nil
	}
	err := e.validate(r, row, now)
	if err != nil {
		newFault := e.fault == nil
		e.fault, e.consistentReports = err, 0
		if newFault {
			return err
		}
		return nil
	}
	e.accept(r, measured, now)
	return nil
}

// validate returns an error if a report is inconsistent.
func (e *engineView) validate(r engine.Report, row ledger.Row, now time.Time) error {
	sameProcess := e.reported && r.Instance == e.report.Instance
	switch {
	case r.VM != "" && r.VM != e.vm.ID:
		return code.Errorf(code.EngineSetAside, "engine %s reports the VM id %s", e.vm.ID, r.VM)
	case r.Instance == "":
		return code.Errorf(code.EngineSetAside, "engine %s reports no instance id", e.vm.ID)
	case r.MemoryMB <= 0 || r.UsedMB < 0 || r.UsedMB > r.MemoryMB:
		return code.Errorf(code.EngineSetAside, "engine %s reports an invalid memory use of %d of %d MB", e.vm.ID, r.UsedMB, r.MemoryMB)
	case r.Running < 0 || r.Waiting < 0 || r.WaitingTokens < 0 || !(r.TokensPerSecond >= 0):
		return code.Errorf(code.EngineSetAside, "engine %s reports a load that is negative or not a number", e.vm.ID)
	case sameProcess && r.Sequence < e.report.Sequence:
		return code.Errorf(code.EngineSetAside, "engine %s reports sequence number %d after %d", e.vm.ID, r.Sequence, e.report.Sequence)
	case sameProcess && r.MeasuredAt.Before(e.report.MeasuredAt):
		return code.Errorf(code.EngineSetAside, "engine %s reports a time before that of its last report", e.vm.ID)
	}
	return e.checkUncharged(r, row, now)
}

// checkUncharged returns an error if the engine has reported a slot without a charge
// for too long.
func (e *engineView) checkUncharged(r engine.Report, row ledger.Row, now time.Time) error {
	for slot := range e.unchargedSince {
		if !slices.Contains(r.Slots, slot) {
			delete(e.unchargedSince, slot)
		}
	}
	for _, slot := range r.Slots {
		if _, charged := row.FindCharge(slot); charged {
			delete(e.unchargedSince, slot)
			continue
		}
		since, seen := e.unchargedSince[slot]
		if !seen {
			e.unchargedSince[slot] = now
			continue
		}
		if now.Sub(since) > unchargedTimeout {
			return code.Errorf(code.EngineSetAside, "engine %s reports %s, which has no charge in the ledger", e.vm.ID, slot)
		}
	}
	return nil
}

// accept processes a consistent report that was measured at a time.
func (e *engineView) accept(r engine.Report, measured, now time.Time) {
	e.consistentReports++
	if e.consistentReports >= reportsToRecover {
		e.fault = nil
	}
	if e.reportedSlots == nil || !slices.Equal(r.Slots, e.report.Slots) {
		e.reportedSlots = make(map[envdoc.Slot]bool, len(r.Slots))
		for _, s := range r.Slots {
			e.reportedSlots[s] = true
		}
	}
	e.report, e.measuredAt, e.reported = r, measured, true
	e.recordInstance(r.Instance, now)
	e.estimateCapacity(r)
	switch {
	case r.Role.RunsBothPhases():
		e.partialRoleSince = time.Time{}
	case e.partialRoleSince.IsZero():
		e.partialRoleSince = now
	}
	for slot, instance := range e.confirmedLoads {
		if instance != r.Instance || e.reportedSlots[slot] {
			delete(e.absentSince, slot)
			continue
		}
		if _, seen := e.absentSince[slot]; !seen {
			e.absentSince[slot] = now
		}
	}
}

// recordInstance records the engine process that sent a report or an answer. The id of
// the previous process is ignored, since a delayed report or answer may carry that id.
func (e *engineView) recordInstance(instance string, now time.Time) {
	if instance == "" || instance == e.instance || instance == e.previousInstance {
		return
	}
	if e.instance != "" {
		e.restartedAt = now
	}
	e.previousInstance, e.instance = e.instance, instance
	e.fence = 0
	clear(e.absentSince)
}

// estimateCapacity updates the moving average of the capacity, in tokens per second, from
// the generation rate of a busy engine.
func (e *engineView) estimateCapacity(r engine.Report) {
	if r.BatchLimit <= 0 {
		return
	}
	load := float64(r.Running) / float64(r.BatchLimit)
	if load >= minLoadForEstimate && r.TokensPerSecond > 0 {
		const weight = 0.1
		e.tokensPerSecond += weight * (r.TokensPerSecond/load - e.tokensPerSecond)
	}
}

// loadFactor returns the running and waiting requests as a fraction of the batch limit.
// Above 1, requests wait.
func (e *engineView) loadFactor() float64 {
	if e.report.BatchLimit <= 0 {
		return 0
	}
	return float64(e.report.Running+e.report.Waiting) / float64(e.report.BatchLimit)
}

// resident reports whether a charged slot is known to be loaded: the running engine
// process confirmed the load or reports the slot.
func (e *engineView) resident(slot envdoc.Slot, now time.Time) bool {
	if e.instance == "" {
		return false
	}
	if since, ok := e.absentSince[slot]; ok && now.Sub(since) > absentTimeout {
		return false
	}
	if e.confirmedLoads[slot] == e.instance {
		return true
	}
	if at, ok := e.unloadedAt[slot]; ok && !e.measuredAt.After(at) {
		return false
	}
	return e.report.Instance == e.instance && e.reportedSlots[slot]
}

// recordConfirmation records the answer to an order that the engine carried out.
// chargeOrder is the order id in the charge.
func (e *engineView) recordConfirmation(chargeOrder string, o engine.Order, a engine.OrderResult, now time.Time) {
	e.recordInstance(a.Instance, now)
	switch o.Kind {
	case engine.OrderLoad:
		e.confirmedLoads[o.Slot] = a.Instance
		delete(e.absentSince, o.Slot)
	case engine.OrderUnload:
		e.confirmedUnloads[chargeOrder] = true
		e.unloadedAt[o.Slot] = now
		delete(e.confirmedLoads, o.Slot)
		delete(e.absentSince, o.Slot)
	}
	e.fence = max(e.fence, a.Fence)
}
