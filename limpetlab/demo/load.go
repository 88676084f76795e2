package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// Composition of the load.
const (
	// onceShare and statusShare are the shares of at-most-once calls and of
	// repeatable calls among all requests; the rest are generations.
	onceShare   = 0.15
	statusShare = 0.10
	// repeatShare is the share of at-most-once calls that the caller sends a
	// second time without waiting for the answer.
	repeatShare = 0.3
	// chatShare and streamShare are the shares of generations that use the chat
	// API and that stream the answer.
	chatShare   = 0.3
	streamShare = 0.6
	// urgentShare and deferredShare are the shares of these priorities; the
	// rest has normal priority.
	urgentShare   = 0.5
	deferredShare = 0.15
	// A generation asks for at least minTokens tokens and fewer than
	// minTokens+extraTokens.
	minTokens   = 8
	extraTokens = 40
	// zipfExponent is the exponent of the Zipf distribution of the generations
	// over the models.
	zipfExponent = 1.1
	// At the end of each burstPeriod there is a burst of burstDuration, in which
	// burstShare of the generations go to one model.
	burstPeriod   = 5 * time.Second
	burstDuration = 1500 * time.Millisecond
	burstShare    = 0.5
	// maxAttempts is how often a caller sends a request at most when the
	// connection breaks.
	maxAttempts = 4
)

// request is a request of the load: a call when once or status is set, otherwise
// a generation.
type request struct {
	// at is the time from the start of the load at which the request is sent.
	at    time.Duration
	index int
	seed  uint64
	// once is set for a call that must run at most once, status for a call that
	// may be repeated.
	once     bool
	status   bool
	model    string
	priority string
	key      string
	chat     bool
	stream   bool
	tokens   int
}

// drawRequests draws the requests of the load at random.
func (d *demo) drawRequests(doc *envdoc.Document) []request {
	r := d.rand
	modelRank := rand.NewZipf(r, zipfExponent, 1, uint64(len(doc.Models)-1))
	var requests []request
	for at := time.Duration(0); at < d.config.Duration; {
		req := request{at: at, index: len(requests), seed: r.Uint64()}
		switch kind := r.Float64(); {
		case kind < onceShare:
			req.once = true
		case kind < onceShare+statusShare:
			req.status = true
		default:
			m := doc.Models[modelRank.Uint64()]
			if at%burstPeriod > burstPeriod-burstDuration && r.Float64() < burstShare {
				m = doc.Models[int(at/burstPeriod)%len(doc.Models)]
			}
			req.model = m.Name
			if n := len(m.Adapters); n > 0 && r.Float64() < 0.7 {
				req.model = m.Adapters[r.IntN(n)].Name
			}
			req.chat = r.Float64() < chatShare
			req.stream = r.Float64() < streamShare
			req.tokens = minTokens + r.IntN(extraTokens)
		}
		req.priority, req.key = drawPriority(r)
		requests = append(requests, req)
		at += time.Duration(r.ExpFloat64() / d.config.Rate * float64(time.Second))
	}
	return requests
}

// drawPriority draws a priority and returns it with the key of a caller that may
// use the priority.
func drawPriority(r *rand.Rand) (priority, key string) {
	switch p := r.Float64(); {
	case p < urgentShare:
		return deploy.PriorityUrgent, deploy.CallerKey(deploy.CallerUrgent)
	case p < 1-deferredShare:
		return deploy.PriorityNormal, deploy.CallerKey(deploy.CallerNormal)
	}
	return deploy.PriorityDeferred, deploy.CallerKey(deploy.CallerDeferred)
}

// runLoad sends the requests while faults are injected, and waits for all
// answers.
func (d *demo) runLoad(ctx context.Context) {
	requests := d.drawRequests(d.config.Deployment.Document(1))
	start := time.Now()
	var pending sync.WaitGroup
	pending.Go(func() { d.injectFaults(ctx) })
	stop := make(chan struct{})
	go d.logTally(stop)
	for _, req := range requests {
		time.Sleep(time.Until(start.Add(req.at)))
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, answerTimeout)
			defer cancel()
			d.send(ctx, req)
		})
	}
	pending.Wait()
	close(stop)
}

// logTally periodically logs the tally of the answers until stop is closed.
func (d *demo) logTally(stop <-chan struct{}) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			d.logProgress("%s", d.checker.Progress())
		}
	}
}

// send sends a request and passes the answer to the checker.
func (d *demo) send(ctx context.Context, req request) {
	r := rand.New(rand.NewPCG(req.seed, 0))
	switch {
	case req.once:
		d.callOnce(ctx, r, req)
	case req.status:
		d.callStatus(ctx, r, req)
	default:
		d.generate(ctx, r, req)
	}
}

// sendWithFailover sends a request and, as long as the connection breaks, sends
// the request again through another daemon, up to maxAttempts times in all. name
// identifies the request.
func (d *demo) sendWithFailover(r *rand.Rand, name string, send func(address string) caller.Outcome) caller.Outcome {
	var a caller.Outcome
	var last *fleet.Member
	for range maxAttempts {
		m := d.fleet.Pick(r, last)
		if m == nil {
			return a
		}
		last = m
		a = send(m.Daemon.CallerAddr())
		if !a.Lost() {
			return a
		}
		d.checker.RecordBrokenConnection(name)
	}
	return a
}

// generate sends a generation. Its prompt begins with a prefix that all requests
// for the model share, and ends with the index of the request.
func (d *demo) generate(ctx context.Context, r *rand.Rand, req request) {
	shared := strings.Repeat("context of "+req.model+". ", 40)
	g := caller.Generation{
		Key: req.key, Model: req.model, Prompt: fmt.Sprintf("%srequest %d", shared, req.index),
		Chat: req.chat, Stream: req.stream, MaxTokens: req.tokens, Priority: req.priority,
	}
	a := d.sendWithFailover(r, g.EnginePrompt(), func(address string) caller.Outcome {
		return d.client.Generate(ctx, address, g)
	})
	d.checker.RecordGeneration(g, a)
}

// callOnce makes a call that must run at most once. Some callers do not wait for
// the answer and send the same call a second time, through a daemon that is
// chosen independently.
func (d *demo) callOnce(ctx context.Context, r *rand.Rand, req request) {
	name := fmt.Sprintf("once-%d", req.index)
	call := caller.ServiceCall{
		Key: req.key, Method: "POST", Path: d.config.Deployment.Service + d.config.Deployment.AtMostOncePath,
		IdempotencyKey: name, Body: fmt.Sprintf(`{"call":%q}`, name),
	}
	send := func(address string) caller.Outcome { return d.client.Call(ctx, address, call) }
	var repeats sync.WaitGroup
	if r.Float64() < repeatShare {
		delay := time.Duration(r.IntN(50)) * time.Millisecond
		repeatRand := rand.New(rand.NewPCG(req.seed, 1))
		repeats.Go(func() {
			time.Sleep(delay)
			d.checker.RecordCall(name, d.sendWithFailover(repeatRand, name, send))
		})
	}
	d.checker.RecordCall(name, d.sendWithFailover(r, name, send))
	repeats.Wait()
}

// callStatus makes a call that may be repeated.
func (d *demo) callStatus(ctx context.Context, r *rand.Rand, req request) {
	name := fmt.Sprintf("status-%d", req.index)
	call := caller.ServiceCall{
		Key: req.key, Method: "GET",
		Path: d.config.Deployment.Service + d.config.Deployment.RepeatablePath + "?call=" + name,
	}
	a := d.sendWithFailover(r, name, func(address string) caller.Outcome { return d.client.Call(ctx, address, call) })
	d.checker.RecordCall(name, a)
}
