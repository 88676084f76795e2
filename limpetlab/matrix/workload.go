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

// Times and sizes of the workload.
const (
	loadDuration    = 30 * time.Second
	requestInterval = 400 * time.Millisecond
	onceEvery       = 4 // one in onceEvery requests is a call that must run once
	repeatDelay     = 700 * time.Millisecond
	reviseAt        = 6 * time.Second
	batchAt         = 3 * time.Second
	joinAt          = 10 * time.Second
	leaveAt         = 14 * time.Second
	secondLeaveAt   = 22 * time.Second
	// streamTokens is the length of the stream that a leaving daemon serves.
	// The stream starts streamLead before the daemon begins to leave, and is
	// still in flight when probeLeaving sends its request.
	streamTokens  = 250
	streamLead    = 300 * time.Millisecond
	burstRequests = 40
	maxTries      = 5
	answerTimeout = 90 * time.Second
	batchRequests = 4
	maxBatchTries = 60
)

// runScenario runs the scenario of each cell, from the first document to the
// last check.
func (r *rig) runScenario() {
	r.spawn(r.sampleInvariants)
	if err := r.applyAndPromote(func(*envdoc.Document) {}); err != nil {
		r.recordViolation("document: the first document was not accepted: %v", err)
		return
	}
	if !r.awaitReachable(setupTimeout) {
		r.recordViolation("reachable: no engine holds %v after the first document", r.missingNames())
		return
	}
	r.mu.Lock()
	r.setUp = true
	r.mu.Unlock()
	r.runLoad()
	r.checkFinalState()
}

// runLoad sends requests while a batch runs, a model's version changes, a
// daemon joins and two daemons leave.
func (r *rig) runLoad() {
	start := time.Now()
	r.schedule(batchAt, func() { r.submitBatch() })
	r.schedule(reviseAt, func() {
		err := r.applyAndPromote(func(d *envdoc.Document) { d.Models[1].Version = "2" })
		if err != nil {
			r.recordViolation("document: the second document was not accepted: %v", err)
		}
	})
	r.schedule(joinAt, func() { r.join(dataCentres[1]) })
	for _, at := range []time.Duration{leaveAt, secondLeaveAt} {
		r.schedule(at, func() {
			d := r.randomDaemon()
			r.spawnClient(func() { r.sendStream(d, at) })
			time.Sleep(streamLead)
			r.leave(d)
		})
	}
	for n := 0; time.Since(start) < loadDuration; n++ {
		r.spawnClient(func() {
			if n%onceEvery == 0 {
				r.callOnce(fmt.Sprintf("once-%d", n))
				return
			}
			r.generateFromAnyModel(fmt.Sprintf("request %d", n), 0, nil)
		})
		time.Sleep(requestInterval)
	}
}

// schedule runs f after d.
func (r *rig) schedule(d time.Duration, f func()) {
	r.spawnClient(func() {
		sleep(r.ctx, d)
		r.delayMessage("at", d)
		f()
	})
}

// sendBurst sends many requests for one model at once.
func (r *rig) sendBurst() {
	burst := r.intn(math.MaxInt32)
	for n := range burstRequests {
		r.spawnClient(func() {
			r.delayMessage("burst", n)
			r.generateFromModel(fmt.Sprintf("burst %d %d", burst, n), 0, nil, 0)
		})
	}
}

// sendWithRetry sends a request, first through a given daemon, if any, and then
// through random daemons as long as the connection breaks before an answer. It
// tries at most maxTries times and returns the last answer.
func (r *rig) sendWithRetry(name string, first *daemon, send func(address string) caller.Answer) caller.Answer {
	var a caller.Answer
	for i := range maxTries {
		r.delayMessage("try", name, i)
		d := first
		if d == nil {
			d = r.randomDaemon()
		}
		first = nil
		r.delayMessage("call", name, i)
		a = send(d.vm)
		r.trace.addf("%s answers %q: whole %v, code %v", d.vm, name, a.Whole, a.Code)
		if !a.Lost() {
			return a
		}
		if errors.Is(a.Err, errConnectionBroken) && d.leftGracefully() {
			r.recordViolation("graceful shutdown: %s broke the connection of a request", d.vm)
		}
		r.judge.Broken(name)
		sleep(r.ctx, retryInterval)
	}
	return a
}

// leftGracefully reports whether the daemon closed its listener because it
// left, as opposed to dying.
func (d *daemon) leftGracefully() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listenerClosed
}

