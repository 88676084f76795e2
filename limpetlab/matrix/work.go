package matrix

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
)

// Times and sizes of the work.
const (
	workTime       = 30 * time.Second
	generatePeriod = 400 * time.Millisecond
	onceQuarter    = 4
	repeatAfter    = 700 * time.Millisecond
	reviseAt       = 6 * time.Second
	batchAt        = 3 * time.Second
	joinAt         = 10 * time.Second
	leaveAt        = 14 * time.Second
	leaveAgainAt   = 22 * time.Second
	// streamTokens is the length of the stream of a daemon that leaves, which
	// begins streamLead before: it outlasts the probe for new work.
	streamTokens  = 250
	streamLead    = 300 * time.Millisecond
	burstRequests = 40
	tries         = 5
	answerTime    = 90 * time.Second
	batchRequests = 4
	batchTries    = 60
)

// script is the work of each cell, from the first document to the last check.
func (r *rig) script() {
	r.spawn(r.watch)
	if err := r.operate(func(*envdoc.Document) {}); err != nil {
		r.violate("document: the first one was not accepted: %v", err)
		return
	}
	if !r.awaitReachable(setupTime) {
		r.violate("reachable: after the first document %v is missing", r.missing())
		return
	}
	r.mu.Lock()
	r.ready = true
	r.mu.Unlock()
	r.load()
	r.settle()
}

// load sends requests while a version changes, a daemon joins and one leaves.
func (r *rig) load() {
	begin := time.Now()
	r.at(batchAt, func() { r.submitBatch() })
	r.at(reviseAt, func() {
		err := r.operate(func(d *envdoc.Document) { d.Models[1].Version = "2" })
		if err != nil {
			r.violate("document: the second one was not accepted: %v", err)
		}
	})
	r.at(joinAt, func() { r.join(dataCentres[1]) })
	for _, at := range []time.Duration{leaveAt, leaveAgainAt} {
		r.at(at, func() {
			d := r.someDaemon()
			r.visit(func() { r.stream(d, at) })
			time.Sleep(streamLead)
			r.leave(d)
		})
	}
	for n := 0; time.Since(begin) < workTime; n++ {
		r.visit(func() {
			if n%onceQuarter == 0 {
				r.book(fmt.Sprintf("once-%d", n))
				return
			}
			r.generate(fmt.Sprintf("request %d", n), 0, nil)
		})
		time.Sleep(generatePeriod)
	}
}

// at runs f at a time of the load.
func (r *rig) at(d time.Duration, f func()) {
	r.visit(func() {
		sleep(r.ctx, d)
		r.lag("at", d)
		f()
	})
}

// burst lets the demand for one model jump.
func (r *rig) burst() {
	burst := r.intn(math.MaxInt32)
	for n := range burstRequests {
		r.visit(func() {
			r.lag("burst", n)
			r.generateFrom(fmt.Sprintf("burst %d %d", burst, n), 0, nil, 0)
		})
	}
}

// try sends a request through one daemon after the other while the connection
// breaks, first through a given one.
func (r *rig) try(name string, first *daemon, send func(address string) caller.Answer) caller.Answer {
	var a caller.Answer
	for i := range tries {
		r.lag("try", name, i)
		d := first
		if d == nil {
			d = r.someDaemon()
		}
		first = nil
		r.lag("call", name, i)
		a = send(d.vm)
		r.trace.note("%s answers %q: whole %v, code %v", d.vm, name, a.Whole, a.Code)
		if !a.Lost() {
			return a
		}
		if errors.Is(a.Err, errCut) && d.graceful() {
			r.violate("graceful shutdown: %s cut off a request", d.vm)
		}
		r.judge.Broken(name)
		sleep(r.ctx, operatePause)
	}
	return a
}

// graceful tells whether the daemon left by itself.
func (d *daemon) graceful() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.left
}

// stream asks a daemon for a long answer, at a time of the load.
func (r *rig) stream(d *daemon, at time.Duration) {
	m := r.deployment.Document(1).Models[0]
	g := caller.Generation{
		Key: deploy.Key(deploy.CallerUrgent), Model: m.Name, Stream: true,
		MaxTokens: streamTokens, Priority: deploy.PriorityNormal,
	}
	slot := envdoc.Slot{Model: m.Name, Version: m.Version}
	for n := 0; ; n++ {
		g.Prompt = fmt.Sprintf("stream at %v, %d", at, n)
		if _, tokens := engsim.Answer(slot, g.Prompt, streamTokens); tokens == streamTokens {
			break
		}
	}
	r.judge.Generation(g, r.ask(g, d))
}

// generate asks for an answer of some model.
func (r *rig) generate(prompt string, tokens int, first *daemon) {
	r.generateFrom(prompt, tokens, first, r.intn(models))
}

