package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/route"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestState returns a state with a number of engines e0, e1, ... whose window is
// their batch limit.
func newTestState(engines, batch int) *State {
	s := NewState("d", rand.New(rand.NewPCG(1, 1)))
	s.SetDocument(newFixture(testTime, batch).doc)
	var list []route.Engine
	for i := range engines {
		list = append(list, testEngine(fmt.Sprintf("e%d", i), testTime, batch))
	}
	s.SetView(testTime, route.NewView("a", list, nil, nil))
	for i, b := range s.byNumber {
		b.window = float64(batch)
		s.updateOwn(testTime, i)
	}
	return s
}

// renewView sets a view with reports that were measured just after now, and in which each
// engine runs the calls that the state has in flight and no others. It returns a time
// after the reports.
func renewView(now time.Time, s *State) time.Time {
	list := append([]route.Engine(nil), s.view.Engines...)
	for i := range list {
		list[i].MeasuredAt = now.Add(time.Millisecond)
		list[i].Report.Sequence++
		list[i].Report.Running = len(s.byNumber[i].inFlight)
	}
	now = now.Add(2 * time.Millisecond)
	s.SetView(now, route.NewView("a", list, nil, s.view))
	return now
}

// retry returns r as a retry with an attempt number.
func retry(r Request, attempt int) Request {
	r.Attempt = attempt
	return r
}

// TestStateDecidesEachCallOnce applies random operations to a state. It checks that no
// engine gets more calls than its window, that each call is decided once, that a refused
// call is never sent, and that the calls of a class are granted in order.
func TestStateDecidesEachCallOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestState(2, 4)
		now := testTime
		var open, granted []*Call
		decided := make(map[*Call]bool)
		record := func(list []*Call) {
			last := make(map[route.Class]*Call)
			for _, c := range list {
				require.False(t, decided[c])
				decided[c] = true
				if c.Granted() {
					require.NoError(t, c.Err)
					granted = append(granted, c)
					if l := last[c.class]; l != nil && c.class != route.ClassDeferred {
						require.False(t, c.before(l))
					}
					last[c.class] = c
				} else {
					require.Error(t, c.Err)
					require.Nil(t, c.backend)
					require.Equal(t, code.RunNo, code.RunOf(c.Err))
					require.Positive(t, RetryAfter(c.Err))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				expect := time.Duration(rapid.IntRange(100, 5000).Draw(t, "expect")) * time.Millisecond
				c := s.Offer(now, request(now, []string{"live", "draft", "night"}[rank], rank, expect))
				if c.Granted() || c.Err != nil {
					record([]*Call{c})
				} else {
					open = append(open, c)
				}
			},
			"release": func(t *rapid.T) {
				if len(granted) == 0 {
					return
				}
				i := rapid.IntRange(0, len(granted)-1).Draw(t, "which")
				s.FirstToken(now, granted[i])
				s.Release(now, granted[i], Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
				s.Release(now, granted[i], OutcomeFailed)
				granted = append(granted[:i], granted[i+1:]...)
				record(s.Step(now))
			},
			"cancel": func(t *rapid.T) {
				if len(open) > 0 {
					s.Cancel(open[rapid.IntRange(0, len(open)-1).Draw(t, "which")])
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "report") {
					now = renewView(now, s)
				}
				record(s.Step(now))
			},
			"": func(t *rapid.T) {
				waiting := 0
				for _, c := range open {
					if c.status == statusWaiting {
						waiting++
						require.False(t, decided[c])
					}
				}
				require.Equal(t, waiting, s.Waiting())
				for _, b := range s.byVM {
					require.LessOrEqual(t, float64(len(b.inFlight)), 4*maxWindowFraction+1)
					incremental := b.counts
					b.recount(now, b.reportedAt)
					require.Equal(t, b.counts, incremental, "incremental and recomputed counts")
				}
			},
		})
	})
}

func TestOrderIsByRankThenExpectedTime(t *testing.T) {
	s := newTestState(1, 1)
	held := s.Offer(testTime, request(testTime, "live", 0, time.Minute))
	require.True(t, held.Granted())
	late := s.Offer(testTime, request(testTime, "live", 0, 50*time.Second))
	draft := s.Offer(testTime, request(testTime, "draft", 1, 20*time.Second))
	soon := s.Offer(testTime, request(testTime, "live", 0, 40*time.Second))
	now := testTime
	for _, want := range []*Call{soon, late, draft} {
		now = now.Add(time.Second)
		s.Release(now, held, OutcomeAnswered)
		now = renewView(now, s)
		got := s.Step(now)
		require.Equal(t, []*Call{want}, got)
		held = got[0]
	}
}

func TestReserveIsKeptForUrgentCalls(t *testing.T) {
	s := newTestState(1, 10)
	count := func(priority string, rank int) int {
		n := 0
		for s.Offer(testTime, request(testTime, priority, rank, time.Minute)).Granted() {
			n++
		}
		return n
	}
	night, draft, live := count("night", 2), count("draft", 1), count("live", 0)
	require.Equal(t, 5, night)
	require.Equal(t, 9, night+draft)
	require.Equal(t, 10, night+draft+live)
}

func TestReserveGrowsWhileUrgentCallsWait(t *testing.T) {
	s := newTestState(1, 10)
	b := s.byNumber[0]
	now := testTime
	for range 12 {
		s.Offer(now, request(now, "live", 0, time.Minute))
	}
	before := b.reserve
	for range 20 {
		now = now.Add(reservePeriod)
		s.Step(now)
	}
	require.Greater(t, b.reserve, before+0.5)
	for range 20 {
		now = now.Add(time.Second)
		b.decayReserve(now)
	}
	require.InDelta(t, minReserve, b.reserve, 1e-9)
}

