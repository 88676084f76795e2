// Package pbench is a benchmark of placement policies. It measures how many
// requests per accelerator meet their expectation, and the moves (loads and
// unloads of models and adapters) that a policy makes.
//
// It runs a time-stepped simulation of demand, engines and model loads, without
// network and daemons. The planner of package place is compared with a greedy
// policy that computes a new placement each period, and with a static placement.
// All policies get the same demand. Results depend only on the seed.
//
// # Usage
//
//	result, err := pbench.Run(ctx, pbench.Config{Deployment: "andesoft", Seed: 1})
//	if len(result.Violations) > 0 { ... }
package pbench

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// Config selects the deployment and the length of a run.
type Config struct {
	// Deployment is "andesoft" or "ibeji".
	Deployment string
	Seed       uint64
	// Quick simulates two hours of the morning instead of a day.
	Quick bool
}

// Row holds the results of one policy.
type Row struct {
	Policy string `json:"policy"`
	// AttainmentPerAccelerator is the number of requests that met their
	// expectation, per second and accelerator.
	AttainmentPerAccelerator float64 `json:"attainment_per_accelerator"`
	// Attainment is the fraction of all requests that met their expectation.
	Attainment float64 `json:"attainment"`
	// Moves counts the loads and unloads of models and adapters after the
	// initial placement; ModelMoves counts those of models only.
	Moves      int `json:"moves"`
	ModelMoves int `json:"model_moves"`
	// UnreachableModelSeconds is the sum over all models of the time in which
	// no engine of any data centre held the model, after the initial placement.
	UnreachableModelSeconds float64 `json:"unreachable_model_seconds"`
}

// Result holds a row and a series for each policy, and the bounds. Broken names
// the bounds that were not met.
type Result struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Hours      float64 `json:"hours"`
	Rows       []Row   `json:"rows"`
	// Series has one entry for each policy, in the order of Rows.
	Series []Series `json:"-"`
	bound.List
}

// Names of the policies.
const (
	PolicyPlanner = "limpetlb"
	PolicyGreedy  = "greedy"
	PolicyStatic  = "static"
)

const (
	// step is the time step of the simulation.
	step = 5 * time.Second
	// warmUp is the time for the initial placement, before the measurement.
	warmUp      = 10 * time.Minute
	fullLength  = 24 * time.Hour
	quickLength = 2 * time.Hour
	// maxMovesRatio is the maximum ratio of the planner's moves to those of the
	// greedy policy.
	maxMovesRatio = 0.5
)

// Run simulates all policies on the same demand. An unknown deployment is an error
// with code BadParameter. Run also returns an error if ctx is cancelled.
func Run(ctx context.Context, config Config) (Result, error) {
	d, err := deploy.ByName(config.Deployment)
	if err != nil {
		return Result{}, err
	}
	length := fullLength
	if config.Quick {
		length = quickLength
	}
	r := Result{Deployment: config.Deployment, Seed: config.Seed, Hours: length.Hours(), List: bound.New()}
	for _, policy := range []string{PolicyPlanner, PolicyGreedy, PolicyStatic} {
		row, series, err := simulate(ctx, d, policy, config.Seed, length)
		if err != nil {
			return Result{}, err
		}
		r.Rows = append(r.Rows, row)
		r.Series = append(r.Series, series)
	}
	r.addBounds()
	return r, nil
}

// addBounds compares the rows with the targets.
func (r *Result) addBounds() {
	planner, greedy := r.Rows[0], r.Rows[1]
	r.AtMost("moves of greedy", maxMovesRatio, ratio(float64(planner.Moves), float64(greedy.Moves)))
	r.AtLeast("attainment of greedy", 1, ratio(planner.AttainmentPerAccelerator, greedy.AttainmentPerAccelerator))
	r.AtMost("unreachable model seconds", 0, planner.UnreachableModelSeconds)
}

// ratio returns a/b, or 0 if a is 0, also for 0/0.
func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}

// simulate runs a policy for the warm-up and then for the measured length.
func simulate(ctx context.Context, d deploy.Deployment, policy string, seed uint64, length time.Duration) (Row, Series, error) {
	doc := d.Document(1)
	demand := newDemand(d, doc, seed)
	var dataCentres []*dataCentre
	for _, dc := range d.DataCentres {
		dataCentres = append(dataCentres, newDataCentre(d, doc, dc, newPolicy(policy, demand)))
	}
	t := tally{models: len(doc.Models), sampler: newSampler(length)}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for at := time.Duration(0); at < warmUp+length; at += step {
		if err := ctx.Err(); err != nil {
			return Row{}, Series{}, err
		}
		demand.advance(at)
		for i, dc := range dataCentres {
			dc.advance(start.Add(at), demand.ratesOf(i), dataCentres)
		}
		if at >= warmUp {
			t.add(dataCentres, doc)
		}
		if at+step == warmUp {
			t.excludeInitialMoves(dataCentres)
		}
	}
	return t.row(policy, d, length), Series{Policy: policy, Points: t.sampler.points}, nil
}

// tally sums the results of all data centres.
type tally struct {
	models             int
	requests, attained float64
	unreachableSeconds float64
	// initialMoves and initialModelMoves count the moves of the warm-up.
	initialMoves, initialModelMoves int
	moves, modelMoves               int
	sampler                         *sampler
}

// excludeInitialMoves excludes the moves so far from the result. It is called at
// the end of the warm-up.
func (t *tally) excludeInitialMoves(dataCentres []*dataCentre) {
	for _, dc := range dataCentres {
		t.initialMoves += dc.moves
		t.initialModelMoves += dc.modelMoves
	}
}

// add adds the results of a step.
func (t *tally) add(dataCentres []*dataCentre, doc *document) {
	requests, attained := 0.0, 0.0
	t.moves, t.modelMoves = -t.initialMoves, -t.initialModelMoves
	for _, dc := range dataCentres {
		requests += dc.requests
		attained += dc.attained
		t.moves += dc.moves
		t.modelMoves += dc.modelMoves
	}
	t.requests += requests
	t.attained += attained
	t.sampler.add(requests, attained, t.moves)
	for _, m := range doc.Models {
		held := false
		for _, dc := range dataCentres {
			held = held || dc.holdsModel(m.Name)
		}
		if !held {
			t.unreachableSeconds += step.Seconds()
		}
	}
}

// row returns the results of a policy over the measured length.
func (t *tally) row(policy string, d deploy.Deployment, length time.Duration) Row {
	return Row{
		Policy:                   policy,
		AttainmentPerAccelerator: t.attained / length.Seconds() / float64(d.Accelerators()),
		Attainment:               ratio(t.attained, t.requests),
		Moves:                    t.moves,
		ModelMoves:               t.modelMoves,
		UnreachableModelSeconds:  t.unreachableSeconds,
	}
}
