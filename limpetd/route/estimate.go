package route

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// slot returns the slot that r requests.
func (r *Request) slot() envdoc.Slot {
	return envdoc.Slot{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}

// estimate returns the expected time to the first token on an engine, and the number of
// prompt tokens expected in its cache.
func (c *chooser) estimate(engine int32) (time.Duration, int) {
	e, o := &c.view.Engines[engine], &c.own[engine]
	cachedTokens := min(c.cachedTokens(engine), c.r.PromptTokens)
	d := Estimate(e, o, c.r.PromptTokens-cachedTokens, c.options.Now)
	if e.DataCentre != c.view.DataCentre {
		d += remoteCost
	}
	return d, cachedTokens
}

// Estimate returns the expected time until an engine has processed the given number of prompt
// tokens of a request that is sent now: the time for the prompt tokens queued before it, the
// wait for a place in the batch, and the time for its own tokens.
func Estimate(e *Engine, o *LocalState, promptTokens int, now time.Time) time.Duration {
	rate := e.PromptRate
	if rate <= 0 {
		rate = defaultPromptRate
	}
	age := min(max(now.Sub(e.MeasuredAt), 0), maxReportAge)
	queued := max(float64(e.Report.WaitingTokens)-age.Seconds()*rate, 0)
	seconds := (queued + float64(o.SentTokens+promptTokens)) / rate
	if o.Slowness > 0 {
		seconds *= o.Slowness
	}
	d := time.Duration(seconds * float64(time.Second))
	if o.Suspect {
		d += suspectCost
	}
	return d + batchWait(e, o)
}

// batchWait returns the expected wait for a place in the engine's batch.
func batchWait(e *Engine, o *LocalState) time.Duration {
	limit := e.Report.BatchLimit
	excess := e.Report.Running + e.Report.Waiting + o.Sent - o.Ended - limit + 1
	if limit <= 0 || excess <= 0 {
		return 0
	}
	hold := o.MeanServiceTime
	if hold <= 0 {
		hold = defaultHold
	}
	return hold * time.Duration(excess) / time.Duration(limit)
}

// maxCachedPrefixes limits the cached prefixes that are collected for a prompt.
const maxCachedPrefixes = 8

// cachedPrefix is a prefix of the prompt and the engines expected to hold it in their caches.
type cachedPrefix struct {
	tokens  int
	holders holders
	// hint is the number of the engine that this daemon last sent the prefix to, or -1.
	hint int32
}

// heldBy reports whether an engine is expected to hold the prefix.
func (p *cachedPrefix) heldBy(engine int32) bool {
	if p.hint == engine {
		return true
	}
	for i := range p.holders.count {
		if p.holders.engines[i] == engine {
			return true
		}
	}
	return false
}

// findPrefixes searches for the longest cached prefix of the prompt and collects the cached
// prefixes on the way. It uses a binary search, because an engine that holds a prefix usually
// holds the shorter ones too.
func (c *chooser) findPrefixes() {
	chain := c.r.Prefixes
	low, high := 0, len(chain)
	for low < high && c.cachedPrefixCount < maxCachedPrefixes {
		mid := (low + high) / 2
		p := &c.cachedPrefixes[c.cachedPrefixCount]
		if !c.lookUp(chain[mid], p) {
			high = mid
			continue
		}
		p.tokens = (mid + 1) * BlockTokens
		c.cachedPrefixCount++
		low = mid + 1
	}
}

// lookUp stores the engines that are expected to hold a prefix in p, and reports whether there
// are any.
func (c *chooser) lookUp(prefix uint64, p *cachedPrefix) bool {
	p.holders, p.hint = holders{}, -1
	if len(c.view.holders) > 0 {
		p.holders = c.view.holders[prefix]
	}
	if n, ok := c.hints.engine(prefix); ok {
		p.hint = n
	}
	return p.hint >= 0 || p.holders.count > 0
}

// cachedTokens returns the number of prompt tokens that the engine is expected to hold.
func (c *chooser) cachedTokens(engine int32) int {
	for i := c.cachedPrefixCount - 1; i >= 0; i-- {
		if c.cachedPrefixes[i].heldBy(engine) {
			return c.cachedPrefixes[i].tokens
		}
	}
	return 0
}

// tryHolders tries the engines that are expected to hold the longest beginning of the prompt.
func (c *chooser) tryHolders(list []candidate, ejected bool, best *scoredCandidate) {
	for i := c.cachedPrefixCount - 1; i >= 0; i-- {
		p := &c.cachedPrefixes[i]
		found := p.hint >= 0 && c.tryEngine(list, p.hint, ejected, best)
		for k := range p.holders.count {
			found = c.tryEngine(list, p.holders.engines[k], ejected, best) || found
		}
		if found {
			return
		}
	}
}

// tryEngine tries the candidate with the given engine number, and reports whether list has
// the candidate and the candidate can be used. The list is sorted by engine number.
func (c *chooser) tryEngine(list []candidate, engine int32, ejected bool, best *scoredCandidate) bool {
	low, high := 0, len(list)
	for low < high {
		mid := (low + high) / 2
		if list[mid].engine < engine {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low < len(list) && list[low].engine == engine && c.try(&list[low], ejected, best)
}

// IdleEstimate returns the estimated time to the first token of r on an idle engine that holds
// its slot; 0 if no usable engine holds it.
func (v *View) IdleEstimate(r *Request) time.Duration {
	cs := v.find(r)
	if cs == nil {
		return 0
	}
	list := cs.local
	if len(list) == 0 {
		list = cs.remote
	}
	if len(list) == 0 {
		return 0
	}
	return Estimate(&Engine{PromptRate: v.Engines[list[0].engine].PromptRate}, &LocalState{}, r.PromptTokens, time.Time{})
}
