package route

import (
	"math/rand/v2"
	"time"
)

// Class groups the ranks of requests by the part of an engine's capacity that they may use.
type Class int

// The classes. ClassUrgent may use the whole capacity of an engine; ClassNormal leaves a
// reserve for ClassUrgent; ClassDeferred uses only capacity that is otherwise idle.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassDeferred
)

// LocalState is the state of an engine that this daemon measures itself, in addition to the
// view. A slice of LocalState is indexed by engine number.
type LocalState struct {
	// ClassesWithRoom is the number of classes for which the engine has room: 0 none, 1
	// ClassUrgent, 2 also ClassNormal, 3 all. ClassesWithRoomAfterWait is the same for
	// requests that waited for room. The free room for them is divided among the daemons,
	// because other daemons have such requests too.
	ClassesWithRoom, ClassesWithRoomAfterWait int
	// Sent and SentTokens count the requests that this daemon sent after the report was
	// measured, and their prompt tokens. Ended counts the daemon's requests that ended
	// since then.
	Sent, SentTokens, Ended int
	// Ejected is whether the engine failed or stalled for this daemon.
	Ejected bool
	// Suspect is whether the engine failed the last request of this daemon.
	Suspect bool
	// Slowness is the ratio of the measured to the estimated time to the first token; 0
	// if unknown.
	Slowness float64
	// MeanServiceTime is the mean time that a request stays on the engine.
	MeanServiceTime time.Duration
}

// ChoiceOptions holds the conditions of a choice that do not belong to the request itself.
type ChoiceOptions struct {
	Class Class
	// Waited is whether the request has waited for room.
	Waited bool
	Now    time.Time
}

const (
	// localSample and remoteSample are the numbers of candidates in random positions that a
	// choice compares; see sampleOffset. The samples are small so that daemons with the same
	// old report do not all choose the same engine.
	localSample  = 3
	remoteSample = 2
	// maxScan limits the candidates that are examined if the sampled ones have no room.
	maxScan = 48
	// defaultPromptRate is assumed for an engine that does not report its speed, in tokens
	// per second.
	defaultPromptRate = 4000
	// defaultHold is assumed for LocalState.MeanServiceTime until a request has ended.
	defaultHold = 4 * time.Second
	// remoteCost is the time that a request to another data centre takes longer.
	remoteCost = 2 * time.Millisecond
	// Engines of other data centres are examined unless the estimate in the own data centre
	// is less than the time left divided by safeDivisor. One of them is chosen if its
	// estimate is less than the local one divided by minRemoteGain.
	safeDivisor   = 4
	minRemoteGain = 2
	// suspectCost is added to the estimate of an engine that failed the last request.
	suspectCost = time.Second
	// maxReportAge limits the age up to which the queue of a report is assumed to drain. An
	// older report is treated as one of this age.
	maxReportAge = 3 * time.Second
)

// Verdict is the outcome of Choose.
type Verdict int

// The verdicts. VerdictFull means that engines hold the slot but have no room, VerdictNone
// that no usable engine holds it.
const (
	VerdictChosen Verdict = iota
	VerdictFull
	VerdictNone
)

// scoredCandidate is a candidate with its estimate and the part of the prompt expected in
// its cache.
type scoredCandidate struct {
	candidate    *candidate
	estimate     time.Duration
	cachedTokens int
}

// chooser holds the arguments and intermediate results of one choice.
type chooser struct {
	view    *View
	own     []LocalState
	hints   *Hints
	r       *Request
	options ChoiceOptions
	random  *rand.Rand
	// noRoom is whether a candidate was skipped for lack of room.
	noRoom bool
	// cachedPrefixes holds the prefixes of the prompt that engines are expected to hold, the
	// shortest first; cachedPrefixCount is their number.
	cachedPrefixes    [maxCachedPrefixes]cachedPrefix
	cachedPrefixCount int
}

