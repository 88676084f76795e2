package front

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the counters and histograms of a Front.
type metrics struct {
	calls    tally.Counter
	served   tally.Counter
	refused  tally.Counter
	failed   tally.Counter
	left     tally.Counter
	repeated tally.Counter
	resumed  tally.Counter
	first    tally.Histogram
	total    tally.Histogram
	pause    tally.Histogram
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("front")
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)
	return metrics{
		calls:    s.Counter("calls"),
		served:   s.Counter("served"),
		refused:  s.Counter("refused"),
		failed:   s.Counter("failed"),
		left:     s.Counter("callers_left"),
		repeated: s.Counter("repeated"),
		resumed:  s.Counter("resumed"),
		first:    s.Histogram("first_event", buckets),
		total:    s.Histogram("answer", buckets),
		pause:    s.Histogram("pause", buckets),
	}
}
