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
	// soundReports is the number of sound reports after which an engine that
	// was set aside is used again.
	reportsToRecover = 3
	// strayTime is how long a slot without a charge may be reported: reports
	// lag behind unloads.
	unchargedTimeout = 20 * time.Second
	// absentTime is how long a slot may be missing from the reports of the
	// process that confirmed it before it is loaded again.
	absentTimeout = 20 * time.Second
	// roleTime is how long an engine may be in a role that serves no whole
	// requests before placement counts without it.
	partialRoleTimeout = 30 * time.Second
	// defaultTokens is the capacity of an accelerator, in tokens a second,
	// until reports show the engine's.
	defaultTokensPerSecond = 2500.0
	// busyLoad is the measured load from which the rate of generation tells
	// the capacity.
	minLoadForEstimate = 0.5
)

// knowledge is what a daemon knows of an engine: from reports, which lag, and
// from answers to its own orders.
type engineView struct {
	vm store.VM
	// report is the last accepted report.
	report     engine.Report
	receivedAt time.Time
	reported   bool
	// listed are the slots of the report.
	reportedSlots map[envdoc.Slot]bool
	// instance is the engine process known last, replaced the one before.
	instance         string
	previousInstance string
	// done are the slots whose load a process confirmed.
	confirmedLoads map[envdoc.Slot]string
	// gone are the confirmed unloads, by order id.
	confirmedUnloads map[string]bool
	// unloaded is when the unload of a slot was confirmed; a report measured
	// before is no evidence of a later load.
	unloadedAt map[envdoc.Slot]time.Time
	// stray is since when slots without a charge were reported.
	unchargedSince map[envdoc.Slot]time.Time
	// absent is since when a confirmed slot is missing from reports.
	absentSince map[envdoc.Slot]time.Time
	// restarted is when a new process was noticed.
	restartedAt time.Time
	// fence is the highest fencing number that the process confirmed.
	fence int64
	// partial is since when the engine reports a role that serves no whole
	// requests.
	partialRoleSince time.Time
	// fault is why the engine is set aside, sound the sound reports since.
	fault             error
	consistentReports int
	// tokens is the capacity learnt, in tokens a second.
	tokensPerSecond float64
}

// newKnowledge returns what is known of an engine that never reported.
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

// usable tells whether the engine gets orders at now.
func (e *engineView) usable(now time.Time) bool {
	return e.reported && e.fault == nil && now.Sub(e.receivedAt) <= ReportLifetime
}

// serves tells whether the engine serves whole requests, or may again soon.
func (e *engineView) servesWholeRequests(now time.Time) bool {
	return e.partialRoleSince.IsZero() || now.Sub(e.partialRoleSince) <= partialRoleTimeout
}

// memoryMB is the memory that may be charged: the least of what the platform
// and the engine say.
func (e *engineView) memoryMB() int64 {
	if e.vm.MemoryMB > 0 && e.report.MemoryMB > 0 {
		return min(e.vm.MemoryMB, e.report.MemoryMB)
	}
	return max(e.vm.MemoryMB, e.report.MemoryMB)
}

// observe takes a report. It returns a fault, with code EngineSetAside, that
// was not known before.
func (e *engineView) observe(r engine.Report, received time.Time, row ledger.Row, now time.Time) error {
	if e.reported && r.Instance == e.report.Instance && r.Sequence == e.report.Sequence {
		return nil
	}
	if e.reported && r.Instance != e.report.Instance && !r.At.After(e.report.At) {
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
	e.accept(r, received, now)
	return nil
}

// contradiction returns what is wrong with a report.
func (e *engineView) validate(r engine.Report, row ledger.Row, now time.Time) error {
	sameProcess := e.reported && r.Instance == e.report.Instance
	switch {
	case r.VM != "" && r.VM != e.vm.ID:
		return code.Errorf(code.EngineSetAside, "engine %s reports as %s", e.vm.ID, r.VM)
	case r.Instance == "":
		return code.Errorf(code.EngineSetAside, "engine %s reports no instance", e.vm.ID)
	case r.MemoryMB <= 0 || r.UsedMB < 0 || r.UsedMB > r.MemoryMB:
		return code.Errorf(code.EngineSetAside, "engine %s reports %d of %d MB used", e.vm.ID, r.UsedMB, r.MemoryMB)
	case r.Running < 0 || r.Waiting < 0 || r.WaitingTokens < 0 || !(r.TokensPerSecond >= 0):
		return code.Errorf(code.EngineSetAside, "engine %s reports a negative load", e.vm.ID)
	case sameProcess && r.Sequence < e.report.Sequence:
		return code.Errorf(code.EngineSetAside, "engine %s reports sequence %d after %d", e.vm.ID, r.Sequence, e.report.Sequence)
	case sameProcess && r.At.Before(e.report.At):
		return code.Errorf(code.EngineSetAside, "time of engine %s runs back", e.vm.ID)
	}
	return e.checkUncharged(r, row, now)
}

// strays finds slots that are reported for long without a charge.
func (e *engineView) checkUncharged(r engine.Report, row ledger.Row, now time.Time) error {
	for slot := range e.unchargedSince {
		if !slices.Contains(r.Slots, slot) {
			delete(e.unchargedSince, slot)
		}
	}
	for _, slot := range r.Slots {
		if _, charged := row.Find(slot); charged {
			delete(e.unchargedSince, slot)
			continue
		}
		since, seen := e.unchargedSince[slot]
		if !seen {
			e.unchargedSince[slot] = now
			continue
		}
		if now.Sub(since) > unchargedTimeout {
			return code.Errorf(code.EngineSetAside, "engine %s holds %s, which the ledger does not charge", e.vm.ID, slot)
		}
	}
	return nil
}

// accept takes a sound report.
func (e *engineView) accept(r engine.Report, received, now time.Time) {
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
	e.report, e.receivedAt, e.reported = r, received, true
	e.recordInstance(r.Instance, now)
	e.estimateCapacity(r)
	switch {
	case r.Role.Whole():
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

// process notes the engine process that reported or answered.
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

// learn takes the capacity from a busy engine's rate of generation.
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

// load is the measured part of the capacity in use; above 1 requests wait.
func (e *engineView) loadFactor() float64 {
	if e.report.BatchLimit <= 0 {
		return 0
	}
	return float64(e.report.Running+e.report.Waiting) / float64(e.report.BatchLimit)
}

// resident tells whether a charged slot is loaded, as far as is known: the
// running process confirmed it or reports it.
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
	if unloadedAt, ok := e.unloadedAt[slot]; ok && !e.receivedAt.After(unloadedAt) {
		return false
	}
	return e.report.Instance == e.instance && e.reportedSlots[slot]
}

// confirmed notes the answer to an order that was carried out for a charge with
// the order id charge.
func (e *engineView) recordConfirmation(chargeOrder string, o engine.Order, a engine.OrderAnswer, now time.Time) {
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
