package gate

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// counts are the metrics of a Gate.
type counts struct {
	requests map[code.Code]tally.Counter
	time     tally.Timer
}

// newCounts makes a counter for each code, so that counting needs no lock.
func newCounts(s tally.Scope) *counts {
	s = s.SubScope("gate")
	c := &counts{
		requests: make(map[code.Code]tally.Counter),
		time:     s.Timer("request_time"),
	}
	for _, i := range code.Table() {
		c.requests[i.Code] = s.Tagged(map[string]string{"code": i.Name}).Counter("requests")
	}
	return c
}

func (c *counts) count(k code.Code, d time.Duration) {
	if n, ok := c.requests[k]; ok {
		n.Inc(1)
	}
	c.time.Record(d)
}
