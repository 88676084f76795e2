//go:build !race

package sched_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// loadClass is a kind of call of a mix.
type loadClass struct {
	name                string
	perSecond           float64
	tokens              int
	objective, deadline time.Duration
	value, late         float64
	priority            int
}

// The mixes of docs/hard_load.md, without the calls of plain servers. The prompts of quick replies are the shortest ones.
var loadMixes = map[string][]loadClass{
	"kereste": {
		{"lot-summary", 182, 1200, 500 * time.Millisecond, 15 * time.Second, 1.6, 0.16, 1},
		{"night-summary", 36, 1460, 20 * time.Second, 30 * time.Second, 0.8, 0.12, 2},
		{"quick-reply", 110, 650, 400 * time.Millisecond, 8 * time.Second, 2.2, 0.09, 0},
	},
	"kervan": {
		{"script-next", 255, 1200, 400 * time.Millisecond, 12 * time.Second, 1.4, 0.14, 1},
		{"call-summary", 35, 1460, 6 * time.Second, 25 * time.Second, 2.8, 0.28, 2},
		{"quick-reply", 159, 491, 400 * time.Millisecond, 6 * time.Second, 2, 0.2, 0},
	},
}

const (
	loadEngines = 6
	loadTime    = 12 * time.Second
	// loadShare is the part of an engine's time in which it prefills prompts at capacity; the rest is decoding.
	loadShare  = 0.85
	loadEvents = 12
	loadTries  = 4
	// loadWarmUp is the time at the start in which demand is at most 0.6 times the capacity. Its calls do not count.
	loadWarmUp = 3 * time.Second
	loadPause  = 300 * time.Millisecond
)

// loadCall is a call of a simulated caller over all of its tries.
type loadCall struct {
	class         *loadClass
	route         *layout.Route
	tokens, tries int
	arrived       time.Time
	from          int
	// hasty is whether the caller ignores the time to return.
	hasty bool
	// first is when the first event came; paused is whether the stream paused for too long.
	first  time.Time
	paused bool
	// waited is the longest time that a try waited for its verdict.
	waited time.Duration
}

func (c *loadCall) deadline() time.Time { return c.arrived.Add(c.class.deadline) }

func (c *loadCall) onTime() bool {
	return !c.first.IsZero() && !c.paused && c.first.Sub(c.arrived) <= c.class.objective
}

func (c *loadCall) value() float64 {
	switch {
	case c.onTime():
		return c.class.value
	case c.first.IsZero():
		return 0
	}
	return c.class.late
}

// loadTry is one try of a call at a daemon, or its prompt and stream at an engine.
type loadTry struct {
	*loadCall
	call     *sched.Call
	at, sent time.Time
	to       string
	alone    bool
	// waits is whether the try has begun to wait.
	waits       bool
	left, steps int
	lastEvent   time.Time
}

// loadEngine prefills prompts in chunks between the decoding steps of its streams.
type loadEngine struct {
	id      string
	pace    float64
	prompts []*loadTry
	streams []*loadTry
	next    time.Time
}

// run advances the engine to now.
func (e *loadEngine) run(now time.Time, started, ended func(*loadTry, time.Time)) {
	for !e.next.After(now) {
		chunk := 0
		var done []*loadTry
		for len(e.prompts) > 0 && chunk < chunkTokens {
			p := e.prompts[0]
			n := min(p.left, chunkTokens-chunk)
			p.left, chunk = p.left-n, chunk+n
			if p.left == 0 {
				done, e.prompts = append(done, p), e.prompts[1:]
			}
		}
		took := stepTime + time.Duration(chunk)*time.Millisecond/tokensPerMS
		e.next = e.next.Add(time.Duration(float64(took) / e.pace))
		e.streams = slices.DeleteFunc(e.streams, func(s *loadTry) bool {
			if s.steps++; s.steps%stepsPerEvent > 0 {
				return false
			}
			s.paused = s.paused || e.next.Sub(s.lastEvent) > loadPause
			s.lastEvent = e.next
			if s.steps < loadEvents*stepsPerEvent {
				return false
			}
			ended(s, e.next)
			return true
		})
		for _, p := range done {
			p.lastEvent = e.next
			started(p, e.next)
			e.streams = append(e.streams, p)
		}
	}
}

// loadRun is a play of a mix. hasty is the part of the callers that return at once when they are refused.
type loadRun struct {
	mix     string
	daemons int
	uneven  bool
	// reports is whether engines report their pace.
	reports bool
	demand  float64
	hasty   float64
	// calls are the calls that were played, by arrival.
	calls []*loadCall
	// capacity is the number of tokens that all engines prefill per second.
	capacity float64
	refused  int
	// asks is the number of requests to the lease holder.
	asks int
}

func (r *loadRun) String() string {
	engines := "even"
	if r.uneven {
		engines = "uneven"
	}
	if r.reports {
		engines += "-reported"
	}
	return fmt.Sprintf("%s-%d-%s-%.1f", r.mix, r.daemons, engines, r.demand)
}

// figure returns the pace that an engine reports, in percent of the usual time; 0 if it reports none.
func (r *loadRun) figure(e *loadEngine) int {
	if !r.reports {
		return 0
	}
	return int(math.Round(100 / e.pace))
}