func TestDeferredCallIsPromotedNearItsDeadline(t *testing.T) {
	s := newTestState(1, 10)
	now := testTime
	for range 7 {
		require.True(t, s.Offer(now, request(now, "draft", 1, time.Minute)).Granted())
	}
	night := s.Offer(now, request(now, "night", 2, time.Hour))
	now = renewView(now, s)
	require.Empty(t, s.Step(now.Add(30*time.Minute)))
	require.Equal(t, []*Call{night}, s.Step(now.Add(46*time.Minute)))
}

func TestFailingEnginesAreEjectedUpToTheMaximum(t *testing.T) {
	s := newTestState(4, 1000)
	now := testTime
	fail := func(vms ...string) {
		for range 400 {
			now = now.Add(time.Millisecond)
			c := s.Offer(now, request(now, "live", 0, time.Minute))
			require.True(t, c.Granted())
			o := OutcomeAnswered
			for _, vm := range vms {
				if c.Choice.VM == vm {
					o = OutcomeFailed
				}
			}
			s.Release(now, c, o)
		}
	}
	fail("e0", "e1", "e2", "e3")
	ejected := 0
	for i := range s.own {
		ejected += boolToInt(s.own[i].Ejected)
	}
	require.Equal(t, 2, ejected)
	now = now.Add(baseEjectionTime)
	now = renewView(now, s)
	fail()
	for i := range s.own {
		require.False(t, s.own[i].Ejected, "the engine answers again")
	}
}

func TestStalledEngineIsEjected(t *testing.T) {
	s := newTestState(3, 1000)
	now := testTime
	stalled := 0
	for stalled < ejectAfterFailures {
		now = now.Add(100 * time.Millisecond)
		now = renewView(now, s)
		c := s.Offer(now, request(now, "live", 0, time.Minute))
		if c.Choice.VM == "e0" {
			stalled++
		} else {
			s.FirstToken(now, c)
		}
	}
	now = now.Add(stallTime + time.Second)
	now = renewView(now, s)
	s.Step(now)
	require.True(t, s.own[0].Ejected)
	require.False(t, s.own[1].Ejected)
}

// TestEnginesThatAreAllSlowAreNotEjected sends urgent calls to twelve engines, of which
// some return no first token. Slow engines must be ejected only if at most half of the
// engines are slow, since a fault that most engines share is not a fault of an engine.
func TestEnginesThatAreAllSlowAreNotEjected(t *testing.T) {
	for slow, want := range map[int]int{1: 1, 4: 4, 6: 6, 12: 0} {
		s := newTestState(12, 1000)
		now := testTime
		for range 600 {
			now = renewView(now.Add(2*time.Millisecond), s)
			c := s.Offer(now, request(now, "live", 0, time.Minute))
			if c.backend.number >= slow {
				s.FirstToken(now, c)
			}
		}
		now = renewView(now.Add(stallTime+time.Second), s)
		s.Step(now)
		require.Len(t, s.Ejected(now), want, "%d slow engines", slow)
	}
}

func TestArrivalIsRefusedWhenItsExpectedWaitIsTooLong(t *testing.T) {
	s := newTestState(1, 1)
	now := testTime
	held := s.Offer(now, request(now, "live", 0, time.Minute))
	for range 10 {
		s.Offer(now, request(now, "live", 0, time.Minute))
	}
	// The engine answers one call every two seconds.
	for range 3 {
		now = now.Add(2 * time.Second)
		s.Release(now, held, OutcomeAnswered)
		now = renewView(now, s)
		held = s.Step(now)[0]
	}
	c := s.Offer(now, request(now, "live", 0, 5*time.Second))
	require.Equal(t, code.ShedDeadline, code.Of(c.Err))
	require.Greater(t, RetryAfter(c.Err), 5*time.Second)
	require.NoError(t, s.Offer(now, request(now, "live", 0, time.Minute)).Err)
}

func TestQueueIsBounded(t *testing.T) {
	s := newTestState(1, 1)
	var last *Call
	for range maxWaiting + 2 {
		last = s.Offer(testTime, request(testTime, "live", 0, time.Minute))
	}
	require.Equal(t, code.QueueFull, code.Of(last.Err))
	require.Equal(t, maxWaiting, s.Waiting())
}

// TestRoomIsDividedAmongDaemons guards against daemons with waiting calls that all fill
// the same free room of an engine, because none sees what the others send.
func TestRoomIsDividedAmongDaemons(t *testing.T) {
	for _, daemons := range []int{6, 360} {
		sent := 0
		for d := range daemons {
			s := NewState(fmt.Sprintf("d%d", d), rand.New(rand.NewPCG(1, uint64(d))))
			s.SetDaemons(daemons)
			e := testEngine("e0", testTime, 100)
			e.Report.Running = 60
			s.SetView(testTime, route.NewView("a", []route.Engine{e}, nil, nil))
			s.waited[route.ClassNormal] = testTime
			for s.Offer(testTime, request(testTime, "draft", 1, time.Minute)).Granted() {
				sent++
			}
		}
		// Normal calls may use 90 of the 100 requests in the window, and 60 are
		// in use, which leaves room for 30.
		require.InDelta(t, 30, sent, 10, "%d daemons", daemons)
	}
}
