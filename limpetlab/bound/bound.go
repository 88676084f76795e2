// Package bound holds the targets of a bench beside what was measured.
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

// Bound is a target and what was measured.
type Bound struct {
	Name string `json:"name"`
	// Least tells that the target is the least value, not the most.
	Least    bool    `json:"least"`
	Target   float64 `json:"target"`
	Measured float64 `json:"measured"`
	Broken   bool    `json:"broken"`
}

// List holds the bounds of a bench; Broken names those that are not met.
type List struct {
	Bounds []Bound  `json:"bounds"`
	Broken []string `json:"broken"`
}

// New returns an empty list.
func New() List {
	return List{Broken: []string{}}
}

// AtMost adds an upper bound. A figure that is no number breaks it.
func (l *List) AtMost(name string, target, measured float64) {
	l.add(Bound{Name: name, Target: target, Measured: measured, Broken: !(measured <= target)})
}

// AtLeast adds a lower bound. A figure that is no number breaks it.
func (l *List) AtLeast(name string, target, measured float64) {
	l.add(Bound{Name: name, Least: true, Target: target, Measured: measured, Broken: !(measured >= target)})
}

func (l *List) add(b Bound) {
	l.Bounds = append(l.Bounds, b)
	if b.Broken {
		l.Broken = append(l.Broken, fmt.Sprintf("%s: %.4g, target %.4g", b.Name, b.Measured, b.Target))
	}
}
