package matrix

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
)

// Timeouts and intervals of the invariant checks.
const (
	setupTimeout = 3 * time.Minute
	// inForceTimeout bounds the time until an accepted document is in force at
	// every daemon, counted from the end of the last fault.
	inForceTimeout = 4 * time.Second
	// reachableTimeout bounds the time until every model answers, counted from
	// the end of the last fault.
	reachableTimeout = 2 * time.Minute
	sampleInterval   = 250 * time.Millisecond
)

// sampleInvariants checks at regular intervals the invariants that must hold at
// all times, until the rig stops.
func (r *rig) sampleInvariants() {
	for r.ctx.Err() == nil {
		r.checkRevisions()
		if r.isSetUp() {
			if missing := r.missingNames(); len(missing) > 0 {
				r.recordViolation("reachable: no engine holds %v", missing)
			}
		}
		sleep(r.ctx, sampleInterval)
	}
}

// checkRevisions checks that no daemon returns to an older document, and that
// each accepted document is in force at every daemon within inForceTimeout.
// Paused and partitioned daemons are exempt from the second check.
func (r *rig) checkRevisions() {
	r.mu.Lock()
	accepted := append([]acceptance(nil), r.accepted...)
	r.mu.Unlock()
	for _, d := range r.runningDaemons() {
		revision, _, _ := d.docs.InForce()
		d.mu.Lock()
		last := d.maxRevision
		d.maxRevision = max(d.maxRevision, revision)
		d.mu.Unlock()
		if revision < last {
			r.recordViolation("document: %s returned from revision %d to %d", d.vm, last, revision)
		}
		if d.isPaused() || d.isPartitioned() {
			continue
		}
		for _, a := range accepted {
			due := latest(a.at, d.started, r.injector.lastFaultEnd()).Add(inForceTimeout)
			if revision < a.revision && time.Now().After(due) {
				r.recordViolation("document: revision %d is not in force at %s, which has %d", a.revision, d.vm, revision)
			}
		}
	}
}

// latest returns the latest of times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// missingNames returns the declared models and adapters of which no engine
// holds any version.
func (r *rig) missingNames() []string {
	held := make(map[string]bool)
	for _, e := range r.engines {
		for _, s := range e.Books().Resident {
			name, _, _ := strings.Cut(s, "@")
			held[name] = true
		}
	}
	var missing []string
	for _, m := range r.deployment.Document(1).Models {
		if !held[m.Name] {
			missing = append(missing, m.Name)
		}
		for _, a := range m.Adapters {
			if !held[m.Name+"/"+a.Name] {
				missing = append(missing, a.Name)
			}
		}
	}
	return missing
}

// awaitReachable waits until engines hold all declared models and adapters, and
// reports whether this happened within timeout.
func (r *rig) awaitReachable(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if len(r.missingNames()) == 0 {
			return true
		}
		sleep(r.ctx, sampleInterval)
	}
	return false
}

// checkFinalState stops the fault injection, waits until the faults have ended,
// and checks the invariants that must hold afterwards.
func (r *rig) checkFinalState() {
	if injected := r.injector.disarm(); injected < len(r.cell.Faults) {
		r.recordViolation("idle: only %d of %d faults were injected", injected, len(r.cell.Faults))
	}
	if rest := time.Until(r.injector.lastFaultEnd()); rest > 0 {
		time.Sleep(rest)
	}
	time.Sleep(inForceTimeout + time.Second)
	r.clients.Wait()
	r.checkRevisions()
	r.checkAnswers()
}

// checkAnswers checks that each model and adapter answers through each daemon
// that the balancer uses.
func (r *rig) checkAnswers() {
	doc := r.deployment.Document(1)
	var names []string
	for _, m := range doc.Models {
		names = append(names, m.Name)
		for _, a := range m.Adapters {
			names = append(names, a.Name)
		}
	}
	deadline := time.Now().Add(reachableTimeout)
	for _, d := range r.balancerTargets() {
		for _, name := range names {
			if a := r.answerThrough(d, name, deadline); !a.Whole && !d.isStopped() {
				r.recordViolation("reachable: %s does not answer through %s: %v %v", name, d.vm, a.Code, a.Err)
			}
		}
	}
}

