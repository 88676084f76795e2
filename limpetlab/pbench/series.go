package pbench

import "time"

// maxPoints is the maximum number of points in a series.
const maxPoints = 96

// Series holds the results of a policy over the measured time.
type Series struct {
	Policy string `json:"policy"`
	// Points are ordered by time, at most 96, and cover intervals of equal
	// length.
	Points []Point `json:"points"`
}

// Point holds the results of one interval of the measured time.
type Point struct {
	// Hours is the time from the start of the measurement to the end of the
	// interval.
	Hours float64 `json:"hours"`
	// Attainment is the fraction of the interval's requests that met their
	// expectation.
	Attainment float64 `json:"attainment"`
	// Moves counts the loads and unloads since the start of the measurement.
	Moves int `json:"moves"`
}

// sampler aggregates steps into points.
type sampler struct {
	// stepsPerPoint is the number of steps in a point, stepsTaken the number of
	// steps since the last point.
	stepsPerPoint, stepsTaken int
	elapsed                   time.Duration
	requests, attained        float64
	points                    []Point
}

// newSampler returns a sampler for a measured length.
func newSampler(length time.Duration) *sampler {
	steps := int(length / step)
	return &sampler{stepsPerPoint: (steps + maxPoints - 1) / maxPoints}
}

// add adds a step with its requests, those that met their expectation, and the moves
// so far. Steps at the end that do not fill a point are omitted.
func (s *sampler) add(requests, attained float64, moves int) {
	s.requests += requests
	s.attained += attained
	s.elapsed += step
	s.stepsTaken++
	if s.stepsTaken < s.stepsPerPoint {
		return
	}
	s.points = append(s.points, Point{Hours: s.elapsed.Hours(), Attainment: min(1, ratio(s.attained, s.requests)), Moves: moves})
	s.stepsTaken, s.requests, s.attained = 0, 0, 0
}
