package guard

import (
	"github.com/uber-go/tally/v4"

	"github.com/limpetlb/limpetlb/limpetd/budget"
)

// metrics holds the metrics of a Guard.
type metrics struct {
	// memory is what is held for each kind, in bytes. connections counts the open connections.
	memory      []tally.Gauge
	connections tally.Gauge
	// refused counts the bodies that were refused because memory was short, dropped the bodies and headers
	// that were ended for others, slow those below the minimum rate.
	refused, dropped, slow tally.Counter
	// expired counts the connections that were closed by a timeout, replaced those that were closed for new ones.
	expired, replaced tally.Counter
	// headersRefused counts the headers over the limit that were refused before they were parsed.
	headersRefused tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("budget")
	m := metrics{
		connections: s.Gauge("connections"),
		refused:     s.Counter("refused"),
		dropped:     s.Counter("dropped"),
		slow:        s.Counter("slow_bodies"),
		expired:     s.Counter("connections_expired"),
		replaced:    s.Counter("connections_replaced"),

		headersRefused: s.Counter("headers_refused"),
	}
	for _, k := range budget.Kinds() {
		m.memory = append(m.memory, s.Tagged(map[string]string{"kind": k.String()}).Gauge("memory"))
	}
	return m
}
