package admit

import (
	"math"
	"time"
)

// meterSpan is the time over which a meter averages.
const meterSpan = 10 * time.Second

// meter measures a recent rate. An event counts less the older it is. The zero
// value is ready for use.
type meter struct {
	sum  float64
	last time.Time
}

// add counts n events at now.
func (m *meter) add(now time.Time, n float64) {
	m.decay(now)
	m.sum += n
}

// perSecond returns the rate at now.
func (m *meter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.sum / meterSpan.Seconds()
}

// decay brings the sum to now.
func (m *meter) decay(now time.Time) {
	if m.last.IsZero() {
		m.last = now
		return
	}
	d := now.Sub(m.last)
	if d <= 0 {
		return
	}
	m.sum *= math.Exp(-d.Seconds() / meterSpan.Seconds())
	m.last = now
}

// mean is an average that follows its samples. The zero value is ready for use.
type mean struct {
	value float64
	known bool
}

// add takes a sample with a weight between 0 and 1.
func (m *mean) add(sample, weight float64) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += weight * (sample - m.value)
}