// sendStream sends a request for a long stream to a daemon. at is a time of the
// load that makes the prompt unique.
func (r *rig) sendStream(d *daemon, at time.Duration) {
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
	r.judge.Generation(g, r.sendGeneration(g, d))
}

// generateFromAnyModel sends a generation request for a random model or its
// adapter.
func (r *rig) generateFromAnyModel(prompt string, tokens int, first *daemon) {
	r.generateFromModel(prompt, tokens, first, r.intn(modelCount))
}

// generateFromModel sends a generation request for the model with an index, or
// for its adapter. If tokens is 0, their number is random.
func (r *rig) generateFromModel(prompt string, tokens int, first *daemon, model int) {
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
	r.judge.Generation(g, r.sendGeneration(g, first))
}

// sendGeneration sends a generation request and returns its answer.
func (r *rig) sendGeneration(g caller.Generation, first *daemon) caller.Answer {
	ctx, cancel := context.WithTimeout(r.ctx, answerTimeout)
	defer cancel()
	return r.sendWithRetry(g.EnginePrompt(), first, func(address string) caller.Answer {
		return r.client.Generate(ctx, address, g)
	})
}

// callOnce sends a call that must run only once. After repeatDelay it sends the
// same call again through a random daemon.
func (r *rig) callOnce(name string) {
	ctx, cancel := context.WithTimeout(r.ctx, answerTimeout)
	call := caller.Call{
		Key: deploy.Key(deploy.CallerUrgent), Method: http.MethodPost,
		Path: r.deployment.Service + r.deployment.OncePath, Once: name, Body: fmt.Sprintf(`{"call":%q}`, name),
	}
	send := func(address string) caller.Answer { return r.client.Call(ctx, address, call) }
	r.spawnClient(func() {
		defer cancel()
		sleep(ctx, repeatDelay)
		r.judge.Call(name, r.sendWithRetry(name, nil, send))
	})
	r.judge.Call(name, r.sendWithRetry(name, nil, send))
}

// probeLeaving checks that a daemon rejects new work once leaveGrace has
// passed.
func (r *rig) probeLeaving(d *daemon) {
	if d.isStopped() {
		return
	}
	g := caller.Generation{
		Key: deploy.Key(deploy.CallerUrgent), Model: r.deployment.Document(1).Models[0].Name,
		Prompt: "late " + d.vm, MaxTokens: 1,
	}
	a := r.client.Generate(r.ctx, d.vm, g)
	if a.Whole || a.Run == code.RunYes {
		r.recordViolation("leaving: %s accepted new work more than %v after it began to leave", d.vm, leaveGrace)
	}
}

// batchItem is one request of a batch.
type batchItem struct {
	CustomID string          `json:"custom_id"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// submitBatch submits a batch under one idempotency key until it is accepted,
// waits for its result, and checks the result.
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
		r.recordViolation("batch: %v", err)
		return
	}
	id := r.postBatch(string(body))
	if id == "" {
		r.recordViolation("batch: the batch was not accepted")
		return
	}
	result, ok := r.poll("/v1/batches/" + id + "/result")
	if !ok {
		r.recordViolation("batch: %s was accepted but has no result: %s", id, result)
		return
	}
	r.checkBatch(model, result, prompts)
}

// postBatch submits a batch and returns its id, or "" if it was not accepted.
func (r *rig) postBatch(body string) string {
	for range maxBatchTries {
		status, answer := r.callAPI(http.MethodPost, "/v1/batches", body)
		var accepted struct {
			ID string `json:"id"`
		}
		if status == http.StatusAccepted && json.Unmarshal(answer, &accepted) == nil {
			return accepted.ID
		}
		sleep(r.ctx, retryInterval)
	}
	return ""
}

// poll requests a path until the answer has status 200.
func (r *rig) poll(path string) (string, bool) {
	var last string
	for range maxBatchTries {
		status, answer := r.callAPI(http.MethodGet, path, "")
		if status == http.StatusOK {
			return string(answer), true
		}
		last = fmt.Sprintf("status %d: %s", status, answer)
		sleep(r.ctx, 2*retryInterval)
	}
	return last, false
}

// callAPI sends a request to a random daemon. The status is 0 if the connection
// broke.
func (r *rig) callAPI(method, path, body string) (int, []byte) {
	request, err := http.NewRequestWithContext(r.ctx, method, "http://"+r.randomDaemon().vm+path, strings.NewReader(body))
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
