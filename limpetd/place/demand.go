package place

import (
	"math"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	// tokensPerRequest stands in where the demand states no token rate.
	tokensPerRequest = 150.0
	// holdTime is the time in which a past peak of demand fades to 1/e.
	holdTime = 5 * time.Minute
	// drainTime is the time in which queued requests should be served.
	drainTime = 10 * time.Second
	// burstGrowth is the growth over the held demand that makes a burst.
	burstGrowth = 1.5
)

// need is the demand for a model or adapter.
type need struct {
	// held follows rises at once and fades with holdTime, in tokens a second.
	held float64
	// burst tells that requests queue and demand grows.
	burst bool
	at    time.Time
}

// update takes a measurement.
func (n *need) update(tokens float64, queued int, perRequest float64, now time.Time) {
	if !n.at.IsZero() {
		n.held *= math.Exp(-float64(now.Sub(n.at)) / float64(holdTime))
	}
	want := tokens + float64(queued)*perRequest/drainTime.Seconds()
	n.burst = queued > 0 && want > burstGrowth*n.held
	n.held = max(n.held, want)
	n.at = now
}

// demandKey names a model or an adapter.
type demandKey struct{ model, adapter string }

// demands remembers the demand for all models.
type demands struct {
	needs map[demandKey]*need
}

// update takes the measurements of a plan. What is not measured fades.
func (d *demands) update(measured []member.ModelDemand, now time.Time) {
	for _, m := range measured {
		perRequest := tokensPerRequest
		tokens := m.TokensPerSecond
		if tokens > 0 && m.PerSecond > 0 {
			perRequest = tokens / m.PerSecond
		}
		if tokens == 0 {
			tokens = m.PerSecond * perRequest
		}
		d.get(m.Model, m.Adapter).update(tokens, m.Queued, perRequest, now)
	}
	for k, n := range d.needs {
		if n.at.Equal(now) {
			continue
		}
		n.update(0, 0, 0, now)
		if n.held < 1e-3 {
			delete(d.needs, k)
		}
	}
}

// clone returns a copy.
func (d *demands) clone() demands {
	c := demands{needs: make(map[demandKey]*need, len(d.needs))}
	for k, n := range d.needs {
		copied := *n
		c.needs[k] = &copied
	}
	return c
}

// get returns the need of a model or adapter.
func (d *demands) get(model, adapter string) *need {
	k := demandKey{model, adapter}
	n := d.needs[k]
	if n == nil {
		n = &need{}
		d.needs[k] = n
	}
	return n
}

// of returns the held demand and whether it bursts.
func (d *demands) of(model, adapter string) (float64, bool) {
	if n := d.needs[demandKey{model, adapter}]; n != nil {
		return n.held, n.burst
	}
	return 0, false
}