// Choose chooses an engine for r that has room for the class of options. It compares the
// engines that are expected to have the beginning of the prompt in their caches and a few
// random engines, first in the daemon's own data centre. It chooses another data centre if
// the own one has no room, or if the estimate there endangers r.ExpectedBy and the other
// data centre has a much shorter one. Ejected engines are chosen only if there is no other
// candidate. Choose retains nothing and allocates nothing; hints may be nil.
func Choose(v *View, own []LocalState, hints *Hints, r *Request, options ChoiceOptions, random *rand.Rand) (Choice, Verdict) {
	cs := v.find(r)
	if cs == nil {
		return Choice{}, VerdictNone
	}
	c := chooser{view: v, own: own, hints: hints, r: r, options: options, random: random}
	c.findPrefixes()
	best := c.chooseFrom(cs, false)
	if best.candidate == nil && !c.noRoom {
		best = c.chooseFrom(cs, true)
	}
	if best.candidate == nil {
		if c.noRoom {
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
		CachedTokens: best.cachedTokens,
	}, VerdictChosen
}

// find returns the candidates for r: the engines that hold the declared version or, if there
// are none and r is not pinned, another version.
func (v *View) find(r *Request) *candidates {
	if cs := v.index.exact[r.slot()]; cs != nil {
		return cs
	}
	if r.VersionPinned {
		return nil
	}
	return v.index.anyVersion[unversionedSlot{r.Model, r.Adapter}]
}

// chooseFrom chooses among the local and the remote candidates.
func (c *chooser) chooseFrom(cs *candidates, ejected bool) scoredCandidate {
	local := c.best(cs.local, localSample, ejected)
	if local.candidate != nil && c.safe(local.estimate) {
		return local
	}
	remote := c.best(cs.remote, remoteSample, ejected)
	if remote.candidate == nil {
		return local
	}
	if local.candidate == nil || remote.estimate < local.estimate/minRemoteGain {
		return remote
	}
	return local
}

// safe reports whether an estimate of the time to the first token is safe in the sense of
// Request.LeavesMargin.
func (c *chooser) safe(estimate time.Duration) bool {
	return c.r.LeavesMargin(estimate, c.options.Now)
}

// best returns the candidate with the lowest estimate among the engines that are expected to
// hold the prompt's beginning and a random sample of list.
func (c *chooser) best(list []candidate, sample int, ejected bool) scoredCandidate {
	var best scoredCandidate
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
	c.tryHolders(list, ejected, &best)
	start := c.random.IntN(n)
	step := 1 + c.random.IntN(n-1)
	tried := 0
	for i := range min(n, maxScan) {
		if tried == sample {
			break
		}
		if c.try(&list[(start+sampleOffset(i, step))%n], ejected, &best) {
			tried++
		}
	}
	return best
}

// sampleOffset returns the i-th position to examine, relative to a random start: 0, then step,
// then the others in ascending order. The others are examined if the sample is larger than two
// or if candidates at earlier positions can't be used. Each position occurs once.
func sampleOffset(i, step int) int {
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

// try compares a candidate with the best so far and reports whether the candidate can be
// used.
func (c *chooser) try(x *candidate, ejected bool, best *scoredCandidate) bool {
	o := &c.own[x.engine]
	if o.Ejected != ejected || c.excluded(x.engine) {
		return false
	}
	room := o.ClassesWithRoom
	if c.options.Waited {
		room = o.ClassesWithRoomAfterWait
	}
	if room <= int(c.options.Class) {
		c.noRoom = true
		return false
	}
	estimate, cachedTokens := c.estimate(x.engine)
	if best.candidate == nil || estimate < best.estimate {
		*best = scoredCandidate{candidate: x, estimate: estimate, cachedTokens: cachedTokens}
	}
	return true
}

// excluded reports whether the request has failed on the engine.
func (c *chooser) excluded(engine int32) bool {
	for _, vm := range c.r.Exclude {
		if vm == c.view.Engines[engine].VM {
			return true
		}
	}
	return false
}
