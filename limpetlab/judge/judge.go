// Package judge judges what callers got: whole answers, explicit codes, or
// neither, and whether what they were told agrees with the stand-ins' books.
//
// # Usage
//
//	j := judge.New(doc)
//	j.Generation(g, answer)
//	j.Call("once-17", answer)
//	v := j.Verdict(books)
//	v.WrongAnswers, v.Lost, v.NotRunButRan // must be zero
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

// Bounds of the latencies noted, in microseconds.
const (
	leastMicros = 1
	mostMicros  = 120_000_000
	digits      = 3
)

// maxNotes bounds the faults described in the summary.
const maxNotes = 10

// Judge keeps what the callers got. It is safe for concurrent use.
type Judge struct {
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

// New returns a judge for the names of a document.
func New(doc *envdoc.Document) *Judge {
	j := &Judge{
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
		j.priorities[p.Name] = p
	}
	j.Declare(doc)
	return j
}

// Declare adds the versions of a document to those that may answer.
func (j *Judge) Declare(doc *envdoc.Document) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range doc.Models {
		j.slots[m.Name] = append(j.slots[m.Name], envdoc.Slot{Model: m.Name, Version: m.Version})
		for _, a := range m.Adapters {
			j.slots[a.Name] = append(j.slots[a.Name], envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version})
		}
	}
}

// Slots returns the slots that may answer under a name.
func (j *Judge) Slots(name string) []envdoc.Slot {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.slots[name])
}

// Broken counts a connection that broke before an answer; the request that it
// carried may have run.
func (j *Judge) Broken(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks++
	j.maybeRun[name] = true
}

// note keeps a description of a fault.
func (j *Judge) note(format string, args ...any) {
	if len(j.notes) < maxNotes {
		j.notes = append(j.notes, fmt.Sprintf(format, args...))
	}
}

// Generation notes the answer to a generation.
func (j *Judge) Generation(g caller.Generation, a caller.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests++
	j.asked[g.Priority]++
	switch {
	case a.Whole:
		j.answered++
		if !engsim.Matches(a.Text, g.EnginePrompt(), g.MaxTokens, j.slots[g.Model]...) {
			j.wrong++
			j.note("wrong answer to request %s for %s", a.RequestID, g.Model)
			return
		}
		j.timed(g, a)
	case a.Code != 0:
		j.explicit(a)
		if a.Run == code.RunNo {
			j.prompts[g.EnginePrompt()] = true
		}
	default:
		j.lose(g.Model, a)
	}
}

// timed notes whether a whole answer met its expectation. j.mu is held.
func (j *Judge) timed(g caller.Generation, a caller.Answer) {
	if g.Stream {
		_ = j.first.RecordValue(max(a.FirstToken.Microseconds(), leastMicros))
	}
	p := j.priorities[g.Priority]
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
		j.attained[g.Priority]++
	}
}

// explicit counts an explicit code. j.mu is held.
func (j *Judge) explicit(a caller.Answer) {
	j.refused++
	if a.Backend {
		j.codes["backend_error"]++
		return
	}
	j.codes[a.Code.Info().Name]++
}

// lose counts a request without answer or code. j.mu is held.
func (j *Judge) lose(what string, a caller.Answer) {
	j.lost++
	j.note("lost: %s, request %q: %v", what, a.RequestID, a.Err)
}

// Call notes the answer to a call of the plain service.
func (j *Judge) Call(name string, a caller.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests++
	switch {
	case a.Whole:
		j.answered++
		j.maybeRun[name] = true
		var answer plain.Answer
		if err := json.Unmarshal(a.Body, &answer); err != nil || answer.Call != name {
			j.wrong++
			j.note("wrong answer to call %s: %s", name, a.Body)
		}
	case a.Code != 0 || a.Backend:
		j.explicit(a)
		if a.Run == code.RunNo {
			j.notRun[name] = true
			return
		}
		j.maybeRun[name] = true
	default:
		j.maybeRun[name] = true
		j.lose(name, a)
	}
}

// Line describes the tally for people.
func (j *Judge) Line() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf("%d requests, %d answered, %d refused with a code, %d wrong, %d lost, first token p95 %v",
		j.requests, j.answered, j.refused, j.wrong, j.lost,
		(time.Duration(j.first.ValueAtQuantile(95)) * time.Microsecond).Round(time.Millisecond))
}

// BooksProvider tells what the stand-ins saw.
type BooksProvider interface {
	// Executed returns how often a call of a plain service was executed.
	Executed(call string) int
	// Runs returns how many attempts engines began for a prompt.
	Runs(prompt string) int
}

// Verdict is what the callers got, over all requests.
type Verdict struct {
	Requests int
	Answered int
	// Refused counts requests that ended with an explicit code.
	Refused int
	Codes   map[string]int
	// BrokenConnections counts connections that broke before an answer.
	BrokenConnections int
	WrongAnswers      int
	// Lost counts requests with neither a whole answer nor a code.
	Lost int
	// NotRunButRan counts requests of which a caller was told that they did
	// not run, and that did.
	NotRunButRan int
	Notes        []string
	// Asked and Attained count generations, and those that met their
	// expectation, by priority.
	Asked    map[string]int
	Attained map[string]int
	// FirstToken holds the times to the first token in microseconds.
	FirstToken *hdrhistogram.Histogram
}

// Verdict returns the verdict so far.
func (j *Judge) Verdict(books BooksProvider) Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran := j.notRunButRan(books)
	return Verdict{
		Requests: j.requests, Answered: j.answered, Refused: j.refused,
		Codes: maps.Clone(j.codes), BrokenConnections: j.breaks,
		WrongAnswers: j.wrong, Lost: j.lost, NotRunButRan: ran,
		Notes: slices.Clone(j.notes),
		Asked: maps.Clone(j.asked), Attained: maps.Clone(j.attained),
		FirstToken: hdrhistogram.Import(j.first.Export()),
	}
}

// notRunButRan counts requests that ran against what a caller was told. A
// request that was sent several times counts only when each time ended so.
func (j *Judge) notRunButRan(books BooksProvider) int {
	n := 0
	for call := range j.notRun {
		if !j.maybeRun[call] && books.Executed(call) > 0 {
			n++
			j.note("told not run, but ran: %s", call)
		}
	}
	for prompt := range j.prompts {
		if !j.maybeRun[prompt] && books.Runs(prompt) > 0 {
			n++
			j.note("told not run, but ran: %s", prompt[max(0, len(prompt)-30):])
		}
	}
	return n
}
