package rbench

import "time"

// maxPoints bounds the points of a series.
const maxPoints = 60

// shortestPoint is the least time that a point sums.
const shortestPoint = time.Second

// Series is what a policy reached over the time of a scenario.
type Series struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// Points are in the order of time and at most 60, of equal length. A time
	// in which no request arrived has none.
	Points []Point `json:"points"`
}

// Point is the requests that arrived in a part of the time.
type Point struct {
	// Seconds is the time from the beginning of the scenario to the middle of
	// the point.
	Seconds  float64 `json:"seconds"`
	Phase    string  `json:"phase"`
	Requests int     `json:"requests"`
	// Attainment is the part of the requests that met their expectation,
	// Urgent that of the requests of the most urgent priority.
	Attainment float64 `json:"attainment"`
	Urgent     float64 `json:"urgent"`
	// SendsPerRequest counts attempts over the requests that were sent.
	SendsPerRequest float64 `json:"sends_per_request"`
}

// count sums requests.
type count struct {
	requests, attained, sends, sent int
}

// add takes in a request that has ended.
func (c *count) add(j *job) {
	c.requests++
	c.sends += j.sends
	c.sent += number(j.sends > 0)
	c.attained += number(j.attained && j.ended)
}

// attainment returns the part of the requests that met their expectation.
func (c *count) attainment() float64 { return float64(c.attained) / float64(max(c.requests, 1)) }

// sendsPerRequest returns the attempts over the requests that were sent.
func (c *count) sendsPerRequest() float64 { return float64(c.sends) / float64(max(c.sent, 1)) }

// series returns the points of jobs in the order of arrival.
func series(sc scenario, policy string, jobs []*job) Series {
	r := Series{Scenario: sc.name, Policy: policy}
	end := sc.stretches[len(sc.stretches)-1].until
	width := max(shortestPoint, (end+maxPoints-1)/maxPoints)
	for len(jobs) > 0 {
		n := jobs[0].arrived.Sub(begin) / width
		var all, urgent count
		phase := jobs[0].phase
		for len(jobs) > 0 && jobs[0].arrived.Sub(begin)/width == n {
			all.add(jobs[0])
			if jobs[0].priority == &priorities[0] {
				urgent.add(jobs[0])
			}
			jobs = jobs[1:]
		}
		middle := n*width + width/2
		r.Points = append(r.Points, Point{
			Seconds: middle.Seconds(), Phase: phase, Requests: all.requests,
			Attainment: all.attainment(), Urgent: urgent.attainment(), SendsPerRequest: all.sendsPerRequest(),
		})
	}
	return r
}
