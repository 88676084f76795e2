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

// Shape of the load.
const (
	onceShare     = 0.15
	statusShare   = 0.10
	repeatShare   = 0.3
	chatShare     = 0.3
	streamShare   = 0.6
	urgentShare   = 0.5
	deferredShare = 0.15
	minTokens     = 8
	moreTokens    = 40
	// popularity is the exponent of the models' shares of the requests.
	popularity = 1.1
	// burstEvery and burstFor place bursts on one model.
	burstEvery = 5 * time.Second
	burstFor   = 1500 * time.Millisecond
	burstShare = 0.5
	// tries bounds how often a caller sends a request whose connection broke.
	tries = 4
)

// job is a request of the load.
type job struct {
	at       time.Duration
	index    int
	seed     uint64
	once     bool
	status   bool
	model    string
	priority string
	key      string
	chat     bool
	stream   bool
	tokens   int
}

// plan draws the requests of the load.
func (d *demo) plan(doc *envdoc.Document) []job {
	r := d.rand
	popular := rand.NewZipf(r, popularity, 1, uint64(len(doc.Models)-1))
	var jobs []job
	for at := time.Duration(0); at < d.config.Duration; {
		j := job{at: at, index: len(jobs), seed: r.Uint64()}
		switch kind := r.Float64(); {
		case kind < onceShare:
			j.once = true
		case kind < onceShare+statusShare:
			j.status = true
		default:
			m := doc.Models[popular.Uint64()]
			if at%burstEvery > burstEvery-burstFor && r.Float64() < burstShare {
				m = doc.Models[int(at/burstEvery)%len(doc.Models)]
			}
			j.model = m.Name
			if n := len(m.Adapters); n > 0 && r.Float64() < 0.7 {
				j.model = m.Adapters[r.IntN(n)].Name
			}
			j.chat = r.Float64() < chatShare
			j.stream = r.Float64() < streamShare
			j.tokens = minTokens + r.IntN(moreTokens)
		}
		j.priority, j.key = drawPriority(r)
		jobs = append(jobs, j)
		at += time.Duration(r.ExpFloat64() / d.config.Rate * float64(time.Second))
	}
	return jobs
}

// drawPriority draws a priority and the key of a caller that may ask for it.
func drawPriority(r *rand.Rand) (priority, key string) {
	switch p := r.Float64(); {
	case p < urgentShare:
		return deploy.PriorityUrgent, deploy.Key(deploy.CallerUrgent)
	case p < 1-deferredShare:
		return deploy.PriorityNormal, deploy.Key(deploy.CallerNormal)
	}
	return deploy.PriorityDeferred, deploy.Key(deploy.CallerDeferred)
}

// load sends the requests while the faults go on, and waits for all answers.
func (d *demo) load(ctx context.Context) {
	jobs := d.plan(d.config.Deployment.Document(1))
	start := time.Now()
	var work sync.WaitGroup
	work.Go(func() { d.faults(ctx) })
	stop := make(chan struct{})
	go d.progress(stop)
	for _, j := range jobs {
		time.Sleep(time.Until(start.Add(j.at)))
		work.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, answerTimeout)
			defer cancel()
			d.send(ctx, j)
		})
	}
	work.Wait()
	close(stop)
}

// progress prints how far the load is until stop closes.
func (d *demo) progress(stop <-chan struct{}) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			d.say("%s", d.judge.Line())
		}
	}
}

// send sends one request and notes what became of it.
func (d *demo) send(ctx context.Context, j job) {
	r := rand.New(rand.NewPCG(j.seed, 0))
	switch {
	case j.once:
		d.book(ctx, r, j)
	case j.status:
		d.status(ctx, r, j)
	default:
		d.generate(ctx, r, j)
	}
}

// try sends through one daemon after the other while the connection breaks.
// name tells requests apart.
func (d *demo) try(r *rand.Rand, name string, send func(address string) caller.Answer) caller.Answer {
	var a caller.Answer
	var last *fleet.Member
	for range tries {
		m := d.fleet.Pick(r, last)
		if m == nil {
			return a
		}
		last = m
		a = send(m.Daemon.CallerAddr())
		if !a.Lost() {
			return a
		}
		d.judge.Broken(name)
	}
	return a
}

// generate asks for an answer. The prompt names the request, and begins with a
// text that all requests for the model share.
func (d *demo) generate(ctx context.Context, r *rand.Rand, j job) {
	shared := strings.Repeat("context of "+j.model+". ", 40)
	g := caller.Generation{
		Key: j.key, Model: j.model, Prompt: fmt.Sprintf("%srequest %d", shared, j.index),
		Chat: j.chat, Stream: j.stream, MaxTokens: j.tokens, Priority: j.priority,
	}
	a := d.try(r, g.EnginePrompt(), func(address string) caller.Answer {
		return d.client.Generate(ctx, address, g)
	})
	d.judge.Generation(g, a)
}

// book makes a call that must run at most once. Some callers do not wait for
// the answer and send the same call through another daemon.
func (d *demo) book(ctx context.Context, r *rand.Rand, j job) {
	name := fmt.Sprintf("once-%d", j.index)
	call := caller.Call{
		Key: j.key, Method: "POST", Path: d.config.Deployment.Service + d.config.Deployment.OncePath,
		Once: name, Body: fmt.Sprintf(`{"call":%q}`, name),
	}
	send := func(address string) caller.Answer { return d.client.Call(ctx, address, call) }
	var repeats sync.WaitGroup
	if r.Float64() < repeatShare {
		wait := time.Duration(r.IntN(50)) * time.Millisecond
		other := rand.New(rand.NewPCG(j.seed, 1))
		repeats.Go(func() {
			time.Sleep(wait)
			d.judge.Call(name, d.try(other, name, send))
		})
	}
	d.judge.Call(name, d.try(r, name, send))
	repeats.Wait()
}

// status makes a call that may be repeated.
func (d *demo) status(ctx context.Context, r *rand.Rand, j job) {
	name := fmt.Sprintf("status-%d", j.index)
	call := caller.Call{
		Key: j.key, Method: "GET",
		Path: d.config.Deployment.Service + d.config.Deployment.StatusPath + "?call=" + name,
	}
	a := d.try(r, name, func(address string) caller.Answer { return d.client.Call(ctx, address, call) })
	d.judge.Call(name, a)
}
