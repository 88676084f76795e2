// Package rbench is a benchmark of request routing, admission and retries.
//
// It runs a discrete-event simulation of engines with batches, prompt caches and
// priority ranks. The packages route and admit are compared with three baseline
// policies: round robin, least loaded, and the better of two random choices. All
// policies get the same requests and engine reports that are one second old. The
// simulation runs in virtual time, so results depend only on the seed.
//
// # Usage
//
//	result, err := rbench.Run(ctx, rbench.Config{Deployment: "andesoft", Seed: 1})
//	if len(result.Violations) > 0 { ... }
package rbench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
)

// Config selects the deployment and the workload of a run.
type Config struct {
	// Deployment is "andesoft" or "ibeji".
	Deployment string
	Seed       uint64
	// Quick shortens the calm, day and herding scenarios.
	Quick bool
}

// Row holds the results of one policy for the requests of one phase and priority.
type Row struct {
	Policy   string `json:"policy"`
	Phase    string `json:"phase"`
	Priority string `json:"priority"`
	Requests int    `json:"requests"`
	// Attainment is the fraction of the requests whose first token arrived
	// within the expected time.
	Attainment float64 `json:"attainment"`
	// AttainmentPerAccelerator is the number of requests that met their
	// expectation, per second and accelerator.
	AttainmentPerAccelerator float64 `json:"attainment_per_accelerator"`
	// SendsPerRequest is the mean number of attempts of the requests that were
	// sent at least once.
	SendsPerRequest float64 `json:"sends_per_request"`
	// QueueSpread is the standard deviation of the engines' queue lengths,
	// averaged over the scenario. It is set only in rows for all priorities.
	QueueSpread float64 `json:"queue_spread,omitempty"`
}

// Result holds the rows, series and bounds of a run. Broken names the bounds that
// were not met.
type Result struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Rows       []Row  `json:"rows"`
	// Series has one entry for each scenario and policy.
	Series []Series `json:"-"`
	bound.List
}

// Names of the policies.
const (
	policyLimpet      = "limpet"
	policyRoundRobin  = "round_robin"
	policyLeastLoaded = "least_loaded"
	policyTwoChoices  = "two_choices"
)

// baselinePolicies lists the policies that policyLimpet is compared with.
var baselinePolicies = []string{policyRoundRobin, policyLeastLoaded, policyTwoChoices}

// newRouter returns the implementation of a policy.
func newRouter(policy string, c *cluster, seed uint64) router {
	switch policy {
	case policyRoundRobin:
		return newBaselineRouter(seed, roundRobin)
	case policyLeastLoaded:
		return newBaselineRouter(seed, leastLoaded)
	case policyTwoChoices:
		return newBaselineRouter(seed, twoChoices)
	default:
		return newLimpetRouter(c, seed)
	}
}

// scenario is a workload and a fault that are simulated with several policies.
type scenario struct {
	name    string
	cluster *cluster
	// skewed indicates whether some slots are requested more often than others.
	skewed   bool
	fault    fault
	segments []segment
	policies []string
}

// bench collects the results of a run.
type bench struct {
	ctx    context.Context
	config Config
	result Result
}

// Run simulates all scenarios on a deployment. It returns an error if the
// deployment is unknown or ctx is cancelled.
func Run(ctx context.Context, config Config) (Result, error) {
	d, err := lookupDeployment(config.Deployment)
	if err != nil {
		return Result{}, err
	}
	b := &bench{ctx: ctx, config: config, result: Result{Deployment: config.Deployment, Seed: config.Seed, List: bound.New()}}
	c := newCluster(d)
	for _, measure := range []func(*cluster) error{b.measureCalm, b.measureDay, b.measureOverload, b.measureFailing, b.measureSlow, b.measureHerding} {
		if err := measure(c); err != nil {
			return Result{}, err
		}
	}
	return b.result, nil
}

// runScenario simulates a scenario with each of its policies and adds the rows and
// series.
func (b *bench) runScenario(sc scenario) error {
	for _, policy := range sc.policies {
		if err := b.ctx.Err(); err != nil {
			return err
		}
		// The same seed for each policy gives all policies the same requests.
		random := rand.New(rand.NewPCG(b.config.Seed, 7))
		requests := sc.cluster.generateRequests(random, sc.skewed, sc.segments)
		s := newSimulation(sc.cluster, newRouter(policy, sc.cluster, b.config.Seed), requests, sc.fault)
		s.run()
		b.addRows(policy, sc, requests, s.spread.mean())
		b.result.Series = append(b.result.Series, newSeries(sc, policy, requests))
	}
	return nil
}

// addRows adds the rows of a simulation: in each phase one row per priority and
// one for all priorities.
func (b *bench) addRows(policy string, sc scenario, requests []*request, spread float64) {
	for _, phase := range phaseNames(sc.segments) {
		for p := range priorities {
			b.addRow(policy, sc, phase, priorities[p].name, requests, 0)
		}
		b.addRow(policy, sc, phase, allPriorities, requests, spread)
	}
}

// allPriorities stands in Row.Priority if the row counts the requests of all
// priorities.
const allPriorities = "all"

// addRow adds a row unless no request belongs to it.
func (b *bench) addRow(policy string, sc scenario, phase, priority string, requests []*request, spread float64) {
	r := Row{Policy: policy, Phase: phase, Priority: priority, QueueSpread: spread}
	var c requestCounts
	for _, req := range requests {
		if req.phase != phase || priority != allPriorities && req.priority.name != priority {
			continue
		}
		c.add(req)
	}
	if c.requests == 0 {
		return
	}
	r.Requests = c.requests
	r.Attainment = c.attainment()
	accelerators := float64(sc.cluster.engines * acceleratorsPerEngine)
	r.AttainmentPerAccelerator = float64(c.attained) / phaseLength(sc.segments, phase).Seconds() / accelerators
	r.SendsPerRequest = c.sendsPerRequest()
	b.result.Rows = append(b.result.Rows, r)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// phaseNames returns the distinct phases of segments in order of appearance.
func phaseNames(segments []segment) []string {
	var names []string
	seen := make(map[string]bool)
	for _, seg := range segments {
		if !seen[seg.phase] {
			seen[seg.phase] = true
			names = append(names, seg.phase)
		}
	}
	return names
}

// phaseLength returns the total duration of a phase. Segments that cover the same
// time count once.
func phaseLength(segments []segment, phase string) time.Duration {
	var d, until time.Duration
	for _, seg := range segments {
		if seg.phase == phase && seg.until > until {
			d += seg.until - max(seg.from, until)
			until = seg.until
		}
	}
	return d
}
