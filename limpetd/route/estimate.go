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
	d := Estimate(e, o, c.r.PromptTokens-cached, c.now)
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

// cached returns the tokens of the prompt that the engine is expected to hold.
func (c *chooser) cached(engine int32) int {
	chain := c.r.Prefixes
	for i := len(chain) - 1; i >= 0; i-- {
		if c.view.holders[chain[i]].has(engine) || c.hints.has(chain[i], engine) {
			return (i + 1) * BlockTokens
		}
	}
	return 0
}

// has tells whether an engine is among the holders.
func (h holders) has(engine int32) bool {
	for i := range h.count {
		if h.engines[i] == engine {
			return true
		}
	}
	return false
}

// tryHinted tries the engines that are expected to hold the longest beginning
// of the prompt.
func (c *chooser) tryHinted(list []candidate, ejected bool, best *pick) {
	chain := c.r.Prefixes
	for i := len(chain) - 1; i >= 0; i-- {
		h := c.view.holders[chain[i]]
		found := false
		for k := range h.count {
			found = c.tryEngine(list, h.engines[k], ejected, best) || found
		}
		if n, ok := c.hints.engine(chain[i]); ok {
			found = c.tryEngine(list, n, ejected, best) || found
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
