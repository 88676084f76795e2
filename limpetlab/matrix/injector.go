package matrix

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// Times of the faults.
const (
	lateOrderDelay = 20 * time.Second
	lateCallDelay  = 3 * time.Second
	pauseDuration  = 3 * leaseTerm
	outageDuration = 15 * time.Second
	slowStoreDelay = 1500 * time.Millisecond
	replaceDelay   = 3 * time.Second
)

// injector injects the faults of a cell.
type injector struct {
	rig  *rig
	cell Cell

	mu sync.Mutex
	// hits counts how often the cell's step was taken.
	hits int
	// firstHit is the hit at which the first fault is injected.
	firstHit int
	// injected counts the faults that were injected.
	injected int
	// armed is whether faults may still be injected.
	armed bool
	// faultsEndAt is when the last injected fault ends by itself.
	faultsEndAt time.Time
}

// maxFirstHit bounds the hit at which the first fault is injected, for each
// step.
var maxFirstHit = map[Step]int{
	Claim: 6, Dispatch: 12, Relay: 40, Ledger: 4, Order: 10, Lease: 8,
	Apply: 2, Promote: 2, TakeUp: 20, Join: 6, Leave: 3, Batch: 3,
}

// newInjector returns the injector of a cell. The first of two faults is
// injected early enough that the step is taken again for the second fault.
func newInjector(r *rig, c Cell, random *rand.Rand) *injector {
	limit := maxFirstHit[c.Step]
	if len(c.Faults) > 1 {
		limit = max(1, limit/2)
	}
	return &injector{rig: r, cell: c, firstHit: 1 + random.IntN(limit), armed: true}
}

// affectsMessage reports whether a fault affects the message of a step.
func (f Fault) affectsMessage() bool {
	return f == Lost || f == Late || f == Doubled || f == AnswerLost
}

// inject records that a daemon takes steps for one message, injects the faults
// that are due, and returns the fault to apply to the message. The daemon is
// nil if the caller has no daemon for the message; a random daemon then takes
// its place.
func (j *injector) inject(d *daemon, steps ...Step) fault.Action {
	var action fault.Action
	for _, f := range j.dueFaults(steps) {
		if a := j.trigger(d, f); a.Kind != fault.None {
			action = a
		}
	}
	return action
}

// dueFaults counts a hit of the cell's step and returns the faults that are
// due. Two faults are due at the same hit, unless both affect the message or
// both are the same fault.
func (j *injector) dueFaults(steps []Step) []Fault {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.armed || !slices.Contains(steps, j.cell.Step) {
		return nil
	}
	j.hits++
	if j.hits < j.firstHit || j.injected == len(j.cell.Faults) {
		return nil
	}
	due := j.cell.Faults[j.injected:]
	if len(due) == 2 && !simultaneous(due[0], due[1]) {
		due = due[:1]
	}
	j.injected += len(due)
	return due
}

// simultaneous reports whether two faults are injected at the same hit.
func simultaneous(f, g Fault) bool {
	return f != g && (!f.affectsMessage() || !g.affectsMessage())
}

// disarm stops the injection and returns how many faults were injected.
func (j *injector) disarm() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.armed = false
	return j.injected
}

// recordDuration records that an injected fault lasts for d from now.
func (j *injector) recordDuration(d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if end := time.Now().Add(d); end.After(j.faultsEndAt) {
		j.faultsEndAt = end
	}
}

// lastFaultEnd returns when the last injected fault ends or ended.
func (j *injector) lastFaultEnd() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.faultsEndAt
}

// trigger injects a fault and returns the action to apply to the message.
func (j *injector) trigger(d *daemon, f Fault) fault.Action {
	r := j.rig
	if d == nil {
		d = r.randomDaemon()
	}
	switch f {
	case Lost:
		j.recordDuration(0)
		return fault.Action{Kind: fault.Drop}
	case AnswerLost:
		j.recordDuration(0)
		return fault.Action{Kind: fault.Lost}
	case Doubled:
		j.recordDuration(lateCallDelay)
		return fault.Action{Kind: fault.Duplicate, Delay: lateCallDelay}
	case Late:
		j.recordDuration(lateCallDelay)
		return fault.Action{Kind: fault.Delay, Delay: j.messageDelay()}
	case Dies:
		j.recordDuration(replaceDelay)
		r.kill(d)
	case Pause:
		j.recordDuration(pauseDuration)
		d.pause(pauseDuration)
	case StoreDown:
		j.recordDuration(outageDuration)
		r.failPlatform(fault.Action{Kind: fault.Down}, outageDuration)
	case StoreSlow:
		j.recordDuration(outageDuration)
		r.failPlatform(fault.Action{Kind: fault.Delay, Delay: slowStoreDelay}, outageDuration)
	case Partition:
		j.recordDuration(outageDuration)
		r.partition(d.dataCentre, outageDuration)
	case VMLeaves:
		j.recordDuration(leaseTerm)
		r.spawnClient(func() {
			r.delayMessage("leave", d.vm)
			r.leave(d)
		})
	case Race:
		j.recordDuration(0)
		r.raceOperators()
	case Demand:
		j.recordDuration(0)
		r.sendBurst()
	}
	return fault.Action{}
}

// messageDelay returns how late a message of the cell's step arrives.
func (j *injector) messageDelay() time.Duration {
	if j.cell.Step == Order {
		return lateOrderDelay
	}
	return lateCallDelay
}