// arrivals returns the calls of the mix at the run's part of the engines' capacity.
func (r *loadRun) arrivals(random *rand.Rand) []*loadCall {
	work, calls := 0.0, []*loadCall{}
	for _, c := range loadMixes[r.mix] {
		work += c.perSecond * float64(c.tokens)
	}
	for i := range loadMixes[r.mix] {
		c := &loadMixes[r.mix][i]
		route := &layout.Route{Kind: layout.Stream, MaxAttempts: 2, Expectation: c.objective, MaxPause: loadPause, Priority: c.priority, AbandonAfter: max(2*time.Second, 4*c.objective), Timeout: c.deadline}
		rate := c.perSecond * r.demand * r.capacity / work
		for at := random.ExpFloat64() / rate; at < (loadTime + loadWarmUp).Seconds(); at += random.ExpFloat64() / rate {
			if at < loadWarmUp.Seconds() && random.Float64() > 0.6/r.demand {
				continue
			}
			calls = append(calls, &loadCall{
				class: c, route: route, tokens: c.tokens/2 + random.IntN(c.tokens), from: random.IntN(r.daemons),
				arrived: start.Add(time.Duration(at * float64(time.Second))), hasty: random.Float64() < r.hasty,
			})
		}
	}
	slices.SortFunc(calls, func(a, b *loadCall) int { return a.arrived.Compare(b.arrived) })
	return calls
}

// play simulates the run. The first Balancer is that of the lease holder. All daemons know the load of 100 ms ago.
func (r *loadRun) play(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var servers []*layout.Server
	engines := map[string]*loadEngine{}
	var order []*loadEngine
	for i := range loadEngines {
		s := engine(fmt.Sprint("e", i), "m")
		pace := 1.0
		if r.uneven {
			pace = []float64{0.6, 1, 1.6}[i%3]
		}
		servers, engines[s.ID] = append(servers, s), &loadEngine{id: s.ID, pace: pace, next: start}
		order = append(order, engines[s.ID])
		r.capacity += pace * tokensPerMS * 1000 * loadShare
	}
	b := make([]*sched.Balancer, r.daemons)
	for i := range b {
		b[i] = newBalancer(servers...)
		b[i].SetDaemons(r.daemons, i, start)
	}
	requirements := sched.Requirements{ShortestExpectation: 400 * time.Millisecond}
	r.calls = r.arrivals(random)
	newTry := func(c *loadCall, now time.Time) *loadTry {
		c.tries++
		return &loadTry{loadCall: c, at: now, left: c.tokens, call: &sched.Call{Route: c.route, Service: "llm", Model: "m", PromptTokens: c.tokens, Arrived: now, Deadline: c.deadline()}}
	}
	upcoming := r.calls
	r.calls = slices.DeleteFunc(slices.Clone(r.calls), func(c *loadCall) bool { return c.arrived.Before(start.Add(loadWarmUp)) })
	var waiting []*loadTry
	var shared map[string]sched.ServerLoad
	started := func(p *loadTry, at time.Time) {
		if p.first.IsZero() && at.Sub(p.call.Arrived) <= p.route.AbandonAfter && at.Before(p.deadline()) {
			p.first = at
		}
		b[p.from].RecordFirstEvent(p.to, p.call, 1, p.sent, at)
		if p.alone {
			b[0].RecordSample(sched.Sample{Service: "llm", Model: "m", Tokens: p.tokens, Took: at.Sub(p.sent), Server: p.to, Pace: r.figure(engines[p.to])}, at)
		}
	}
	ended := func(p *loadTry, at time.Time) {
		b[p.from].RecordResult(p.to, p.call, sched.Answered, true, at)
		paused := 0
		if p.paused {
			paused = 1
		}
		b[0].RecordStreams("llm", 1, paused)
	}
	for now := start; now.Before(start.Add(loadWarmUp + loadTime + 10*time.Second)); now = now.Add(time.Millisecond) {
		if now.Sub(start)%(100*time.Millisecond) == 0 {
			next := map[string]sched.ServerLoad{}
			for _, one := range b {
				for id, l := range one.OwnLoad(now) {
					sum := next[id]
					next[id] = sched.ServerLoad{Calls: sum.Calls + l.Calls, Pending: sum.Pending + l.Pending, PauseMS: max(sum.PauseMS, l.PauseMS)}
				}
				one.SetSharedLoad(shared, now)
			}
			shared = next
		}
		for ; len(upcoming) > 0 && !upcoming[0].arrived.After(now); upcoming = upcoming[1:] {
			waiting = append(waiting, newTry(upcoming[0], now))
		}
		rest := waiting[:0:0]
		for _, w := range waiting {
			if w.at.After(now) {
				rest = append(rest, w)
				continue
			}
			d := b[w.from]
			if w.to == "" {
				ask := d.NewReservationRequest(w.call, requirements, now)
				r.asks++
				g := b[0].Reserve(&ask, now)
				w.waited = max(w.waited, now.Sub(w.call.Arrived))
				if g.Verdict != sched.Chosen {
					if (w.waits || d.WorthWaiting(w.call, 0, now) || sched.HasCapacityInTime(g, w.call, now)) && sched.WaitsForReservation(w.call, requirements) && now.Add(g.Delay).Before(sched.WaitUntil(w.call)) {
						w.at, w.waits = now.Add(g.Delay), true
						rest = append(rest, w)
						continue
					}
					r.refused++
					after := min(d.ChoiceWhenRefused(g, w.call, now).RetryAfter, w.deadline().Sub(now)/3)
					if w.hasty {
						after = 10 * time.Millisecond
					}
					if w.tries < loadTries && now.Add(after).Before(w.deadline()) {
						rest = append(rest, newTry(w.loadCall, now.Add(after)))
					}
					continue
				}
				w.to, w.alone = g.Server, g.Exclusive
				if g.Delay > 0 {
					w.at = now.Add(g.Delay)
					rest = append(rest, w)
					continue
				}
			}
			w.sent = now
			d.RecordSend(w.to, w.call, now)
			engines[w.to].prompts = append(engines[w.to].prompts, w)
		}
		waiting = rest
		for _, e := range order {
			e.run(now, started, ended)
		}
	}
}
