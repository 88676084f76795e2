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
	soundReports = 3
	// strayTime is how long a slot without a charge may be reported: reports
	// lag behind unloads.
	strayTime = 20 * time.Second
	// absentTime is how long a slot may be missing from the reports of the
	// process that confirmed it before it is loaded again.
	absentTime = 20 * time.Second
	// roleTime is how long an engine may be in a role that serves no whole
	// requests before placement counts without it.
	roleTime = 30 * time.Second
	// defaultTokens is the capacity of an accelerator, in tokens a second,
	// until reports show the engine's.
	defaultTokens = 2500.0
	// busyLoad is the measured load from which the rate of generation tells
	// the capacity.
	busyLoad = 0.5
)

// knowledge is what a daemon knows of an engine: from reports, which lag, and
// from answers to its own orders.
type knowledge struct {
	vm store.VM
	// report is the last accepted report.
	report   engine.Report
	received time.Time
	reported bool
	// listed are the slots of the report.
	listed map[envdoc.Slot]bool
	// instance is the engine process known last, replaced the one before.
	instance string
	replaced string
	// done are the slots whose load a process confirmed.
	done map[envdoc.Slot]string
	// gone are the confirmed unloads, by order id.
	gone map[string]bool
	// unloaded is when the unload of a slot was confirmed; a report measured
	// before is no evidence of a later load.
	unloaded map[envdoc.Slot]time.Time
	// stray is since when slots without a charge were reported.
	stray map[envdoc.Slot]time.Time
	// absent is since when a confirmed slot is missing from reports.
	absent map[envdoc.Slot]time.Time
	// restarted is when a new process was noticed.
	restarted time.Time
	// fence is the highest fencing number that the process confirmed.
	fence int64
	// partial is since when the engine reports a role that serves no whole
	// requests.
	partial time.Time
	// fault is why the engine is set aside, sound the sound reports since.
	fault error
	sound int
	// tokens is the capacity learnt, in tokens a second.
	tokens float64
}

// newKnowledge returns what is known of an engine that never reported.
func newKnowledge(vm store.VM) *knowledge {
	return &knowledge{
		vm:       vm,
		done:     map[envdoc.Slot]string{},
		gone:     map[string]bool{},
		unloaded: map[envdoc.Slot]time.Time{},
		stray:    map[envdoc.Slot]time.Time{},
		absent:   map[envdoc.Slot]time.Time{},
		tokens:   defaultTokens * float64(max(1, vm.Accelerators)),
	}
}

// usable tells whether the engine gets orders at now.
func (k *knowledge) usable(now time.Time) bool {
	return k.reported && k.fault == nil && now.Sub(k.received) <= ReportLifetime
}

// serves tells whether the engine serves whole requests, or may again soon.
func (k *knowledge) serves(now time.Time) bool {
	return k.partial.IsZero() || now.Sub(k.partial) <= roleTime
}

// memoryMB is the memory that may be charged: the least of what the platform
// and the engine say.
func (k *knowledge) memoryMB() int64 {
	if k.vm.MemoryMB > 0 && k.report.MemoryMB > 0 {
		return min(k.vm.MemoryMB, k.report.MemoryMB)
	}
	return max(k.vm.MemoryMB, k.report.MemoryMB)
}

// observe takes a report. It returns a fault, with code EngineSetAside, that
// was not known before.
func (k *knowledge) observe(r engine.Report, received time.Time, row ledger.Row, now time.Time) error {
	if k.reported && r.Instance == k.report.Instance && r.Sequence == k.report.Sequence {
		return nil
	}
	if k.reported && r.Instance != k.report.Instance && !r.At.After(k.report.At) {
		return nil
	}
	err := k.contradiction(r, row, now)
	if err != nil {
		fresh := k.fault == nil
		k.fault, k.sound = err, 0
		if fresh {
			return err
		}
		return nil
	}
	k.accept(r, received, now)
	return nil
}

