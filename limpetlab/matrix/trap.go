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
	lateOrder   = 20 * time.Second
	lateCall    = 3 * time.Second
	pauseTime   = 3 * leaseTerm
	outageTime  = 15 * time.Second
	slowDelay   = 1500 * time.Millisecond
	replaceTime = 3 * time.Second
)

// trap lets the faults of a cell strike.
type trap struct {
	rig  *rig
	cell Cell

	mu   sync.Mutex
	hits int
	// first is the hit at which the first fault strikes.
	first  int
	struck int
	// armed is false before the rig is complete and once the faults are over.
	armed bool
	// until is when the last fault ends by itself.
	until time.Time
}

// firstHits bounds the hit at which the first fault strikes, by step.
var firstHits = map[Step]int{
	Claim: 6, Dispatch: 12, Relay: 40, Ledger: 4, Order: 10, Lease: 8,
	Apply: 2, Promote: 2, TakeUp: 20, Join: 6, Leave: 3, Batch: 3,
}

// newTrap returns the trap of a cell. Of two faults the first strikes early
// enough that the step is taken again.
func newTrap(r *rig, c Cell, random *rand.Rand) *trap {
	last := firstHits[c.Step]
	if len(c.Faults) > 1 {
		last = max(1, last/2)
	}
	return &trap{rig: r, cell: c, first: 1 + random.IntN(last), armed: true}
}

// befallsMessage tells whether a fault befalls the message of a step.
func (f Fault) befallsMessage() bool {
	return f == Lost || f == Late || f == Doubled || f == AnswerLost
}

// hit tells that a daemon takes steps on the way of one message, and returns
// what befalls the message. The daemon is nil where it is not known.
func (t *trap) hit(d *daemon, steps ...Step) fault.Action {
	var action fault.Action
	for _, f := range t.count(steps) {
		if a := t.strike(d, f); a.Kind != fault.None {
			action = a
		}
	}
	return action
}

// count counts a hit and returns the faults that strike with it. Two faults
// strike at once, unless both befall the message or both are the same.
func (t *trap) count(steps []Step) []Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.armed || !slices.Contains(steps, t.cell.Step) {
		return nil
	}
	t.hits++
	if t.hits < t.first || t.struck == len(t.cell.Faults) {
		return nil
	}
	rest := t.cell.Faults[t.struck:]
	if len(rest) == 2 && !together(rest[0], rest[1]) {
		rest = rest[:1]
	}
	t.struck += len(rest)
	return rest
}

// together tells whether two faults strike at once.
func together(f, g Fault) bool {
	return f != g && (!f.befallsMessage() || !g.befallsMessage())
}

// disarm ends the faults and returns how many struck.
func (t *trap) disarm() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = false
	return t.struck
}

// lasting notes that a fault lasts for d.
func (t *trap) lasting(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end := time.Now().Add(d); end.After(t.until) {
		t.until = end
	}
}

// over returns the time when the last fault ends or ended.
func (t *trap) over() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until
}

// strike carries a fault out and returns what befalls the message.
func (t *trap) strike(d *daemon, f Fault) fault.Action {
	r := t.rig
	if d == nil {
		d = r.someDaemon()
	}
	switch f {
	case Lost:
		t.lasting(0)
		return fault.Action{Kind: fault.Drop}
	case AnswerLost:
		t.lasting(0)
		return fault.Action{Kind: fault.Lost}
	case Doubled:
		t.lasting(lateCall)
		return fault.Action{Kind: fault.Duplicate, Delay: lateCall}
	case Late:
		t.lasting(lateCall)
		return fault.Action{Kind: fault.Delay, Delay: t.lateness()}
	case Dies:
		t.lasting(replaceTime)
		r.kill(d)
	case Pause:
		t.lasting(pauseTime)
		d.pause(pauseTime)
	case StoreDown:
		t.lasting(outageTime)
		r.storeFault(fault.Action{Kind: fault.Down}, outageTime)
	case StoreSlow:
		t.lasting(outageTime)
		r.storeFault(fault.Action{Kind: fault.Delay, Delay: slowDelay}, outageTime)
	case Partition:
		t.lasting(outageTime)
		r.cutOff(d.dataCentre, outageTime)
	case VMLeaves:
		t.lasting(leaseTerm)
		r.visit(func() {
			r.lag("leave", d.vm)
			r.leave(d)
		})
	case Race:
		t.lasting(0)
		r.race()
	case Demand:
		t.lasting(0)
		r.burst()
	}
	return fault.Action{}
}

// lateness is how late a message of the cell's step comes.
func (t *trap) lateness() time.Duration {
	if t.cell.Step == Order {
		return lateOrder
	}
	return lateCall
}
