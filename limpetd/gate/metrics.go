package gate

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// metrics counts the requests of a Gate by result code and measures their time.
type metrics struct {
	requests    map[code.Code]tally.Counter
	requestTime tally.Timer
}

// newMetrics creates the counters of all codes in advance, so that record needs
// no lock.
func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("gate")
	m := &metrics{
		requests:    make(map[code.Code]tally.Counter),
		requestTime: s.Timer("request_time"),
	}
	for _, i := range code.Table() {
		m.requests[i.Code] = s.Tagged(map[string]string{"code": i.Name}).Counter("requests")
	}
	return m
}

// record counts a request that ended with code c after time d.
func (m *metrics) record(c code.Code, d time.Duration) {
	if n, ok := m.requests[c]; ok {
		n.Inc(1)
	}
	m.requestTime.Record(d)
}
