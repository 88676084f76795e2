package pbench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// document is an environment document.
type document = envdoc.Document

const (
	// engineTokensPerSecond is the capacity of an engine.
	engineTokensPerSecond = 10000.0
	// tokensPerRequest is the mean length of an answer in tokens.
	tokensPerRequest = 150.0
	// meanLoad is the mean demand of a day as a fraction of the total capacity.
	meanLoad = 0.4
	// zipfExponent is the exponent of the Zipf distribution of the models'
	// popularity.
	zipfExponent = 0.8
	// burstsPerHour is the mean number of bursts per hour in a data centre.
	burstsPerHour = 2.0
	// burstFactor multiplies a model's demand at the peak of a burst.
	burstFactor = 6.0
	// rampTime is how long a burst takes to rise, and to fall.
	rampTime = 3 * time.Minute
	// shortestBurst and longestBurst bound the length of a burst.
	shortestBurst = 10 * time.Minute
	longestBurst  = 45 * time.Minute
	// dayAmplitude is the relative deviation of the demand from the mean at noon
	// and midnight.
	dayAmplitude = 0.6
	// dayBegin is the time of day at which the simulation begins.
	dayBegin = 8 * time.Hour
	// adapterShare is the fraction of a model's demand that is for its adapters.
	adapterShare = 0.5
)

// burst is a period of high demand for a model in a data centre.
type burst struct {
	dataCentre, model int
	from, until       time.Duration
}

// demand simulates the request rate of each model in each data centre. The rates
// are the same for all policies.
type demand struct {
	random      *rand.Rand
	dataCentres int
	// meanRates holds each model's mean requests per second in a data centre.
	meanRates []float64
	bursts    []burst
	// rates holds the requests per second of the current step, by data centre
	// and model.
	rates [][]float64
}

// newDemand returns the demand of a deployment for a seed.
func newDemand(d deploy.Deployment, doc *document, seed uint64) *demand {
	m := &demand{random: rand.New(rand.NewPCG(seed, 1)), dataCentres: len(d.DataCentres)}
	sum := 0.0
	for i := range doc.Models {
		m.meanRates = append(m.meanRates, 1/math.Pow(float64(i+1), zipfExponent))
		sum += m.meanRates[i]
	}
	m.random.Shuffle(len(m.meanRates), func(i, j int) { m.meanRates[i], m.meanRates[j] = m.meanRates[j], m.meanRates[i] })
	total := meanLoad * engineTokensPerSecond * float64(d.Engines) / tokensPerRequest
	for i := range m.meanRates {
		m.meanRates[i] *= total / sum
	}
	m.rates = make([][]float64, m.dataCentres)
	for i := range m.rates {
		m.rates[i] = make([]float64, len(m.meanRates))
	}
	return m
}

// advance draws the rates of the step at a time: the daily curve with noise and
// bursts.
func (m *demand) advance(at time.Duration) {
	for dc := range m.dataCentres {
		if m.random.Float64() < burstsPerHour*step.Hours() {
			length := shortestBurst + time.Duration(m.random.Int64N(int64(longestBurst-shortestBurst)))
			m.bursts = append(m.bursts, burst{dataCentre: dc, model: m.random.IntN(len(m.meanRates)), from: at, until: at + length})
		}
	}
	day := 1 - dayAmplitude*math.Cos(2*math.Pi*(at+dayBegin).Hours()/24)
	for dc := range m.rates {
		for k := range m.meanRates {
			mean := m.meanRates[k] * day * step.Seconds()
			noise := 1 + m.random.NormFloat64()/math.Sqrt(1+mean)
			m.rates[dc][k] = m.meanRates[k] * day * max(0, noise)
		}
	}
	active := m.bursts[:0]
	for _, b := range m.bursts {
		if at < b.until {
			active = append(active, b)
			m.rates[b.dataCentre][b.model] *= 1 + (burstFactor-1)*b.intensity(at)
		}
	}
	m.bursts = active
}

// intensity returns the strength of a burst at a time, as a fraction of its peak.
func (b burst) intensity(at time.Duration) float64 {
	rise := float64(at-b.from) / float64(rampTime)
	fall := float64(b.until-at) / float64(rampTime)
	return min(1, rise, fall)
}

// ratesOf returns the requests per second for each model in a data centre.
func (m *demand) ratesOf(dataCentre int) []float64 { return m.rates[dataCentre] }