// contradiction returns what is wrong with a report.
func (k *knowledge) contradiction(r engine.Report, row ledger.Row, now time.Time) error {
	same := k.reported && r.Instance == k.report.Instance
	switch {
	case r.VM != "" && r.VM != k.vm.ID:
		return code.Errorf(code.EngineSetAside, "engine %s reports as %s", k.vm.ID, r.VM)
	case r.Instance == "":
		return code.Errorf(code.EngineSetAside, "engine %s reports no instance", k.vm.ID)
	case r.MemoryMB <= 0 || r.UsedMB < 0 || r.UsedMB > r.MemoryMB:
		return code.Errorf(code.EngineSetAside, "engine %s reports %d of %d MB used", k.vm.ID, r.UsedMB, r.MemoryMB)
	case r.Running < 0 || r.Waiting < 0 || r.WaitingTokens < 0 || !(r.TokensPerSecond >= 0):
		return code.Errorf(code.EngineSetAside, "engine %s reports a negative load", k.vm.ID)
	case same && r.Sequence < k.report.Sequence:
		return code.Errorf(code.EngineSetAside, "engine %s reports sequence %d after %d", k.vm.ID, r.Sequence, k.report.Sequence)
	case same && r.At.Before(k.report.At):
		return code.Errorf(code.EngineSetAside, "time of engine %s runs back", k.vm.ID)
	}
	return k.strays(r, row, now)
}

// strays finds slots that are reported for long without a charge.
func (k *knowledge) strays(r engine.Report, row ledger.Row, now time.Time) error {
	for slot := range k.stray {
		if !slices.Contains(r.Slots, slot) {
			delete(k.stray, slot)
		}
	}
	for _, slot := range r.Slots {
		if _, charged := row.Find(slot); charged {
			delete(k.stray, slot)
			continue
		}
		since, seen := k.stray[slot]
		if !seen {
			k.stray[slot] = now
			continue
		}
		if now.Sub(since) > strayTime {
			return code.Errorf(code.EngineSetAside, "engine %s holds %s, which the ledger does not charge", k.vm.ID, slot)
		}
	}
	return nil
}

// accept takes a sound report.
func (k *knowledge) accept(r engine.Report, received, now time.Time) {
	k.sound++
	if k.sound >= soundReports {
		k.fault = nil
	}
	if k.listed == nil || !slices.Equal(r.Slots, k.report.Slots) {
		k.listed = make(map[envdoc.Slot]bool, len(r.Slots))
		for _, s := range r.Slots {
			k.listed[s] = true
		}
	}
	k.report, k.received, k.reported = r, received, true
	k.process(r.Instance, now)
	k.learn(r)
	switch {
	case r.Role.Whole():
		k.partial = time.Time{}
	case k.partial.IsZero():
		k.partial = now
	}
	for slot, instance := range k.done {
		if instance != r.Instance || k.listed[slot] {
			delete(k.absent, slot)
			continue
		}
		if _, seen := k.absent[slot]; !seen {
			k.absent[slot] = now
		}
	}
}

// process notes the engine process that reported or answered.
func (k *knowledge) process(instance string, now time.Time) {
	if instance == "" || instance == k.instance || instance == k.replaced {
		return
	}
	if k.instance != "" {
		k.restarted = now
	}
	k.replaced, k.instance = k.instance, instance
	k.fence = 0
	clear(k.absent)
}

// learn takes the capacity from a busy engine's rate of generation.
func (k *knowledge) learn(r engine.Report) {
	if r.BatchLimit <= 0 {
		return
	}
	load := float64(r.Running) / float64(r.BatchLimit)
	if load >= busyLoad && r.TokensPerSecond > 0 {
		const weight = 0.1
		k.tokens += weight * (r.TokensPerSecond/load - k.tokens)
	}
}

// load is the measured part of the capacity in use; above 1 requests wait.
func (k *knowledge) load() float64 {
	if k.report.BatchLimit <= 0 {
		return 0
	}
	return float64(k.report.Running+k.report.Waiting) / float64(k.report.BatchLimit)
}

// resident tells whether a charged slot is loaded, as far as is known: the
// running process confirmed it or reports it.
func (k *knowledge) resident(slot envdoc.Slot, now time.Time) bool {
	if k.instance == "" {
		return false
	}
	if since, ok := k.absent[slot]; ok && now.Sub(since) > absentTime {
		return false
	}
	if k.done[slot] == k.instance {
		return true
	}
	if gone, ok := k.unloaded[slot]; ok && !k.received.After(gone) {
		return false
	}
	return k.report.Instance == k.instance && k.listed[slot]
}

// confirmed notes the answer to an order that was carried out for a charge with
// the order id charge.
func (k *knowledge) confirmed(charge string, o engine.Order, a engine.OrderAnswer, now time.Time) {
	k.process(a.Instance, now)
	switch o.Kind {
	case engine.OrderLoad:
		k.done[o.Slot] = a.Instance
		delete(k.absent, o.Slot)
	case engine.OrderUnload:
		k.gone[charge] = true
		k.unloaded[o.Slot] = now
		delete(k.done, o.Slot)
		delete(k.absent, o.Slot)
	}
	k.fence = max(k.fence, a.Fence)
}
