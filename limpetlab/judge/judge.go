// Package judge checks the answers that callers received. It counts complete
// answers, explicit codes and requests with neither, and checks that requests
// that were reported as not run are not in the stand-ins' counters.
//
// # Usage
//
//	j := judge.New(doc)
//	j.RecordGeneration(g, answer)
//	j.RecordCall("once-17", answer)
//	r := j.Result(counters)
//	r.WrongAnswers, r.Lost, r.NotRunButRan // must be zero
package judge

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
	"github.com/limpetlb/limpetlb/limpetlab/plain"
)

// Range in microseconds and significant digits of the latency histogram.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
)

// maxViolations is the maximum number of violations that are described in a Result.
const maxViolations = 10

// Checker records and checks the answers that callers received. It is safe for
// concurrent use.
type Checker struct {
	priorities map[string]envdoc.Priority

	mu                sync.Mutex
	slots             map[string][]envdoc.Slot
	requests          int
	answered          int
	refused           int
	lost              int
	wrong             int
	brokenConnections int
	codes             map[string]int
	// notRunCalls and notRunPrompts are the calls and prompts that a daemon
	// reported as not run to a caller. maybeRun are the calls and prompts that
	// may have run all the same, because a connection broke before an answer or
	// because a call also ended without such a report.
	notRunCalls   map[string]bool
	notRunPrompts map[string]bool
	maybeRun      map[string]bool
	generations   map[string]int
	attained      map[string]int
	firstToken    *hdrhistogram.Histogram
	violations    []string
}

// New returns a Checker for the models, adapters and priorities of a document.
func New(doc *envdoc.Document) *Checker {
	j := &Checker{
		priorities:    make(map[string]envdoc.Priority),
		slots:         make(map[string][]envdoc.Slot),
		codes:         make(map[string]int),
		notRunCalls:   make(map[string]bool),
		notRunPrompts: make(map[string]bool),
		maybeRun:      make(map[string]bool),
		generations:   make(map[string]int),
		attained:      make(map[string]int),
		firstToken:    hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
	}
	for _, p := range doc.Priorities {
		j.priorities[p.Name] = p
	}
	j.AddDocument(doc)
	return j
}

// AddDocument adds the model and adapter versions of a document to the versions whose
// answers are correct.
func (j *Checker) AddDocument(doc *envdoc.Document) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range doc.Models {
		j.slots[m.Name] = append(j.slots[m.Name], envdoc.Slot{Model: m.Name, Version: m.Version})
		for _, a := range m.Adapters {
			j.slots[a.Name] = append(j.slots[a.Name], envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version})
		}
	}
}

// Slots returns the slots whose answers are correct for a model or adapter name.
func (j *Checker) Slots(name string) []envdoc.Slot {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.slots[name])
}

// RecordBrokenConnection records a connection that broke before an answer. The request of that
// name may have run.
func (j *Checker) RecordBrokenConnection(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.brokenConnections++
	j.maybeRun[name] = true
}

// addNote describes a violation, up to maxNotes of them. j.mu is held.
func (j *Checker) addNote(format string, args ...any) {
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, fmt.Sprintf(format, args...))
	}
}

// RecordGeneration records and checks the answer to a generation.
func (j *Checker) RecordGeneration(g caller.Generation, a caller.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests++
	j.generations[g.Priority]++
	switch {
	case a.Complete:
		j.answered++
		if !engsim.Matches(a.Text, g.EnginePrompt(), g.MaxTokens, j.slots[g.Model]...) {
			j.wrong++
			j.addNote("wrong answer to request %s for %s", a.RequestID, g.Model)
			return
		}
		j.recordLatency(g, a)
	case a.Code != 0:
		j.countCode(a)
		if a.Run == code.RunNo {
			j.notRunPrompts[g.EnginePrompt()] = true
		}
	default:
		j.countLost(g.Model, a)
	}
}

// recordLatency records the latency of a complete answer and whether the latency
// met the expectation of the priority. j.mu is held.
func (j *Checker) recordLatency(g caller.Generation, a caller.Outcome) {
	if g.Stream {
		_ = j.firstToken.RecordValue(max(a.FirstToken.Microseconds(), minLatencyMicros))
	}
	p := j.priorities[g.Priority]
	tokens := len(strings.Fields(a.Text))
	maxFirstToken := time.Duration(p.FirstToken)
	if !g.Stream {
		maxFirstToken += time.Duration(tokens) * time.Duration(p.BetweenTokens)
	}
	betweenTokens := time.Duration(0)
	if tokens > 1 {
		betweenTokens = (a.Total - a.FirstToken) / time.Duration(tokens-1)
	}
	if a.FirstToken <= maxFirstToken && betweenTokens <= time.Duration(p.BetweenTokens) {
		j.attained[g.Priority]++
	}
}

