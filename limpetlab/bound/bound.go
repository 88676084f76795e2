// Package bound compares the measured figures of a benchmark with their targets.
//
// # Usage
//
//	type Result struct {
//		bound.List
//	}
//	r := Result{List: bound.New()}
//	r.AtMost("sends per request", 1.1, sends)
//	if len(r.Broken) > 0 { ... }
package bound

import "fmt"

// Bound is an upper or lower bound of a figure, with the measured value.
type Bound struct {
	Name string `json:"name"`
	// Least reports whether the target is a lower bound; otherwise it is an upper
	// bound.
	Least    bool    `json:"least"`
	Target   float64 `json:"target"`
	Measured float64 `json:"measured"`
	// Broken reports whether the measured value violates the bound.
	Broken bool `json:"broken"`
}

// List holds the bounds of a benchmark. Broken describes the violated bounds.
type List struct {
	Bounds []Bound  `json:"bounds"`
	Broken []string `json:"broken"`
}

// New returns an empty list.
func New() List {
	return List{Broken: []string{}}
}

// AtMost adds an upper bound, which a measured NaN violates.
func (l *List) AtMost(name string, target, measured float64) {
	l.add(Bound{Name: name, Target: target, Measured: measured, Broken: !(measured <= target)})
}

// AtLeast adds a lower bound, which a measured NaN violates.
func (l *List) AtLeast(name string, target, measured float64) {
	l.add(Bound{Name: name, Least: true, Target: target, Measured: measured, Broken: !(measured >= target)})
}

// add adds a bound, and describes it in Broken if it is violated.
func (l *List) add(b Bound) {
	l.Bounds = append(l.Bounds, b)
	if b.Broken {
		l.Broken = append(l.Broken, fmt.Sprintf("%s: %.4g, target %.4g", b.Name, b.Measured, b.Target))
	}
}
