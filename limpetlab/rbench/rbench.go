// Package rbench measures how requests are routed, admitted and tried again.
//
// A small model of engines, with batches, prompt caches and ranks, is driven in
// virtual time by the decisions of the packages route and admit, and by round
// robin, least loaded and random two choices, on the same requests and with the
// same reports, which are one second old. No wall-clock time enters the figures;
// a seed gives the same result each time.
//
// # Usage
//
//	result, err := rbench.Run(ctx, rbench.Config{Deployment: "andesoft", Seed: 1})
//	if len(result.Broken) > 0 { ... }
package rbench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
)

// Config says what is measured.
type Config struct {
	// Deployment is "andesoft" or "ibeji".
	Deployment string
	Seed       uint64
	// Quick measures a shorter day.
	Quick bool
}

// Row is a figure of a policy in a phase.
type Row struct {
	Policy   string `json:"policy"`
	Phase    string `json:"phase"`
	Priority string `json:"priority"`
	Requests int    `json:"requests"`
	// Attainment is the part of the requests that met their expectation.
	Attainment float64 `json:"attainment"`
	// AttainmentPerAccelerator is the number of requests a second that met it,
	// for each accelerator.
	AttainmentPerAccelerator float64 `json:"attainment_per_accelerator"`
	// SendsPerRequest counts attempts over the requests that were sent.
	SendsPerRequest float64 `json:"sends_per_request"`
	// QueueSpread is the mean standard deviation of the engines' queue lengths.
	QueueSpread float64 `json:"queue_spread,omitempty"`
}

// Result holds all rows and bounds; Broken names the bounds not met.
type Result struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Rows       []Row  `json:"rows"`
	// Series has an entry for each policy in each scenario.
	Series []Series `json:"-"`
	bound.List
}

// The names of the policies.
const (
	policyLimpet      = "limpet"
	policyRoundRobin  = "round_robin"
	policyLeastLoaded = "least_loaded"
	policyTwoChoices  = "two_choices"
)

// baselines are the policies that limpet is compared with.
var baselines = []string{policyRoundRobin, policyLeastLoaded, policyTwoChoices}

// newRouter returns the routers of a policy.
func newRouter(policy string, w *world, seed uint64) router {
	switch policy {
	case policyRoundRobin:
		return newPlain(seed, roundRobin)
	case policyLeastLoaded:
		return newPlain(seed, leastLoaded)
	case policyTwoChoices:
		return newPlain(seed, twoChoices)
	default:
		return newLimpet(w, seed)
	}
}

// scenario is a load on a world.
type scenario struct {
	name      string
	world     *world
	popular   bool
	fault     fault
	stretches []stretch
	policies  []string
}

// bench collects the figures of a run.
type bench struct {
	ctx    context.Context
	config Config
	result Result
}

// Run measures a deployment. It returns an error when the deployment is not known
// or ctx ends.
func Run(ctx context.Context, c Config) (Result, error) {
	d, err := lookup(c.Deployment)
	if err != nil {
		return Result{}, err
	}
	b := &bench{ctx: ctx, config: c, result: Result{Deployment: c.Deployment, Seed: c.Seed, List: bound.New()}}
	w := newWorld(d)
	for _, step := range []func(*world) error{b.calm, b.day, b.overload, b.failing, b.slow, b.herding} {
		if err := step(w); err != nil {
			return Result{}, err
		}
	}
	return b.result, nil
}

// play runs a scenario with each policy and adds its rows.
func (b *bench) play(sc scenario) error {
	for _, policy := range sc.policies {
		if err := b.ctx.Err(); err != nil {
			return err
		}
		// Each policy gets the same requests.
		random := rand.New(rand.NewPCG(b.config.Seed, 7))
		jobs := sc.world.generate(random, sc.popular, sc.stretches)
		s := newSimulation(sc.world, newRouter(policy, sc.world, b.config.Seed), jobs, sc.fault)
		s.run()
		b.add(policy, sc, jobs, s.spread.mean())
		b.result.Series = append(b.result.Series, series(sc, policy, jobs))
	}
	return nil
}

// add adds the rows of a run: each priority, and all, in each phase.
func (b *bench) add(policy string, sc scenario, jobs []*job, spread float64) {
	for _, phase := range phases(sc.stretches) {
		for p := range priorities {
			b.addRow(policy, sc, phase, priorities[p].name, jobs, 0)
		}
		b.addRow(policy, sc, phase, allPriorities, jobs, spread)
	}
}

// allPriorities is the priority of a row that counts all requests.
const allPriorities = "all"

// addRow adds a row, if there are requests for it.
func (b *bench) addRow(policy string, sc scenario, phase, priority string, jobs []*job, spread float64) {
	r := Row{Policy: policy, Phase: phase, Priority: priority, QueueSpread: spread}
	var c count
	for _, j := range jobs {
		if j.phase != phase || priority != allPriorities && j.priority.name != priority {
			continue
		}
		c.add(j)
	}
	if c.requests == 0 {
		return
	}
	r.Requests = c.requests
	r.Attainment = c.attainment()
	accelerators := float64(sc.world.engines * acceleratorsAnEngine)
	r.AttainmentPerAccelerator = float64(c.attained) / span(sc.stretches, phase).Seconds() / accelerators
	r.SendsPerRequest = c.sendsPerRequest()
	b.result.Rows = append(b.result.Rows, r)
}

// number returns 1 for true.
func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// phases returns the phases of stretches, each once.
func phases(stretches []stretch) []string {
	var names []string
	seen := make(map[string]bool)
	for _, st := range stretches {
		if !seen[st.phase] {
			seen[st.phase] = true
			names = append(names, st.phase)
		}
	}
	return names
}

// span returns the length of a phase. Stretches of the same time count once.
func span(stretches []stretch, phase string) time.Duration {
	var d, until time.Duration
	for _, st := range stretches {
		if st.phase == phase && st.until > until {
			d += st.until - max(st.from, until)
			until = st.until
		}
	}
	return d
}
