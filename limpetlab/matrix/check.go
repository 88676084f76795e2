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

// Bounds of the checkers.
const (
	setupTime = 3 * time.Minute
	// forceTime is the time within which an accepted document is in force
	// everywhere, counted from the end of the last fault.
	forceTime = 4 * time.Second
	// reachTime is the time within which every model answers after the end
	// of the last fault.
	reachTime   = 2 * time.Minute
	samplePause = 250 * time.Millisecond
)

// watch samples what must hold at every moment until the rig ends.
func (r *rig) watch() {
	for r.ctx.Err() == nil {
		r.checkForce()
		if r.complete() {
			if missing := r.missing(); len(missing) > 0 {
				r.violate("reachable: no engine holds %v", missing)
			}
		}
		sleep(r.ctx, samplePause)
	}
}

// checkForce checks that no daemon goes back to an older document, and that an
// accepted one is in force everywhere in time.
func (r *rig) checkForce() {
	r.mu.Lock()
	accepted := append([]acceptance(nil), r.accepted...)
	r.mu.Unlock()
	for _, d := range r.live() {
		revision, _, _ := d.docs.InForce()
		d.mu.Lock()
		last := d.revision
		d.revision = max(d.revision, revision)
		d.mu.Unlock()
		if revision < last {
			r.violate("document: %s went back from revision %d to %d", d.vm, last, revision)
		}
		if d.isPaused() || d.cut() {
			continue
		}
		for _, a := range accepted {
			due := latest(a.at, d.started, r.trap.over()).Add(forceTime)
			if revision < a.revision && time.Now().After(due) {
				r.violate("document: revision %d is not in force at %s, which has %d", a.revision, d.vm, revision)
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

// missing returns the declared models and adapters that no engine holds in any
// version.
func (r *rig) missing() []string {
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

// awaitReachable waits until engines hold all that is declared.
func (r *rig) awaitReachable(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if len(r.missing()) == 0 {
			return true
		}
		sleep(r.ctx, samplePause)
	}
	return false
}

// settle ends the faults and checks what must hold in the end.
func (r *rig) settle() {
	if struck := r.trap.disarm(); struck < len(r.cell.Faults) {
		r.violate("idle: only %d of %d faults struck", struck, len(r.cell.Faults))
	}
	if rest := time.Until(r.trap.over()); rest > 0 {
		time.Sleep(rest)
	}
	time.Sleep(forceTime + time.Second)
	r.outside.Wait()
	r.checkForce()
	r.checkAnswers()
}

// checkAnswers checks that each model and adapter answers through each daemon.
func (r *rig) checkAnswers() {
	doc := r.deployment.Document(1)
	var names []string
	for _, m := range doc.Models {
		names = append(names, m.Name)
		for _, a := range m.Adapters {
			names = append(names, a.Name)
		}
	}
	end := time.Now().Add(reachTime)
	for _, d := range r.front() {
		for _, name := range names {
			if a := r.answersBy(d, name, end); !a.Whole && !d.dead() {
				r.violate("reachable: %s does not answer through %s: %v %v", name, d.vm, a.Code, a.Err)
			}
		}
	}
}

// answersBy asks a daemon for a name until it answers or the time is over.
func (r *rig) answersBy(d *daemon, name string, end time.Time) caller.Answer {
	var a caller.Answer
	for n := 0; n == 0 || time.Now().Before(end); n++ {
		g := caller.Generation{
			Key: deploy.Key(deploy.CallerUrgent), Model: name, MaxTokens: 2,
			Prompt: fmt.Sprintf("last %s %s %d", name, d.vm, n),
		}
		a = r.client.Generate(r.ctx, d.vm, g)
		r.judge.Generation(g, a)
		if a.Whole || d.dead() {
			return a
		}
		sleep(r.ctx, operatePause)
	}
	return a
}

// batchLine is a line of a batch's result.
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

// checkBatch checks that each answer of a batch is whole and its own.
func (r *rig) checkBatch(model, result string, prompts map[string]string) {
	slots := r.judge.Slots(model)
	decoder := json.NewDecoder(strings.NewReader(result))
	seen := 0
	for decoder.More() {
		var l batchLine
		if err := decoder.Decode(&l); err != nil {
			r.violate("batch: result: %v", err)
			return
		}
		seen++
		if l.Response == nil || len(l.Response.Body.Choices) != 1 ||
			!engsim.Matches(l.Response.Body.Choices[0].Text, prompts[l.CustomID], 10, slots...) {
			r.violate("answer: batch item %s has a wrong answer", l.CustomID)
		}
	}
	if seen != len(prompts) {
		r.violate("batch: %d of %d requests have a result", seen, len(prompts))
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

// verdict adds what the books and the callers tell to the violations.
func (r *rig) verdict() []string {
	v := r.judge.Verdict(r)
	for _, e := range r.engines {
		for _, o := range e.Books().Overcommits {
			r.violate("memory: %s would hold %d and %d of %d MB with %s", o.VM, o.UsedMB, o.LoadMB, o.MemoryMB, o.Slot)
		}
	}
	for call, n := range r.services.books.All() {
		if n > 1 && strings.HasPrefix(call, "once-") {
			r.violate("once: %s ran %d times", call, n)
		}
	}
	if v.WrongAnswers > 0 || v.Lost > 0 || v.NotRunButRan > 0 {
		r.violate("answer: %d wrong, %d lost, %d told not run that ran: %v", v.WrongAnswers, v.Lost, v.NotRunButRan, v.Notes)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// Outcome is what a cell gave.
type Outcome struct {
	// Violations are the promises that did not hold.
	Violations []string
	// Trace is what happened, a line for each event, in order.
	Trace []string
}

// Run runs a cell. It must run in fake time.
func Run(t contextProvider, c Cell, seed uint64) Outcome {
	r := newRig(t.Context(), c, seed)
	r.script()
	violations := r.verdict()
	r.end()
	return Outcome{Violations: violations, Trace: r.trace.sorted()}
}
