package route

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// slot returns the slot that r asks for.
func (r *Request) slot() envdoc.Slot {
	return envdoc.Slot{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}

// estimate returns the expected time to the first token on an engine, and the
// tokens of the prompt expected in its cache.
func (c *chooser) estimate(engine int32) (time.Duration, int) {
	e, o := &c.view.Engines[engine], &c.own[engine]
	cached := min(c.cached(engine), c.r.PromptTokens)
	d := Estimate(e, o, c.r.PromptTokens-cached, c.ask.Now)
	if e.DataCentre != c.view.DataCentre {
		d += remoteCost
	}
	return d, cached
}

// Estimate returns the expected time until an engine has processed prompt
// tokens of a request sent now: the prompt tokens before it, the wait for a
// place in the batch, and its own.
func Estimate(e *Engine, o *Own, prompt int, now time.Time) time.Duration {
	rate := e.PromptRate
	if rate <= 0 {
		rate = defaultPromptRate
	}
	age := min(max(now.Sub(e.At), 0), maxAge)
	queued := max(float64(e.Report.WaitingTokens)-age.Seconds()*rate, 0)
	seconds := (queued + float64(o.SentTokens+prompt)) / rate
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
func batchWait(e *Engine, o *Own) time.Duration {
	limit := e.Report.BatchLimit
	over := e.Report.Running + e.Report.Waiting + o.Sent - o.Ended - limit + 1
	if limit <= 0 || over <= 0 {
		return 0
	}
	hold := o.Hold
	if hold <= 0 {
		hold = defaultHold
	}
	return hold * time.Duration(over) / time.Duration(limit)
}

// maxProbes is the number of places at which the chain of a prompt is looked up.
const maxProbes = 8

// probe is what is known of the engines that hold the prompt up to a block.
type probe struct {
	tokens  int
	holders holders
	// hint is the number of an engine that the prefix was sent to, or -1.
	hint int32
}

// has tells whether an engine is expected to hold the prefix.
func (p *probe) has(engine int32) bool {
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

// look finds the longest known prefix of the prompt. An engine that holds a
// prefix mostly holds the shorter ones too, so that a binary search does.
func (c *chooser) look() {
	chain := c.r.Prefixes
	low, high := 0, len(chain)
	for low < high && c.known < maxProbes {
		mid := (low + high) / 2
		p := &c.probes[c.known]
		if !c.lookAt(chain[mid], p) {
			high = mid
			continue
		}
		p.tokens = (mid + 1) * BlockTokens
		c.known++
		low = mid + 1
	}
}

// lookAt looks a prefix up and tells whether it is known.
func (c *chooser) lookAt(prefix uint64, p *probe) bool {
	p.holders, p.hint = holders{}, -1
	if len(c.view.holders) > 0 {
		p.holders = c.view.holders[prefix]
	}
	if n, ok := c.hints.engine(prefix); ok {
		p.hint = n
	}
	return p.hint >= 0 || p.holders.count > 0
}

// cached returns the tokens of the prompt that the engine is expected to hold.
func (c *chooser) cached(engine int32) int {
	for i := c.known - 1; i >= 0; i-- {
		if c.probes[i].has(engine) {
			return c.probes[i].tokens
		}
	}
	return 0
}

// tryHinted tries the engines that are expected to hold the longest beginning of
// the prompt.
func (c *chooser) tryHinted(list []candidate, ejected bool, best *pick) {
	for i := c.known - 1; i >= 0; i-- {
		p := &c.probes[i]
		found := p.hint >= 0 && c.tryEngine(list, p.hint, ejected, best)
		for k := range p.holders.count {
			found = c.tryEngine(list, p.holders.engines[k], ejected, best) || found
		}
		if found {
			return
		}
	}
}

// tryEngine tries the candidate with an engine number. The list is in the order
// of numbers.
func (c *chooser) tryEngine(list []candidate, engine int32, ejected bool, best *pick) bool {
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

// Shortest returns the time to the first token of r on an idle engine that holds
// its slot.
func (v *View) Shortest(r *Request) time.Duration {
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
	return Estimate(&Engine{PromptRate: v.Engines[list[0].engine].PromptRate}, &Own{}, r.PromptTokens, time.Time{})
}
