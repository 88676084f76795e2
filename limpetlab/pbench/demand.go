package pbench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// envdocDocument shortens the name of the document's type.
type envdocDocument = envdoc.Document

const (
	// engineTokens is the capacity of an engine in tokens a second.
	engineTokens = 10000.0
	// requestTokens is the mean length of an answer.
	requestTokens = 150.0
	// meanLoad is the part of all capacity that a day's mean demand takes.
	meanLoad = 0.4
	// zipf is the exponent of the models' popularity.
	zipf = 0.8
	// burstsPerHour is the number of bursts of a data centre.
	burstsPerHour = 2.0
	// burstFactor is the growth of a model's demand in a burst.
	burstFactor = 6.0
	// rampTime is the time in which a burst rises and falls.
	rampTime = 3 * time.Minute
	// shortestBurst and longestBurst bound the length of a burst.
	shortestBurst = 10 * time.Minute
	longestBurst  = 45 * time.Minute
	// dayAmplitude is how far the demand of noon and midnight is from the mean.
	dayAmplitude = 0.6
	// dayBegin is the time of day at which the measurement begins.
	dayBegin = 8 * time.Hour
	// adapterShare is the part of a model's demand that is for its adapters.
	adapterShare = 0.5
)

// burst is a time of high demand for a model in a data centre.
type burst struct {
	site, model int
	from, until time.Duration
}

// demand is the rate of requests for each model at each data centre. It is the
// same for all policies.
type demand struct {
	random *rand.Rand
	sites  int
	base   []float64
	bursts []burst
	now    [][]float64
}

// newDemand returns the demand of a deployment for a seed.
func newDemand(d deploy.Deployment, doc *envdocDocument, seed uint64) *demand {
	m := &demand{random: rand.New(rand.NewPCG(seed, 1)), sites: len(d.DataCentres)}
	sum := 0.0
	for i := range doc.Models {
		m.base = append(m.base, 1/math.Pow(float64(i+1), zipf))
		sum += m.base[i]
	}
	m.random.Shuffle(len(m.base), func(i, j int) { m.base[i], m.base[j] = m.base[j], m.base[i] })
	total := meanLoad * engineTokens * float64(d.Engines) / requestTokens
	for i := range m.base {
		m.base[i] *= total / sum
	}
	m.now = make([][]float64, m.sites)
	for i := range m.now {
		m.now[i] = make([]float64, len(m.base))
	}
	return m
}

// advance draws the demand of a step.
func (m *demand) advance(at time.Duration) {
	for s := range m.sites {
		if m.random.Float64() < burstsPerHour*step.Hours() {
			length := shortestBurst + time.Duration(m.random.Int64N(int64(longestBurst-shortestBurst)))
			m.bursts = append(m.bursts, burst{site: s, model: m.random.IntN(len(m.base)), from: at, until: at + length})
		}
	}
	day := 1 - dayAmplitude*math.Cos(2*math.Pi*(at+dayBegin).Hours()/24)
	for s := range m.now {
		for k := range m.base {
			mean := m.base[k] * day * step.Seconds()
			noise := 1 + m.random.NormFloat64()/math.Sqrt(1+mean)
			m.now[s][k] = m.base[k] * day * max(0, noise)
		}
	}
	live := m.bursts[:0]
	for _, b := range m.bursts {
		if at < b.until {
			live = append(live, b)
			m.now[b.site][b.model] *= 1 + (burstFactor-1)*b.height(at)
		}
	}
	m.bursts = live
}

// height is the part of a burst's growth at a time.
func (b burst) height(at time.Duration) float64 {
	rise := float64(at-b.from) / float64(rampTime)
	fall := float64(b.until-at) / float64(rampTime)
	return min(1, rise, fall)
}

// of returns the requests a second for each model at a data centre.
func (m *demand) of(site int) []float64 { return m.now[site] }