// generateFrom asks for an answer of the model with an index, or its adapter.
func (r *rig) generateFrom(prompt string, tokens int, first *daemon, model int) {
	doc := r.deployment.Document(1)
	name := doc.Models[model].Name
	if r.intn(2) == 0 {
		name = doc.Models[model].Adapters[0].Name
	}
	if tokens == 0 {
		tokens = 4 + r.intn(30)
	}
	g := caller.Generation{
		Key: deploy.Key(deploy.CallerUrgent), Model: name, Prompt: prompt,
		Stream: r.intn(2) == 0, MaxTokens: tokens, Priority: deploy.PriorityNormal,
	}
	r.judge.Generation(g, r.ask(g, first))
}

// ask sends a generation.
func (r *rig) ask(g caller.Generation, first *daemon) caller.Answer {
	ctx, cancel := context.WithTimeout(r.ctx, answerTime)
	defer cancel()
	return r.try(g.EnginePrompt(), first, func(address string) caller.Answer {
		return r.client.Generate(ctx, address, g)
	})
}

// book makes a call that must run once, and sends it again soon through another
// daemon.
func (r *rig) book(name string) {
	ctx, cancel := context.WithTimeout(r.ctx, answerTime)
	call := caller.Call{
		Key: deploy.Key(deploy.CallerUrgent), Method: http.MethodPost,
		Path: r.deployment.Service + r.deployment.OncePath, Once: name, Body: fmt.Sprintf(`{"call":%q}`, name),
	}
	send := func(address string) caller.Answer { return r.client.Call(ctx, address, call) }
	r.visit(func() {
		defer cancel()
		sleep(ctx, repeatAfter)
		r.judge.Call(name, r.try(name, nil, send))
	})
	r.judge.Call(name, r.try(name, nil, send))
}

// probeLeaving checks that a daemon takes no new work after its grace.
func (r *rig) probeLeaving(d *daemon) {
	if d.dead() {
		return
	}
	g := caller.Generation{
		Key: deploy.Key(deploy.CallerUrgent), Model: r.deployment.Document(1).Models[0].Name,
		Prompt: "late " + d.vm, MaxTokens: 1,
	}
	a := r.client.Generate(r.ctx, d.vm, g)
	if a.Whole || a.Run == code.RunYes {
		r.violate("leaving: %s took new work %v after it began to leave", d.vm, leaveGrace)
	}
}

// batchItem is a request of a batch.
type batchItem struct {
	CustomID string          `json:"custom_id"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// submitBatch hands a batch in, under its key until it is accepted, and waits
// for its result.
func (r *rig) submitBatch() {
	var items []batchItem
	prompts := make(map[string]string)
	model := r.deployment.Document(1).Models[0].Name
	for i := range batchRequests {
		id := fmt.Sprintf("item-%d", i)
		prompts[id] = "batch " + id
		items = append(items, batchItem{
			CustomID: id, URL: "/v1/completions",
			Body: json.RawMessage(fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":10}`, model, prompts[id])),
		})
	}
	body, err := json.Marshal(struct {
		Requests []batchItem `json:"requests"`
	}{items})
	if err != nil {
		r.violate("batch: %v", err)
		return
	}
	id := r.postBatch(string(body))
	if id == "" {
		r.violate("batch: not accepted")
		return
	}
	result, ok := r.poll("/v1/batches/" + id + "/result")
	if !ok {
		r.violate("batch: %s was accepted and has no result: %s", id, result)
		return
	}
	r.checkBatch(model, result, prompts)
}

// postBatch returns the id of the accepted batch.
func (r *rig) postBatch(body string) string {
	for range batchTries {
		status, answer := r.http(http.MethodPost, "/v1/batches", body)
		var accepted struct {
			ID string `json:"id"`
		}
		if status == http.StatusAccepted && json.Unmarshal(answer, &accepted) == nil {
			return accepted.ID
		}
		sleep(r.ctx, operatePause)
	}
	return ""
}

// poll gets a path until it answers with 200.
func (r *rig) poll(path string) (string, bool) {
	var last string
	for range batchTries {
		status, answer := r.http(http.MethodGet, path, "")
		if status == http.StatusOK {
			return string(answer), true
		}
		last = fmt.Sprintf("status %d: %s", status, answer)
		sleep(r.ctx, 2*operatePause)
	}
	return last, false
}

// http makes a call to some daemon; status 0 when the connection broke.
func (r *rig) http(method, path, body string) (int, []byte) {
	request, err := http.NewRequestWithContext(r.ctx, method, "http://"+r.someDaemon().vm+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Authorization", "Bearer "+deploy.Key(deploy.CallerDeferred))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", "batch-1")
	response, err := r.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