// answerThrough sends requests for a model or adapter to a daemon until one is
// answered in full, the daemon has stopped, or the deadline has passed. It
// returns the last answer.
func (r *rig) answerThrough(d *daemon, name string, deadline time.Time) caller.Answer {
	var a caller.Answer
	for n := 0; n == 0 || time.Now().Before(deadline); n++ {
		g := caller.Generation{
			Key: deploy.Key(deploy.CallerUrgent), Model: name, MaxTokens: 2,
			Prompt: fmt.Sprintf("last %s %s %d", name, d.vm, n),
		}
		a = r.client.Generate(r.ctx, d.vm, g)
		r.judge.Generation(g, a)
		if a.Whole || d.isStopped() {
			return a
		}
		sleep(r.ctx, retryInterval)
	}
	return a
}

// batchLine is one line of a batch's result.
type batchLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		Body struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
}

// checkBatch checks that a batch's result has an answer for each request, and
// that each answer is complete and belongs to its request.
func (r *rig) checkBatch(model, result string, prompts map[string]string) {
	slots := r.judge.Slots(model)
	decoder := json.NewDecoder(strings.NewReader(result))
	seen := 0
	for decoder.More() {
		var l batchLine
		if err := decoder.Decode(&l); err != nil {
			r.recordViolation("batch: result: %v", err)
			return
		}
		seen++
		if l.Response == nil || len(l.Response.Body.Choices) != 1 ||
			!engsim.Matches(l.Response.Body.Choices[0].Text, prompts[l.CustomID], 10, slots...) {
			r.recordViolation("answer: batch item %s has a wrong answer", l.CustomID)
		}
	}
	if seen != len(prompts) {
		r.recordViolation("batch: %d of %d requests have a result", seen, len(prompts))
	}
}

// Executed implements judge.BooksProvider.
func (r *rig) Executed(call string) int { return r.services.books.Executions(call) }

// Runs implements judge.BooksProvider.
func (r *rig) Runs(prompt string) int {
	n := 0
	for _, e := range r.engines {
		n += e.Books().Runs[prompt]
	}
	return n
}

// collectViolations adds the violations that show in the records of the
// stand-ins and in the answers to the callers, and returns all violations.
func (r *rig) collectViolations() []string {
	verdict := r.judge.Verdict(r)
	for _, e := range r.engines {
		for _, o := range e.Books().Overcommits {
			r.recordViolation("memory: %s used %d MB and needed %d MB more, of %d MB in total, to load %s", o.VM, o.UsedMB, o.LoadMB, o.MemoryMB, o.Slot)
		}
	}
	for call, n := range r.services.books.All() {
		if n > 1 && strings.HasPrefix(call, "once-") {
			r.recordViolation("once: call %s ran %d times", call, n)
		}
	}
	if verdict.WrongAnswers > 0 || verdict.Lost > 0 || verdict.NotRunButRan > 0 {
		r.recordViolation("answer: %d wrong, %d lost, %d ran although reported as not run: %v", verdict.WrongAnswers, verdict.Lost, verdict.NotRunButRan, verdict.Notes)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// Outcome is the result of a cell.
type Outcome struct {
	// Violations lists the invariants that did not hold.
	Violations []string
	// Trace lists the events of the cell in order, one per line.
	Trace []string
}

// Run runs a cell. It must be called in fake time, inside a testing/synctest
// bubble.
func Run(t contextProvider, c Cell, seed uint64) Outcome {
	r := newRig(t.Context(), c, seed)
	r.runScenario()
	violations := r.collectViolations()
	r.stop()
	return Outcome{Violations: violations, Trace: r.trace.sortedLines()}
}
