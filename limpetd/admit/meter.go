package admit

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of the exponential decay of a meter.
const meterTimeConstant = 10 * time.Second

// meter measures a recent rate. The weight of an event decays exponentially with
// its age. The zero value is ready for use.
type meter struct {
	sum       float64
	updatedAt time.Time
}

// add counts n events at now.
func (m *meter) add(now time.Time, n float64) {
	m.decay(now)
	m.sum += n
}

// perSecond returns the rate at now.
func (m *meter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.sum / meterTimeConstant.Seconds()
}

// decay reduces the weight of past events to their weight at now.
func (m *meter) decay(now time.Time) {
	if m.updatedAt.IsZero() {
		m.updatedAt = now
		return
	}
	d := now.Sub(m.updatedAt)
	if d <= 0 {
		return
	}
	m.sum *= math.Exp(-d.Seconds() / meterTimeConstant.Seconds())
	m.updatedAt = now
}

// ewma is an exponentially weighted moving average, which starts at its first
// sample. The zero value is ready for use.
type ewma struct {
	value   float64
	started bool
}

// add adds a sample with a weight between 0 and 1.
func (e *ewma) add(sample, weight float64) {
	if !e.started {
		e.value, e.started = sample, true
		return
	}
	e.value += weight * (sample - e.value)
}
