package demo

import (
	"fmt"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/judge"
)

// Summary is the result of a demo.
type Summary struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Fault      FaultSchedule `json:"fault"`
	Seconds    float64       `json:"seconds"`
	// WeightStoreSpeed is the factor by which the weight store is faster
	// than the deployment's.
	WeightStoreSpeed float64 `json:"weight_store_speed"`
	Daemons          int     `json:"daemons"`
	Engines          int     `json:"engines"`
	Accelerators     int     `json:"accelerators"`

	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refused counts requests that ended with an explicit code.
	Refused int            `json:"refused"`
	Codes   map[string]int `json:"codes"`
	// BrokenConnections counts connections that broke before an answer; the
	// caller then sent the request to another daemon.
	BrokenConnections int `json:"broken_connections"`

	// Freezes counts how often a daemon was suspended, to be resumed later.
	Freezes int `json:"stops"`

	// FailedLeaves counts daemons that left with an error, for example because
	// requests were aborted. FailedLeaves, WrongAnswers, Lost, RepeatedExecutions,
	// MemoryOvercommits and NotRunButRan are invariants: each must be zero.
	FailedLeaves       int      `json:"failed_leaves"`
	WrongAnswers       int      `json:"wrong_answers"`
	Lost               int      `json:"lost"`
	RepeatedExecutions int      `json:"doubled"`
	MemoryOvercommits  int      `json:"memory_overcommits"`
	NotRunButRan       int      `json:"not_run_but_ran"`
	Notes              []string `json:"notes,omitempty"`

	// Moves counts loads and unloads after the initial placement, InitialMoves
	// those of the initial placement.
	Moves        int64 `json:"moves"`
	InitialMoves int64 `json:"initial_moves"`
	// Attainment is the share of generations that met the latency expectation
	// of their priority; AttainmentPerAccelerator is the number of these
	// generations per accelerator.
	Attainment               float64            `json:"attainment"`
	AttainmentByPriority     map[string]float64 `json:"attainment_by_priority"`
	AttainmentPerAccelerator float64            `json:"attainment_per_accelerator"`
	FirstTokenMillis         Percentiles        `json:"first_token_ms"`
	TableWrites              int64              `json:"table_writes"`
	TableReads               int64              `json:"table_reads"`
	RowsByPrefix             map[string]int64   `json:"rows_by_prefix"`
}

// Percentiles are percentiles of a duration in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Violations returns the violated invariants.
func (s Summary) Violations() []string {
	var broken []string
	for _, c := range []struct {
		name  string
		count int
	}{
		{"wrong_answers", s.WrongAnswers},
		{"lost", s.Lost},
		{"doubled", s.RepeatedExecutions},
		{"memory_overcommits", s.MemoryOvercommits},
		{"not_run_but_ran", s.NotRunButRan},
		{"failed_leaves", s.FailedLeaves},
	} {
		if c.count > 0 {
			broken = append(broken, fmt.Sprintf("%s is %d", c.name, c.count))
		}
	}
	return broken
}

// summary computes the summary from the stand-ins' counters and the answers that
// the callers received. initial is the number of moves of the initial placement.
func (d *demo) summary(initial int64, elapsed time.Duration) Summary {
	counters := d.world.Stats()
	loads, unloads := counters.LoadCounts()
	v := d.checker.Result(counters)
	s := Summary{
		Deployment:        d.config.Deployment.Name,
		Seed:              d.config.Seed,
		Fault:             d.config.Fault,
		Seconds:           elapsed.Seconds(),
		WeightStoreSpeed:  d.config.WeightStoreSpeed,
		Daemons:           len(d.fleet.Live()),
		Engines:           len(d.world.Engines),
		Accelerators:      d.config.Deployment.Accelerators(),
		Requests:          v.Requests,
		Answered:          v.Answered,
		Refused:           v.Refused,
		Codes:             v.Codes,
		BrokenConnections: v.BrokenConnections,
		Freezes:           d.freezes,
		FailedLeaves:      int(d.failedLeaves.Load()),
		WrongAnswers:      v.WrongAnswers,
		Lost:              v.Lost,
		MemoryOvercommits: len(counters.MemoryOvercommits),
		Moves:             loads + unloads - initial,
		InitialMoves:      initial,
		TableWrites:       counters.Table.Writes,
		TableReads:        counters.Table.Reads,
		RowsByPrefix:      counters.Table.RowsByPrefix,
	}
	doubled := counters.RepeatedExecutions(func(call string) bool { return strings.HasPrefix(call, "once-") })
	s.RepeatedExecutions = len(doubled)
	for _, call := range doubled {
		s.Notes = append(s.Notes, fmt.Sprintf("%s ran %d times", call, counters.Executions[call]))
	}
	s.NotRunButRan = v.NotRunButRan
	s.Notes = append(s.Notes, v.Violations...)
	s.setAttainment(v)
	return s
}

// setAttainment sets the fields on attainment and latency.
func (s *Summary) setAttainment(v judge.Result) {
	s.AttainmentByPriority = make(map[string]float64)
	total, attained := 0, 0
	for p, n := range v.Generations {
		s.AttainmentByPriority[p] = float64(v.Attained[p]) / float64(n)
		total += n
		attained += v.Attained[p]
	}
	if total > 0 {
		s.Attainment = float64(attained) / float64(total)
	}
	s.AttainmentPerAccelerator = float64(attained) / float64(s.Accelerators)
	millis := func(q float64) float64 { return float64(v.FirstToken.ValueAtQuantile(q)) / 1000 }
	s.FirstTokenMillis = Percentiles{P50: millis(50), P95: millis(95), P99: millis(99)}
}

// String returns the summary as human-readable lines.
func (s Summary) String() string {
	var b strings.Builder
	line := func(name string, value any) { _, _ = fmt.Fprintf(&b, "%-28s %v\n", name, value) }
	line("deployment", s.Deployment)
	line("fault", s.Fault)
	line("requests", s.Requests)
	line("answered", s.Answered)
	line("refused with a code", fmt.Sprintf("%d %v", s.Refused, s.Codes))
	line("wrong answers", s.WrongAnswers)
	line("lost", s.Lost)
	line("doubled", s.RepeatedExecutions)
	line("memory overcommits", s.MemoryOvercommits)
	line("reported not run, but ran", s.NotRunButRan)
	line("left with an error", s.FailedLeaves)
	line("moves", s.Moves)
	line("attainment", fmt.Sprintf("%.3f", s.Attainment))
	line("attainment per accelerator", fmt.Sprintf("%.2f", s.AttainmentPerAccelerator))
	line("first token p50, p95 (ms)", fmt.Sprintf("%.1f, %.1f", s.FirstTokenMillis.P50, s.FirstTokenMillis.P95))
	for _, n := range s.Notes {
		line("note", n)
	}
	return strings.TrimRight(b.String(), "\n")
}
