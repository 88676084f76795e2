package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// limitedEngine is the only engine with the model m, and names a limit.
const limitedEngine = "e1"

// newLimited returns the balancer of one of several daemons, which knows the limit of limitedEngine.
func newLimited(seed uint64, daemons int, perSecond float64, now time.Time) *Balancer {
	b := NewBalancer(Settings{}, rand.New(rand.NewPCG(seed, 1)))
	b.SetDaemons(daemons, 0, time.Unix(1000, 0))
	b.SetServers([]*layout.Server{{ID: limitedEngine, Service: "s", Models: map[string]layout.HeldModel{"m": {}}}})
	b.RecordLimit(limitedEngine, perSecond, now, now)
	return b
}

// askFor is a request for a reservation at limitedEngine.
func askFor(urgent bool) *ReservationRequest {
	return &ReservationRequest{Service: "s", Model: "m", MaxStartDelay: time.Second, ShortestExpectation: time.Second, IsTopPriority: urgent}
}

// limitedCall is a call to limitedEngine.
func limitedCall(now time.Time) *Call {
	return &Call{Route: &layout.Route{Expectation: time.Second}, Service: "s", Model: "m", Arrived: now, Deadline: now.Add(time.Minute)}
}

// worstWindow returns the most times within four seconds.
func worstWindow(times []time.Time) int {
	worst, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > 4*time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// checkLimit checks that requests at times, over a duration, keep a limit and use at least a part of it.
func checkLimit(t *testing.T, times []time.Time, perSecond float64, duration time.Duration, minUse float64, name string) {
	t.Helper()
	use := float64(len(times)) / (perSecond * duration.Seconds())
	require.LessOrEqual(t, float64(worstWindow(times)), 1.5*perSecond*4+5, "%s: used %.2f", name, use)
	require.GreaterOrEqual(t, use, minUse, name)
	require.LessOrEqual(t, use, 1.1, name)
}

// TestLimitIsKeptAndUsed simulates a lease holder that grants the requests of all daemons, four times as
// many as the limit, with orders between them. Calls without a reservation ask again for a second.
func TestLimitIsKeptAndUsed(t *testing.T) {
	const duration = 5 * time.Minute
	for _, perSecond := range []float64{0.3, 1.1, 2.7, 20} {
		start := time.Unix(1000, 0)
		b := newLimited(1, 9, perSecond, start)
		r := rand.New(rand.NewPCG(2, 2))
		var sent, waiting []time.Time
		for now := start; now.Sub(start) < duration; now = now.Add(minAskDelay) {
			b.SetSharedLoad(nil, now)
			if r.Float64() < 4*perSecond*minAskDelay.Seconds()/3 {
				waiting = append(waiting, now, now, now)
			}
			waiting = slices.DeleteFunc(waiting, func(since time.Time) bool {
				if now.Sub(since) > time.Second {
					return true
				}
				granted := b.Reserve(askFor(r.IntN(2) == 0), now).Verdict == Chosen
				if granted {
					sent = append(sent, now)
					b.RecordLimit(limitedEngine, perSecond, now, now)
				}
				return granted
			})
			if r.Float64() < perSecond*minAskDelay.Seconds()/10 && b.TakeToken(limitedEngine, now) {
				sent = append(sent, now)
				b.RecordLimit(limitedEngine, perSecond, now, now)
			}
		}
		checkLimit(t, sent, perSecond, duration, 0.85, fmt.Sprint(perSecond))
	}
}

// TestLimitIsKeptWithoutLeaseHolder simulates daemons that have no lease holder, and unequal traffic: all
// together keep the limit, also if the part of each is far below one request a second. With equal
// traffic, they use it.
func TestLimitIsKeptWithoutLeaseHolder(t *testing.T) {
	const duration = 10 * time.Minute
	for _, daemons := range []int{3, 9, 30, 300} {
		for _, perSecond := range []float64{1.1, 2.7} {
			for _, equal := range []bool{true, false} {
				start := time.Unix(1000, 0)
				var all []*Balancer
				for i := range daemons {
					all = append(all, newLimited(uint64(i), daemons, perSecond, start))
				}
				r := rand.New(rand.NewPCG(uint64(daemons), 3))
				var sent []time.Time
				for now := start; now.Sub(start) < duration; now = now.Add(100 * time.Millisecond) {
					for i, b := range all {
						if !equal && r.IntN(i+1) > 0 {
							continue
						}
						c := limitedCall(now)
						if choice := b.Choose(c, now); choice.Verdict == Chosen {
							b.RecordSend(limitedEngine, c, now)
							b.RecordResult(limitedEngine, c, Answered, false, now)
							sent = append(sent, now)
						}
					}
				}
				minUse := 0.0
				if equal {
					minUse = 0.8
				}
				checkLimit(t, sent, perSecond, duration, minUse, fmt.Sprint(daemons, " daemons, ", perSecond))
			}
		}
	}
}

// TestIdleDaemonsDoNotSendTogether guards against a burst of daemons that had no calls for a long time.
func TestIdleDaemonsDoNotSendTogether(t *testing.T) {
	const perSecond = 2.7
	for _, daemons := range []int{3, 30, 300} {
		start := time.Unix(1000, 0)
		now := start.Add(time.Hour)
		sent := 0
		for i := range daemons {
			b := newLimited(uint64(i), daemons, perSecond, start)
			b.Choose(limitedCall(start), start)
			for at := now; at.Sub(now) < 4*time.Second; at = at.Add(100 * time.Millisecond) {
				c := limitedCall(at)
				if b.Choose(c, at).Verdict == Chosen {
					b.RecordSend(limitedEngine, c, at)
					b.RecordResult(limitedEngine, c, Answered, false, at)
					sent++
				}
			}
		}
		require.LessOrEqual(t, float64(sent), 1.5*perSecond*4+5, daemons)
	}
}

// TestDaemonWithoutTokenSendsNothing guards against calls beside those that the lease holder grants.
func TestDaemonWithoutTokenSendsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 1, 100, now)
	for range 10 {
		now = now.Add(time.Second)
		b.SetSharedLoad(nil, now)
		choice := b.Choose(limitedCall(now), now)
		require.Equal(t, Full, choice.Verdict)
		require.Positive(t, choice.RetryAfter)
	}
}

