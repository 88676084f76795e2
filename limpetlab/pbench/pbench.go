// Package pbench measures placement: how many requests meet their expectation
// for each accelerator, and how many moves that takes.
//
// A small time-stepped model of demand, engines and loads is driven by the
// planner of package place, by a greedy one that plans anew each period, and by
// a placement that never changes, all on the same demand. A seed gives the same
// result each time. The model knows no network and no daemons.
//
// # Usage
//
//	result, err := pbench.Run(ctx, pbench.Config{Deployment: "andesoft", Seed: 1})
//	if len(result.Broken) > 0 { ... }
package pbench

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// Config says what is measured.
type Config struct {
	// Deployment is "andesoft" or "ibeji".
	Deployment string
	Seed       uint64
	// Quick measures two hours of the morning instead of a day.
	Quick bool
}

// Row is what a policy reached.
type Row struct {
	Policy string `json:"policy"`
	// AttainmentPerAccelerator is the number of requests a second that met
	// their expectation, for each accelerator.
	AttainmentPerAccelerator float64 `json:"attainment_per_accelerator"`
	// Attainment is the part of all requests that met their expectation.
	Attainment float64 `json:"attainment"`
	// Moves counts loads and unloads of models and adapters after the first
	// placement, ModelMoves those of models.
	Moves      int `json:"moves"`
	ModelMoves int `json:"model_moves"`
	// UnreachableModelSeconds sums, over all models, the time in which no
	// engine of any data centre held the model, after the first placement.
	UnreachableModelSeconds float64 `json:"unreachable_model_seconds"`
}

// Result holds a row for each policy, and the bounds; Broken names those that are
// not met.
type Result struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Hours      float64 `json:"hours"`
	Rows       []Row   `json:"rows"`
	// Series has an entry for each policy, in the order of the rows.
	Series []Series `json:"-"`
	bound.List
}

// The policies.
const (
	PolicyLimpetlb = "limpetlb"
	PolicyGreedy   = "greedy"
	PolicyStatic   = "static"
)

const (
	step     = 5 * time.Second
	warmUp   = 10 * time.Minute
	wholeDay = 24 * time.Hour
	quickDay = 2 * time.Hour
	// movesTarget is the largest part of the greedy policy's moves.
	movesTarget = 0.5
)

// Run measures all policies on the same demand. An error has code BadParameter
// for an unknown deployment.
func Run(ctx context.Context, c Config) (Result, error) {
	d, err := deploy.ByName(c.Deployment)
	if err != nil {
		return Result{}, err
	}
	length := wholeDay
	if c.Quick {
		length = quickDay
	}
	r := Result{Deployment: c.Deployment, Seed: c.Seed, Hours: length.Hours(), List: bound.New()}
	for _, policy := range []string{PolicyLimpetlb, PolicyGreedy, PolicyStatic} {
		row, series, err := measure(ctx, d, policy, c.Seed, length)
		if err != nil {
			return Result{}, err
		}
		r.Rows = append(r.Rows, row)
		r.Series = append(r.Series, series)
	}
	r.judge()
	return r, nil
}

// judge compares the rows with the targets.
func (r *Result) judge() {
	own, greedy := r.Rows[0], r.Rows[1]
	r.AtMost("moves of greedy", movesTarget, ratio(float64(own.Moves), float64(greedy.Moves)))
	r.AtLeast("attainment of greedy", 1, ratio(own.AttainmentPerAccelerator, greedy.AttainmentPerAccelerator))
	r.AtMost("unreachable model seconds", 0, own.UnreachableModelSeconds)
}

// ratio returns a/b, 0 for 0/0.
func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}

// measure lets a policy run over the demand.
func measure(ctx context.Context, d deploy.Deployment, policy string, seed uint64, length time.Duration) (Row, Series, error) {
	doc := d.Document(1)
	demand := newDemand(d, doc, seed)
	var sites []*site
	for _, dc := range d.DataCentres {
		sites = append(sites, newSite(d, doc, dc, newPolicy(policy, demand)))
	}
	t := tally{models: len(doc.Models), sampler: newSampler(length)}
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for at := time.Duration(0); at < warmUp+length; at += step {
		if err := ctx.Err(); err != nil {
			return Row{}, Series{}, err
		}
		demand.advance(at)
		for i, s := range sites {
			s.advance(begin.Add(at), demand.of(i), sites)
		}
		if at >= warmUp {
			t.add(sites, doc)
		}
		if at+step == warmUp {
			t.begin(sites)
		}
	}
	return t.row(policy, d, length), Series{Policy: policy, Points: t.sampler.points}, nil
}

// tally sums what the sites reached.
type tally struct {
	models      int
	asked, met  float64
	unreachable float64
	// firstMoves and firstModelMoves are those of the first placement.
	firstMoves, firstModelMoves int
	moves, modelMoves           int
	sampler                     *sampler
}

// begin leaves out what the first placement took.
func (t *tally) begin(sites []*site) {
	for _, s := range sites {
		t.firstMoves += s.moves
		t.firstModelMoves += s.modelMoves
	}
}

// add takes in a step.
func (t *tally) add(sites []*site, doc *envdocDocument) {
	asked, met := 0.0, 0.0
	t.moves, t.modelMoves = -t.firstMoves, -t.firstModelMoves
	for _, s := range sites {
		asked += s.asked
		met += s.met
		t.moves += s.moves
		t.modelMoves += s.modelMoves
	}
	t.asked += asked
	t.met += met
	t.sampler.add(asked, met, t.moves)
	for _, m := range doc.Models {
		held := false
		for _, s := range sites {
			held = held || s.holds(m.Name)
		}
		if !held {
			t.unreachable += step.Seconds()
		}
	}
}

// row returns the figures.
func (t *tally) row(policy string, d deploy.Deployment, length time.Duration) Row {
	return Row{
		Policy:                   policy,
		AttainmentPerAccelerator: t.met / length.Seconds() / float64(d.Accelerators()),
		Attainment:               ratio(t.met, t.asked),
		Moves:                    t.moves,
		ModelMoves:               t.modelMoves,
		UnreachableModelSeconds:  t.unreachable,
	}
}
