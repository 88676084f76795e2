package place

import (
	"math"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	// defaultTokensPerRequest is used where the measured demand has no token rate.
	defaultTokensPerRequest = 150.0
	// peakDecayTime is the time in which a past peak of demand decays to 1/e.
	peakDecayTime = 5 * time.Minute
	// queueDrainTime is the time within which queued requests should be served.
	queueDrainTime = 10 * time.Second
	// burstGrowth is the ratio of new demand to the decayed peak above which the
	// demand counts as a burst while requests are queued.
	burstGrowth = 1.5
)

// demandEstimate estimates the demand for a model or adapter.
type demandEstimate struct {
	// peak follows rises of demand at once and decays exponentially with
	// peakDecayTime, in tokens per second.
	peak float64
	// burst is whether requests are queued and the demand grows by burstGrowth.
	burst     bool
	updatedAt time.Time
}

// update adds a measurement: the tokens per second and the queued requests, which need
// perRequest tokens each.
func (e *demandEstimate) update(tokens float64, queued int, perRequest float64, now time.Time) {
	if !e.updatedAt.IsZero() {
		e.peak *= math.Exp(-float64(now.Sub(e.updatedAt)) / float64(peakDecayTime))
	}
	required := tokens + float64(queued)*perRequest/queueDrainTime.Seconds()
	e.burst = queued > 0 && required > burstGrowth*e.peak
	e.peak = max(e.peak, required)
	e.updatedAt = now
}

// demandKey identifies a model or, with an adapter name, an adapter.
type demandKey struct{ model, adapter string }

// demandTracker keeps the demand estimates of all models and adapters.
type demandTracker struct {
	estimates map[demandKey]*demandEstimate
}

// update adds the measurements for a plan. Estimates without a measurement decay, and
// are removed below 0.001 tokens per second.
func (d *demandTracker) update(measured []member.ModelDemand, now time.Time) {
	for _, m := range measured {
		perRequest := defaultTokensPerRequest
		tokens := m.TokensPerSecond
		if tokens > 0 && m.PerSecond > 0 {
			perRequest = tokens / m.PerSecond
		}
		if tokens == 0 {
			tokens = m.PerSecond * perRequest
		}
		d.get(m.Model, m.Adapter).update(tokens, m.Queued, perRequest, now)
	}
	for k, e := range d.estimates {
		if e.updatedAt.Equal(now) {
			continue
		}
		e.update(0, 0, 0, now)
		if e.peak < 1e-3 {
			delete(d.estimates, k)
		}
	}
}

// clone returns a deep copy.
func (d *demandTracker) clone() demandTracker {
	c := demandTracker{estimates: make(map[demandKey]*demandEstimate, len(d.estimates))}
	for k, e := range d.estimates {
		copied := *e
		c.estimates[k] = &copied
	}
	return c
}

// get returns the estimate of a model or adapter, and creates it if necessary.
func (d *demandTracker) get(model, adapter string) *demandEstimate {
	k := demandKey{model, adapter}
	e := d.estimates[k]
	if e == nil {
		e = &demandEstimate{}
		d.estimates[k] = e
	}
	return e
}

// estimate returns the decayed peak of demand for a model or adapter, in tokens per
// second, and whether the demand is a burst.
func (d *demandTracker) estimate(model, adapter string) (float64, bool) {
	if e := d.estimates[demandKey{model, adapter}]; e != nil {
		return e.peak, e.burst
	}
	return 0, false
}