// TestCallsOfLimitedEngineGoElsewhere guards against refusing calls that another engine can answer.
func TestCallsOfLimitedEngineGoElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 3, 1, now)
	held := map[string]layout.HeldModel{"m": {}}
	b.SetServers([]*layout.Server{{ID: limitedEngine, Service: "s", Models: held}, {ID: "e2", Service: "s", Models: held}})
	b.SetSharedLoad(nil, now)
	for range 20 {
		require.Equal(t, "e2", b.Choose(limitedCall(now), now).Server.ID)
		require.Equal(t, "e2", b.Reserve(askFor(true), now).Server)
	}
}

// TestUrgentCallsGetTokensFirst guards against tokens for less urgent calls while urgent ones use the limit.
func TestUrgentCallsGetTokensFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 3, 2, now)
	granted := map[bool]int{}
	for range 2000 {
		now = now.Add(50 * time.Millisecond)
		for _, urgent := range []bool{false, true} {
			if b.Reserve(askFor(urgent), now).Verdict == Chosen {
				granted[urgent]++
				b.RecordLimit(limitedEngine, 2, now, now)
			}
		}
	}
	require.Greater(t, granted[true], 10*granted[false])
}

// TestUnusedTokensAreBounded guards against a burst after a time without calls.
func TestUnusedTokensAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 3, 2, now)
	now = now.Add(time.Hour)
	granted := 0
	for range 100 {
		if b.Reserve(askFor(true), now).Verdict == Chosen {
			granted++
		}
	}
	require.Equal(t, 3, granted)
}

