package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/sched"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

var start = time.Unix(1000, 0)

func engine(id string, models ...string) *layout.Server {
	held := map[string]layout.HeldModel{}
	for _, m := range models {
		held[m] = layout.HeldModel{}
	}
	return &layout.Server{ID: id, Service: "llm", Address: id, DataCentre: "a", Slots: 64, Models: held}
}

func newBalancer(servers ...*layout.Server) *sched.Balancer {
	b := sched.NewBalancer(sched.Settings{DataCentre: "a", RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second, OrderByValue: true}, random.Seeded(1, "sched"))
	b.SetServers(servers)
	return b
}

func route() *layout.Route {
	return &layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, Expectation: 600 * time.Millisecond,
		MaxPause: 300 * time.Millisecond, AbandonAfter: 2400 * time.Millisecond}
}

func call(model string) *sched.Call {
	return &sched.Call{Route: route(), Service: "llm", Model: model, Arrived: start, Deadline: start.Add(15 * time.Second)}
}

func TestChooseRequiresLoadedModel(t *testing.T) {
	b := newBalancer(engine("e1", "m1"), engine("e2", "m2"))
	c := b.Choose(call("m2"), start)
	require.Equal(t, sched.Chosen, c.Verdict)
	require.Equal(t, "e2", c.Server.ID)
	require.Equal(t, sched.NotLoaded, b.Choose(call("m3"), start).Verdict)
	require.Equal(t, sched.NoServer, b.Choose(&sched.Call{Route: route(), Service: "other", Deadline: start}, start).Verdict)
}

func TestChooseSkipsDrainingTriedAndUnloadingServers(t *testing.T) {
	draining := engine("e1", "m")
	draining.State = layout.Draining
	b := newBalancer(draining, engine("e2", "m"), engine("e3", "m"), engine("e4", "m"))
	b.SetAdapters(nil, map[string]map[string]bool{"e3": {"m": true}})
	c := call("m")
	c.Tried = []string{"e2"}
	for range 20 {
		require.Equal(t, "e4", b.Choose(c, start).Server.ID)
	}
}

func TestChooseRequiresLoadedAdapter(t *testing.T) {
	b := newBalancer(engine("e1", "m"), engine("e2", "m"))
	c := call("m")
	c.Adapter = "a1"
	require.Equal(t, sched.NotLoaded, b.Choose(c, start).Verdict)
	b.SetAdapters(map[string]map[string]bool{"e2": {"m/a1": true}}, nil)
	require.Equal(t, "e2", b.Choose(c, start).Server.ID)
}

func TestSessionAffinityYieldsToLoad(t *testing.T) {
	b := newBalancer(engine("e1", "m"), engine("e2", "m"), engine("e3", "m"))
	c := call("m")
	c.Session = 77
	preferred := b.Choose(c, start).Server.ID
	require.Equal(t, preferred, b.Choose(c, start).Server.ID)
	b.RecordLoad(preferred, sched.LoadReport{Running: 40, Slots: 64}, start)
	require.NotEqual(t, preferred, b.Choose(c, start).Server.ID)
}

func TestUnreachableServerIsEjectedTemporarily(t *testing.T) {
	b := newBalancer(engine("e1", "m"), engine("e2", "m"))
	c := call("m")
	for range 3 {
		b.RecordSend("e1", c, start)
		b.RecordResult("e1", c, sched.Unreachable, false, start)
	}
	for range 20 {
		require.Equal(t, "e2", b.Choose(c, start).Server.ID)
	}
	seen := map[string]bool{}
	for range 50 {
		seen[b.Choose(c, start.Add(10*time.Second)).Server.ID] = true
	}
	require.Len(t, seen, 2)
}

func TestRetriesOfAllDaemonsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 80).Draw(t, "daemons")
		balancers := make([]*sched.Balancer, daemons)
		for i := range balancers {
			balancers[i] = newBalancer()
			balancers[i].SetDaemons(daemons, i, start)
		}
		const seconds = 30
		var calls, retries [seconds]int
		for s := range seconds {
			now := start.Add(time.Duration(s) * time.Second)
			for _, b := range balancers {
				n := rapid.IntRange(0, 12).Draw(t, "calls")
				for range n {
					b.RecordArrival("llm", now)
					calls[s]++
				}
				for range n + 3 {
					if b.TakeRetry(failedCall(b, now), now) {
						retries[s]++
					}
				}
			}
		}
		for s := 9; s < seconds; s++ {
			c, r := 0, 0
			for k := s - 9; k <= s; k++ {
				r += retries[k]
			}
			// The calls that count are those of the window, of the one half a window before or of the one before.
			for _, shift := range []int{0, 5, 10} {
				n := 0
				for k := max(s-9-shift, 0); k <= s-shift; k++ {
					n += calls[k]
				}
				c = max(c, n)
			}
			require.LessOrEqual(t, float64(r), 0.2*float64(c)+40, "retries in the window that ends at second %d", s)
		}
	})
}

