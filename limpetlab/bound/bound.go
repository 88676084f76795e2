// Package bound compares the measured figures of a benchmark with their targets.
//
// # Usage
//
//	type Result struct {
//		bound.List
//	}
//	r := Result{List: bound.New()}
//	r.AtMost("sends per request", 1.1, sends)
//	if len(r.Violations) > 0 { ... }
package bound

import "fmt"

// Bound is an upper or lower bound of a figure, with the measured value.
type Bound struct {
	Name string `json:"name"`
	// LowerBound reports whether the target is a lower bound; otherwise it is an upper
	// bound.
	LowerBound bool    `json:"least"`
	Target     float64 `json:"target"`
	Measured   float64 `json:"measured"`
	// Violated reports whether the measured value violates the bound.
	Violated bool `json:"broken"`
}

// List holds the bounds of a benchmark. Violations describes the violated bounds.
type List struct {
	Bounds     []Bound  `json:"bounds"`
	Violations []string `json:"broken"`
}

// New returns an empty list.
func New() List {
	return List{Violations: []string{}}
}

// AtMost adds an upper bound, which a measured NaN violates.
func (l *List) AtMost(name string, target, measured float64) {
	l.add(Bound{Name: name, Target: target, Measured: measured, Violated: !(measured <= target)})
}

// AtLeast adds a lower bound, which a measured NaN violates.
func (l *List) AtLeast(name string, target, measured float64) {
	l.add(Bound{Name: name, LowerBound: true, Target: target, Measured: measured, Violated: !(measured >= target)})
}

// add adds a bound, and describes it in Violations if it is violated.
func (l *List) add(b Bound) {
	l.Bounds = append(l.Bounds, b)
	if b.Violated {
		l.Violations = append(l.Violations, fmt.Sprintf("%s: %.4g, target %.4g", b.Name, b.Measured, b.Target))
	}
}