// TestPlainServerKeepsLimit guards against reservations at a plain server beyond its limit.
func TestPlainServerKeepsLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 3, 2, now)
	granted := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if b.Reserve(&ReservationRequest{Service: "s"}, now).Verdict == Chosen {
			granted++
			b.RecordLimit(limitedEngine, 2, now, now)
		}
	}
	require.InDelta(t, 20, granted, 2)
}

// TestLimitEnds follows a limit until answers no longer name it. An answer to a request that was sent
// before the server last named the limit shows nothing.
func TestLimitEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 3, 2, now)
	require.False(t, b.RecordLimit(limitedEngine, 0, now.Add(-time.Millisecond), now.Add(time.Second)))
	require.True(t, b.HasLimits("s"))
	require.True(t, b.RecordLimit(limitedEngine, 0, now.Add(time.Millisecond), now.Add(time.Second)))
	require.False(t, b.HasLimits("s"))
	require.Equal(t, Chosen, b.Choose(limitedCall(now), now).Verdict)
	require.Zero(t, b.Limits(now)[limitedEngine].PerSecond)
	require.Empty(t, b.Limits(now.Add(time.Minute)))
}

// TestLimitEndsWithItsStart guards against the limit of a start of a server at the next one, by its own
// answers and by those that other daemons got.
func TestLimitEndsWithItsStart(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 3, 2, now)
	told := b.Limits(now)
	b.SetServers([]*layout.Server{{ID: limitedEngine, StartedAt: 5, Service: "s", Models: map[string]layout.HeldModel{"m": {}}}})
	require.False(t, b.HasLimits("s"))
	b.MergeLimits(told, now)
	require.False(t, b.HasLimits("s"))
}

// TestNewerLimitCounts merges what other daemons know in the wrong order.
func TestNewerLimitCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 3, 2, now)
	now = now.Add(10 * time.Second)
	b.MergeLimits(map[string]Limit{limitedEngine: {PerSecond: 5, Age: time.Second}}, now)
	require.InDelta(t, 5, b.Limits(now)[limitedEngine].PerSecond, 0)
	b.MergeLimits(map[string]Limit{limitedEngine: {PerSecond: 3, Age: 2 * time.Second}}, now)
	require.InDelta(t, 5, b.Limits(now)[limitedEngine].PerSecond, 0)
	b.MergeLimits(map[string]Limit{limitedEngine: {}}, now)
	require.False(t, b.HasLimits("s"))
}

// TestOrdersTakeFewTokensAhead guards against orders and reports beyond the limit, and against orders that
// never go because calls take all tokens.
func TestOrdersTakeFewTokensAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newLimited(1, 3, 1, now)
	sent := 0
	for range 10 {
		if b.TakeToken(limitedEngine, now) {
			sent++
		}
	}
	require.Equal(t, 1, sent)
	require.True(t, b.TakeToken("e2", now))
}

// TestLimitIsKeptWhenAStoppedServerGoesOn guards against requests that were granted while their server was stopped, and
// that it reads together when it goes on.
func TestLimitIsKeptWhenAStoppedServerGoesOn(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1.1, 2.7, 20} {
		for _, stop := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second, 20 * time.Second} {
			start := time.Unix(1000, 0)
			b := newLimited(1, 9, perSecond, start)
			var read, unread []time.Time
			const period = 40 * time.Second
			for now := start; now.Sub(start) < 5*period; now = now.Add(20 * time.Millisecond) {
				b.SetSharedLoad(nil, now)
				if b.Reserve(askFor(true), now).Verdict == Chosen {
					unread = append(unread, now)
				}
				if now.Sub(start)%period < period-stop && len(unread) > 0 {
					for _, sentAt := range unread {
						read = append(read, now)
						b.RecordLimit(limitedEngine, perSecond, sentAt, now)
					}
					unread = nil
				}
			}
			name := fmt.Sprintf("%v a second, stopped for %s", perSecond, stop)
			require.LessOrEqual(t, float64(worstWindow(read)), 1.5*perSecond*4+5, name)
			require.GreaterOrEqual(t, float64(len(read)), 0.8*perSecond*5*(period-stop).Seconds(), name)
		}
	}
}
