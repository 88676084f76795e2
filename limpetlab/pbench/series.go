package pbench

import "time"

// maxPoints bounds the points of a series.
const maxPoints = 96

// Series is what a policy reached over the time that is measured.
type Series struct {
	Policy string `json:"policy"`
	// Points are in the order of time and at most 96, of equal length.
	Points []Point `json:"points"`
}

// Point is a part of the time that is measured.
type Point struct {
	// Hours is the time from the beginning of the measurement to the end of
	// the point.
	Hours float64 `json:"hours"`
	// Attainment is the part of the point's requests that met their expectation.
	Attainment float64 `json:"attainment"`
	// Moves counts the loads and unloads since the beginning.
	Moves int `json:"moves"`
}

// sampler sums steps to points.
type sampler struct {
	// steps is the number of steps of a point, taken those since the last one.
	steps, taken int
	passed       time.Duration
	asked, met   float64
	points       []Point
}

// newSampler returns a sampler for a measurement of a length.
func newSampler(length time.Duration) *sampler {
	steps := int(length / step)
	return &sampler{steps: (steps + maxPoints - 1) / maxPoints}
}

// add takes in what a step asked for and met, and the moves so far. Steps at the
// end that fill no point are left out.
func (s *sampler) add(asked, met float64, moves int) {
	s.asked += asked
	s.met += met
	s.passed += step
	s.taken++
	if s.taken < s.steps {
		return
	}
	s.points = append(s.points, Point{Hours: s.passed.Hours(), Attainment: min(1, ratio(s.met, s.asked)), Moves: moves})
	s.taken, s.asked, s.met = 0, 0, 0
}
