package route

import (
	"math/rand/v2"
	"time"
)

// Class groups ranks by the part of an engine that they may fill.
type Class int

// The classes. ClassUrgent may fill an engine whole; ClassNormal leaves a
// reserve to it; ClassDeferred fills gaps only.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassDeferred
)

// Own is what this daemon knows of an engine beyond the view. A slice of Own is
// in the order of the view's engines.
type Own struct {
	// Room is the number of classes that the engine has room for: 0 none, 1
	// ClassUrgent, 2 also ClassNormal, 3 all. WaitedRoom is the same for requests
	// that waited for room, of which other daemons have some too.
	Room, WaitedRoom int
	// Sent and SentTokens count the requests that this daemon sent after
	// the report was measured, and their prompt tokens; Ended counts those of
	// its requests that ended since.
	Sent, SentTokens, Ended int
	// Ejected marks an engine that failed or stalled for this daemon.
	Ejected bool
	// Suspect marks an engine that failed the last call of this daemon.
	Suspect bool
	// Slowness is the ratio of measured to estimated first tokens, 0 for
	// unknown.
	Slowness float64
	// Hold is the mean time that a request stays on the engine.
	Hold time.Duration
}

// Ask says how a request is to be placed.
type Ask struct {
	Class Class
	// Waited tells that the request waited for room.
	Waited bool
	Now    time.Time
}

const (
	// localSample and remoteSample are the numbers of random candidates that
	// a choice compares. Few of them keep routers with the same old report from
	// all choosing the same engine.
	localSample  = 3
	remoteSample = 2
	// maxScan is the number of candidates looked at when the sample has no room.
	maxScan = 48
	// defaultPromptRate is used for an engine that has not told its speed, in
	// tokens a second.
	defaultPromptRate = 4000
	// defaultHold is used while no request has ended.
	defaultHold = 4 * time.Second
	// remoteCost is the time that a call to another data centre adds.
	remoteCost = 2 * time.Millisecond
	// safeShare is the part of the time left, as a divisor, that an estimate in
	// the own data centre may take before another one is looked at; spillGain is
	// how many times shorter the estimate there must be.
	safeShare = 4
	spillGain = 2
	// suspectCost is added to the estimate of an engine that failed the last
	// call.
	suspectCost = time.Second
	// maxAge is the age beyond which a report's queue is not drained further.
	maxAge = 3 * time.Second
)

// Verdict tells why there is no choice.
type Verdict int

// The verdicts. VerdictFull means that engines hold the slot but have no room.
const (
	VerdictChosen Verdict = iota
	VerdictFull
	VerdictNone
)

// pick is a candidate with its estimate.
type pick struct {
	candidate *candidate
	estimate  time.Duration
	cached    int
}

// chooser holds the arguments of one choice.
type chooser struct {
	view   *View
	own    []Own
	hints  *Hints
	r      *Request
	ask    Ask
	random *rand.Rand
	full   bool
	// probes are the known prefixes of the prompt, the shortest first; known
	// is their number.
	probes [maxProbes]probe
	known  int
}

// Choose chooses an engine for r among those with room for its class. It
// compares the engines expected to hold the prompt's beginning and a few random
// ones, first in the own data centre; another data centre is chosen when the
// own one has no room, or endangers the expectation and the other one is clearly
// quicker.
// Ejected engines are the last resort. Choose keeps nothing and allocates
// nothing; hints may be nil.
func Choose(v *View, own []Own, hints *Hints, r *Request, ask Ask, random *rand.Rand) (Choice, Verdict) {
	cs := v.find(r)
	if cs == nil {
		return Choice{}, VerdictNone
	}
	c := chooser{view: v, own: own, hints: hints, r: r, ask: ask, random: random}
	c.look()
	best := c.among(cs, false)
	if best.candidate == nil && !c.full {
		best = c.among(cs, true)
	}
	if best.candidate == nil {
		if c.full {
			return Choice{}, VerdictFull
		}
		return Choice{}, VerdictNone
	}
	e := &v.Engines[best.candidate.engine]
	return Choice{
		VM:           e.VM,
		Address:      e.Address,
		DataCentre:   e.DataCentre,
		Slot:         best.candidate.slot,
		Estimate:     best.estimate,
		CachedTokens: best.cached,
	}, VerdictChosen
}

// find returns the candidates for r: those with the declared version, else,
// unless pinned, those with another one.
func (v *View) find(r *Request) *candidates {
	if cs := v.index.exact[r.slot()]; cs != nil {
		return cs
	}
	if r.Pinned {
		return nil
	}
	return v.index.named[name{r.Model, r.Adapter}]
}

// among chooses among the local and the remote candidates.
func (c *chooser) among(cs *candidates, ejected bool) pick {
	local := c.best(cs.local, localSample, ejected)
	if local.candidate != nil && c.safe(local.estimate) {
		return local
	}
	remote := c.best(cs.remote, remoteSample, ejected)
	if remote.candidate == nil {
		return local
	}
	if local.candidate == nil || remote.estimate < local.estimate/spillGain {
		return remote
	}
	return local
}

// safe tells whether an estimate leaves enough time to the expectation, since
// estimates err.
func (c *chooser) safe(estimate time.Duration) bool {
	return c.r.Safe(estimate, c.ask.Now)
}

// best returns the candidate with the lowest estimate of a sample of list.
func (c *chooser) best(list []candidate, sample int, ejected bool) pick {
	var best pick
	n := len(list)
	if n == 0 {
		return best
	}
	if n <= sample+1 {
		for i := range list {
			c.try(&list[i], ejected, &best)
		}
		return best
	}
	c.tryHinted(list, ejected, &best)
	start := c.random.IntN(n)
	step := 1 + c.random.IntN(n-1)
	tried := 0
	for i := range min(n, maxScan) {
		if tried == sample {
			break
		}
		if c.try(&list[(start+offset(i, step))%n], ejected, &best) {
			tried++
		}
	}
	return best
}

// offset returns the i-th place to look at, counted from the first: two random
// places are compared first, and the rest of the list follows in order when
// these have no room. Each place comes once.
func offset(i, step int) int {
	switch {
	case i == 0:
		return 0
	case i == 1:
		return step
	case i-1 < step:
		return i - 1
	default:
		return i
	}
}

// try compares a candidate with the best so far and tells whether it could be
// used.
func (c *chooser) try(x *candidate, ejected bool, best *pick) bool {
	o := &c.own[x.engine]
	if o.Ejected != ejected || c.excluded(x.engine) {
		return false
	}
	room := o.Room
	if c.ask.Waited {
		room = o.WaitedRoom
	}
	if room <= int(c.ask.Class) {
		c.full = true
		return false
	}
	estimate, cached := c.estimate(x.engine)
	if best.candidate == nil || estimate < best.estimate {
		*best = pick{candidate: x, estimate: estimate, cached: cached}
	}
	return true
}

// excluded tells whether the call failed on an engine already.
func (c *chooser) excluded(engine int32) bool {
	for _, vm := range c.r.Exclude {
		if vm == c.view.Engines[engine].VM {
			return true
		}
	}
	return false
}