func TestOrderPutsLateWaitersLast(t *testing.T) {
	now := start.Add(2 * time.Second)
	waiter := func(name string, age time.Duration, priority int) *sched.Waiter {
		r := route()
		r.Priority, r.Name = priority, name
		return &sched.Waiter{Call: &sched.Call{Route: r, Arrived: now.Add(-age)}}
	}
	list := []*sched.Waiter{waiter("late", time.Second, 0), waiter("second", 100*time.Millisecond, 1), waiter("third", 50*time.Millisecond, 1), waiter("first", 10*time.Millisecond, 0)}
	sched.SortWaiters(list, now)
	var names []string
	for _, l := range list {
		names = append(names, l.Call.Route.Name)
	}
	require.Equal(t, []string{"first", "second", "third", "late"}, names)
}

func TestShouldHoldOnlyIfLoadEndsInTime(t *testing.T) {
	c := call("m")
	require.True(t, sched.ShouldHold(c, time.Second, start))
	require.False(t, sched.ShouldHold(c, 9*time.Second, start))
	c.Route.AbandonAfter = 32 * time.Second
	c.Deadline = start.Add(30 * time.Second)
	require.True(t, sched.ShouldHold(c, 9*time.Second, start))
}

func TestWorthRejectsCallsThatCannotGetATurn(t *testing.T) {
	b := newBalancer(engine("e1", "m"))
	b.SetDaemons(100, 0, start)
	c := call("m")
	require.False(t, b.WorthWaiting(c, 3, start), "no calls were sent to the model")
	for i := range 40 {
		b.RecordSend("e1", c, start.Add(time.Duration(i)*25*time.Millisecond))
	}
	now := start.Add(time.Second)
	c.Arrived = now
	require.True(t, b.WorthWaiting(c, 3, now), "40 calls a second are sent")
	require.False(t, b.WorthWaiting(c, 60, now))
}

// TestPendingLimitKeepsOverloadedEngineOnTime simulates an engine that receives three times
// the prompts that it can prefill. With the limit on pending prompts, more than half of the
// calls that the engine can process are answered in time; without it, hardly any are.
func TestPendingLimitKeepsOverloadedEngineOnTime(t *testing.T) {
	const prefill = 70 * time.Millisecond
	simulate := func(limited bool) (inTime, late, refused int) {
		b := newBalancer(engine("e1", "m"))
		type sent struct{ at, arrived time.Time }
		var queue []sent
		var waiting []*sched.Waiter
		var busy time.Time
		for ms := 0; ms < 10_000; ms++ {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%23 == 0 {
				c := call("m")
				c.Arrived, c.Deadline = now, now.Add(15*time.Second)
				waiting = append(waiting, &sched.Waiter{Call: c, Until: sched.WaitUntil(c)})
			}
			if len(queue) > 0 && !now.Before(busy) {
				first := queue[0]
				queue = queue[1:]
				b.RecordFirstEvent("e1", call("m"), len(queue)+1, first.at, now)
				b.RecordResult("e1", call("m"), sched.Answered, true, now)
				if now.Sub(first.arrived) <= 600*time.Millisecond {
					inTime++
				} else {
					late++
				}
				busy = now.Add(prefill)
			}
			sched.SortWaiters(waiting, now)
			rest := waiting[:0]
			for _, w := range waiting {
				switch {
				case !limited || b.Choose(w.Call, now).Verdict == sched.Chosen:
					b.RecordSend("e1", w.Call, now)
					if len(queue) == 0 && busy.Before(now) {
						busy = now.Add(prefill)
					}
					queue = append(queue, sent{now, w.Call.Arrived})
				case now.After(w.Until):
					refused++
				default:
					rest = append(rest, w)
				}
			}
			waiting = rest
		}
		return inTime, late, refused
	}
	inTime, late, refused := simulate(true)
	unlimited, _, _ := simulate(false)
	possible := int(10 * time.Second / prefill)
	require.Greater(t, inTime, possible/2, fmt.Sprintf("in time %d, late %d, refused %d", inTime, late, refused))
	require.Greater(t, inTime, 3*unlimited, "in time without the limit: %d", unlimited)
	require.Positive(t, refused)
}

// TestSilenceOfEnginesIsNoSlowness guards against refusals for seconds after engines were silent for a moment, because
// the time that calls waited for them enters the estimate of how fast they read prompts.
func TestSilenceOfEnginesIsNoSlowness(t *testing.T) {
	b := newBalancer()
	now := start
	sample := func(n int, took func(i int, usual time.Duration) time.Duration) {
		for i := range n {
			tokens := 300 + 400*(i%4)
			usual := 10*time.Millisecond + time.Duration(tokens)*30*time.Microsecond
			now = now.Add(50 * time.Millisecond)
			b.RecordSample(sched.Sample{Service: "llm", Model: "m", Tokens: tokens, Took: took(i, usual)}, now)
		}
	}
	sound := func(_ int, usual time.Duration) time.Duration { return usual }
	sample(200, sound)
	before := b.PrefillTimePerToken("llm", "m")
	for range 10 {
		sample(12, func(i int, usual time.Duration) time.Duration { return usual + time.Duration(i)*80*time.Millisecond })
		require.Less(t, b.PrefillTimePerToken("llm", "m"), 2*before)
		sample(4, sound)
	}
	require.Less(t, b.PrefillTimePerToken("llm", "m"), 2*before, "silences add up")
	for _, factor := range []time.Duration{4, 12} {
		sample(200, func(_ int, usual time.Duration) time.Duration { return factor * usual })
		require.Greater(t, float64(b.PrefillTimePerToken("llm", "m")), 0.75*float64(factor)*float64(before), "engines that have become slower are noticed")
	}
}
