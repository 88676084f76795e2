package rbench

import "time"

// maxPoints is the maximum number of points in a series.
const maxPoints = 60

// minPointLength is the minimum time that a point covers.
const minPointLength = time.Second

// Series holds the results of a policy over the course of a scenario.
type Series struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// Points are ordered by time, at most 60, and cover intervals of equal
	// length. An interval in which no request arrived has no point.
	Points []Point `json:"points"`
}

// Point holds the results of the requests that arrived in one interval.
type Point struct {
	// Seconds is the time from the start of the scenario to the middle of the
	// interval.
	Seconds float64 `json:"seconds"`
	// Phase is the phase of the interval's first request.
	Phase    string `json:"phase"`
	Requests int    `json:"requests"`
	// Attainment is the fraction of the requests whose first token arrived
	// within the expected time; Urgent is that fraction for the most urgent
	// priority.
	Attainment float64 `json:"attainment"`
	Urgent     float64 `json:"urgent"`
	// SendsPerRequest is the mean number of attempts of the requests that were
	// sent at least once.
	SendsPerRequest float64 `json:"sends_per_request"`
}

// requestCounts counts requests, those that met their expectation, their attempts
// (sends), and the requests that were sent at least once.
type requestCounts struct {
	requests, attained, sends, sent int
}

// add counts a request that has ended.
func (c *requestCounts) add(req *request) {
	c.requests++
	c.sends += req.sends
	c.sent += boolToInt(req.sends > 0)
	c.attained += boolToInt(req.attained && req.ended)
}

// attainment returns the fraction of the requests that met their expectation.
func (c *requestCounts) attainment() float64 {
	return float64(c.attained) / float64(max(c.requests, 1))
}

// sendsPerRequest returns the mean number of attempts of the requests that were
// sent.
func (c *requestCounts) sendsPerRequest() float64 { return float64(c.sends) / float64(max(c.sent, 1)) }

// newSeries returns the series of a simulation. The requests are ordered by arrival.
func newSeries(sc scenario, policy string, requests []*request) Series {
	r := Series{Scenario: sc.name, Policy: policy}
	end := sc.segments[len(sc.segments)-1].until
	width := max(minPointLength, (end+maxPoints-1)/maxPoints)
	for len(requests) > 0 {
		n := requests[0].arrived.Sub(startTime) / width
		var all, urgent requestCounts
		phase := requests[0].phase
		for len(requests) > 0 && requests[0].arrived.Sub(startTime)/width == n {
			all.add(requests[0])
			if requests[0].priority == &priorities[0] {
				urgent.add(requests[0])
			}
			requests = requests[1:]
		}
		middle := n*width + width/2
		r.Points = append(r.Points, Point{
			Seconds: middle.Seconds(), Phase: phase, Requests: all.requests,
			Attainment: all.attainment(), Urgent: urgent.attainment(), SendsPerRequest: all.sendsPerRequest(),
		})
	}
	return r
}
