package demo

import (
	"encoding/json"
	"fmt"
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

// Bounds of the latencies noted, in microseconds.
const (
	leastMicros = 1
	mostMicros  = 120_000_000
	digits      = 3
)

// maxNotes bounds the faults described in the summary.
const maxNotes = 10

// tally is what the callers got. It is safe for concurrent use.
type tally struct {
	priorities map[string]envdoc.Priority

	mu       sync.Mutex
	slots    map[string][]envdoc.Slot
	requests int
	answered int
	refused  int
	lost     int
	wrong    int
	breaks   int
	codes    map[string]int
	// notRun are the calls and prompts of which a caller was told that they
	// did not run, maybeRun those of which one was told or left with less.
	notRun   map[string]bool
	prompts  map[string]bool
	maybeRun map[string]bool
	asked    map[string]int
	attained map[string]int
	first    *hdrhistogram.Histogram
	notes    []string
}

// newTally returns an empty tally for the names of a document.
func newTally(doc *envdoc.Document) *tally {
	t := &tally{
		priorities: make(map[string]envdoc.Priority),
		slots:      make(map[string][]envdoc.Slot),
		codes:      make(map[string]int),
		notRun:     make(map[string]bool),
		prompts:    make(map[string]bool),
		maybeRun:   make(map[string]bool),
		asked:      make(map[string]int),
		attained:   make(map[string]int),
		first:      hdrhistogram.New(leastMicros, mostMicros, digits),
	}
	for _, p := range doc.Priorities {
		t.priorities[p.Name] = p
	}
	t.declare(doc)
	return t
}

// declare adds the versions of a document to those that may answer.
func (t *tally) declare(doc *envdoc.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range doc.Models {
		t.slots[m.Name] = append(t.slots[m.Name], envdoc.Slot{Model: m.Name, Version: m.Version})
		for _, a := range m.Adapters {
			t.slots[a.Name] = append(t.slots[a.Name], envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version})
		}
	}
}

// broken counts a connection that broke before an answer; the request that it
// carried may have run.
func (t *tally) broken(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks++
	t.maybeRun[name] = true
}

// note keeps a description of a fault.
func (t *tally) note(format string, args ...any) {
	if len(t.notes) < maxNotes {
		t.notes = append(t.notes, fmt.Sprintf(format, args...))
	}
}

// generation notes the answer to a generation.
func (t *tally) generation(g caller.Generation, a caller.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.asked[g.Priority]++
	switch {
	case a.Whole:
		t.answered++
		if !engsim.Matches(a.Text, g.EnginePrompt(), g.MaxTokens, t.slots[g.Model]...) {
			t.wrong++
			t.note("wrong answer to request %s for %s", a.RequestID, g.Model)
			return
		}
		t.timed(g, a)
	case a.Code != 0:
		t.explicit(a)
		if a.Run == code.RunNo {
			t.prompts[g.EnginePrompt()] = true
		}
	default:
		t.lose(g.Model, a)
	}
}

// timed notes whether a whole answer met its expectation. t.mu is held.
func (t *tally) timed(g caller.Generation, a caller.Answer) {
	_ = t.first.RecordValue(max(a.FirstToken.Microseconds(), leastMicros))
	p := t.priorities[g.Priority]
	tokens := len(strings.Fields(a.Text))
	first := time.Duration(p.FirstToken)
	if !g.Stream {
		first += time.Duration(tokens) * time.Duration(p.BetweenTokens)
	}
	between := time.Duration(0)
	if tokens > 1 {
		between = (a.Total - a.FirstToken) / time.Duration(tokens-1)
	}
	if a.FirstToken <= first && between <= time.Duration(p.BetweenTokens) {
		t.attained[g.Priority]++
	}
}

// explicit counts an explicit code. t.mu is held.
func (t *tally) explicit(a caller.Answer) {
	t.refused++
	t.codes[a.Code.Info().Name]++
}

// lose counts a request without answer or code. t.mu is held.
func (t *tally) lose(what string, a caller.Answer) {
	t.lost++
	t.note("lost: %s, request %q: %v", what, a.RequestID, a.Err)
}

// call notes the answer to a call of the plain service.
func (t *tally) call(name string, a caller.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	switch {
	case a.Whole:
		t.answered++
		t.maybeRun[name] = true
		var answer plain.Answer
		if err := json.Unmarshal(a.Body, &answer); err != nil || answer.Call != name {
			t.wrong++
			t.note("wrong answer to call %s: %s", name, a.Body)
		}
	case a.Code != 0:
		t.explicit(a)
		if a.Run == code.RunNo {
			t.notRun[name] = true
			return
		}
		t.maybeRun[name] = true
	default:
		t.maybeRun[name] = true
		t.lose(name, a)
	}
}

// line describes the tally for people.
func (t *tally) line() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d requests, %d answered, %d refused with a code, %d wrong, %d lost, first token p95 %v",
		t.requests, t.answered, t.refused, t.wrong, t.lost,
		(time.Duration(t.first.ValueAtQuantile(95)) * time.Microsecond).Round(time.Millisecond))
}