// countCode counts a request that ended with an explicit code. j.mu is held.
func (j *Checker) countCode(a caller.Outcome) {
	j.refused++
	if a.BackendError {
		j.codes["backend_error"]++
		return
	}
	j.codes[a.Code.Info().Name]++
}

// countLost counts a request that ended without an answer and without a code.
// j.mu is held.
func (j *Checker) countLost(name string, a caller.Outcome) {
	j.lost++
	j.addNote("lost: %s, request %q: %v", name, a.RequestID, a.Err)
}

// RecordCall records and checks the answer to a call of the plain service.
func (j *Checker) RecordCall(name string, a caller.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests++
	switch {
	case a.Complete:
		j.answered++
		j.maybeRun[name] = true
		var answer plain.Answer
		if err := json.Unmarshal(a.Body, &answer); err != nil || answer.Call != name {
			j.wrong++
			j.addNote("wrong answer to call %s: %s", name, a.Body)
		}
	case a.Code != 0 || a.BackendError:
		j.countCode(a)
		if a.Run == code.RunNo {
			j.notRunCalls[name] = true
			return
		}
		j.maybeRun[name] = true
	default:
		j.maybeRun[name] = true
		j.countLost(name, a)
	}
}

// Progress returns the tally as a human-readable line.
func (j *Checker) Progress() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf("%d requests, %d answered, %d refused with a code, %d wrong, %d lost, first token p95 %v",
		j.requests, j.answered, j.refused, j.wrong, j.lost,
		(time.Duration(j.firstToken.ValueAtQuantile(95)) * time.Microsecond).Round(time.Millisecond))
}

// StatsProvider returns the counters of the stand-ins.
type StatsProvider interface {
	// ExecutionCount returns how often a call of a plain service was executed.
	ExecutionCount(call string) int
	// AttemptCount returns how many attempts engines started for a prompt.
	AttemptCount(prompt string) int
}

// Result summarises the answers to all requests.
type Result struct {
	Requests int
	Answered int
	// Refused counts requests that ended with an explicit code.
	Refused int
	Codes   map[string]int
	// BrokenConnections counts connections that broke before an answer.
	BrokenConnections int
	WrongAnswers      int
	// Lost counts requests with neither a complete answer nor a code.
	Lost int
	// NotRunButRan counts requests that were reported as not run to a caller,
	// but ran.
	NotRunButRan int
	// Violations describes at most maxViolations of the violations.
	Violations []string
	// Generations counts generations by priority, Attained the generations among
	// them that met the latency expectation of the priority.
	Generations map[string]int
	Attained    map[string]int
	// FirstToken is the histogram of the times to first token of streams, in
	// microseconds.
	FirstToken *hdrhistogram.Histogram
}

// Result summarises the answers recorded so far.
func (j *Checker) Result(counters StatsProvider) Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran := j.notRunButRan(counters)
	return Result{
		Requests: j.requests, Answered: j.answered, Refused: j.refused,
		Codes: maps.Clone(j.codes), BrokenConnections: j.brokenConnections,
		WrongAnswers: j.wrong, Lost: j.lost, NotRunButRan: ran,
		Violations:  slices.Clone(j.violations),
		Generations: maps.Clone(j.generations), Attained: maps.Clone(j.attained),
		FirstToken: hdrhistogram.Import(j.firstToken.Export()),
	}
}

// notRunButRan counts requests that ran although they were reported as not run. A
// request that was sent several times counts only when it was reported as not run
// each time. j.mu is held.
func (j *Checker) notRunButRan(counters StatsProvider) int {
	n := 0
	for call := range j.notRunCalls {
		if !j.maybeRun[call] && counters.ExecutionCount(call) > 0 {
			n++
			j.addNote("reported not run, but ran: %s", call)
		}
	}
	for prompt := range j.notRunPrompts {
		if !j.maybeRun[prompt] && counters.AttemptCount(prompt) > 0 {
			n++
			j.addNote("reported not run, but ran: %s", prompt[max(0, len(prompt)-30):])
		}
	}
	return n
}
