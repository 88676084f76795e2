package front_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// engineRoute is a route to engines whose streams may be resumed.
var engineRoute = layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true, Expectation: time.Second, AbandonAfter: 5 * time.Second}

// endsUnder returns the facts of another daemon: engines that ended, a second apart, just after the
// response to a call with a part had begun.
func endsUnder(part uint64, n int) crash.Facts {
	var f crash.Facts
	for i := range n {
		f.Ends = append(f.Ends, crash.EndFact{
			Server: "other-" + strconv.Itoa(i), Age: time.Duration(n-i) * time.Second,
			Suspects: []crash.Suspect{{Call: uint64(i), Parts: []uint64{part}, Begun: true}},
		})
	}
	return f
}

// call is the headers of a call to an engine with prompt parts.
func call(parts string) map[string]string { return map[string]string{"Model": "m", "Parts": parts} }

// TestBlockedPromptIsRefusedAtOnce guards against sending a call with a part that has ended engines, which
// this daemon knows from other daemons.
func TestBlockedPromptIsRefusedAtOnce(t *testing.T) {
	var sent atomic.Int64
	fx := newFixture(t, engineRoute, func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		streamEvents(0, 1, false)(w, r)
	})
	fx.front.MergeCrashFacts(endsUnder(7, 3))
	head, _, err := fx.post(t, "/r/1", call("1 7"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, head.StatusCode)
	require.Equal(t, strconv.Itoa(int(code.PromptBlocked)), head.Header.Get("limpet-code"))
	seconds, err := strconv.ParseFloat(head.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, seconds, 60.0)
	require.Zero(t, sent.Load())
	head, _, err = fx.post(t, "/r/1", map[string]string{"Model": "other", "Parts": "7"})
	require.NoError(t, err)
	require.Equal(t, strconv.Itoa(int(code.PromptBlocked)), head.Header.Get("limpet-code"))
	require.Zero(t, fx.loader.wantCount.Load(), "no model is loaded for it")
	head, _, err = fx.post(t, "/r/1", call("1 8"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.StatusCode)
	require.Equal(t, 1, fx.logs.FilterMessage("prompt_blocked").Len())
}

// TestWaitingCallIsRefusedWhenItsPromptIsBlocked guards against holding a call until its deadline that
// will not be sent.
func TestWaitingCallIsRefusedWhenItsPromptIsBlocked(t *testing.T) {
	fx := newFixture(t, engineRoute, unexpectedServer)
	fx.front.SetServers([]*layout.Server{{ID: "i0", Service: "s", Address: "127.0.0.1:1", Slots: 8, Models: map[string]layout.HeldModel{}}})
	time.AfterFunc(300*time.Millisecond, func() { fx.front.MergeCrashFacts(endsUnder(7, 3)) })
	start := time.Now()
	head, _, err := fx.post(t, "/r/1", call("7"))
	require.NoError(t, err)
	require.Equal(t, strconv.Itoa(int(code.PromptBlocked)), head.Header.Get("limpet-code"))
	require.Less(t, time.Since(start), 2*time.Second)
}

// TestCallOnProbationIsNotRepeated guards against ending a second engine under a call whose part is
// suspected already.
func TestCallOnProbationIsNotRepeated(t *testing.T) {
	for rounds, want := range map[int]int64{1: 2, 2: 1} {
		var sent atomic.Int64
		fx := newFixture(t, engineRoute, resetConnection(&sent), resetConnection(&sent))
		fx.front.MergeCrashFacts(endsUnder(7, rounds))
		head, _, err := fx.post(t, "/r/1", call("7"))
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, head.StatusCode)
		require.Equal(t, want, sent.Load(), rounds)
	}
}

// TestOneCallOnProbationAtATime guards against ending several engines at once under calls with a part
// that is suspected: until the answer to the first of them has gone on for half a second.
func TestOneCallOnProbationAtATime(t *testing.T) {
	step := make(chan struct{})
	finish := sync.OnceFunc(func() { close(step) })
	defer finish()
	arrived := make(chan struct{}, 8)
	fx := newFixture(t, engineRoute, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			_, _ = io.WriteString(w, eventText(i, i))
			_ = http.NewResponseController(w).Flush()
			<-step
		}
	})
	fx.front.MergeCrashFacts(endsUnder(7, 2))
	status := func() int {
		head, _, err := fx.post(t, "/r/1", call("7"))
		if err != nil {
			return 0
		}
		return head.StatusCode
	}
	first := make(chan int, 2)
	go func() { first <- status() }()
	<-arrived
	step <- struct{}{}
	require.Never(t, func() bool { return status() != http.StatusServiceUnavailable }, 600*time.Millisecond, 30*time.Millisecond)
	step <- struct{}{}
	require.Eventually(t, func() bool {
		go func() { first <- status() }()
		select {
		case <-arrived:
			return true
		case <-first:
			return false
		}
	}, time.Second, 10*time.Millisecond, "the answer frees the part")
	finish()
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusOK, <-first)
}

// TestCompleteAnswerFreesItsParts guards against keeping a part on probation whose answers are shorter than the
// time that an answer must go on.
func TestCompleteAnswerFreesItsParts(t *testing.T) {
	fx := newFixture(t, engineRoute, streamEvents(0, 1, false))
	fx.front.MergeCrashFacts(endsUnder(7, 2))
	for range 2 {
		head, _, err := fx.post(t, "/r/1", call("7"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, head.StatusCode)
	}
	facts, _ := fx.front.CrashFacts(0)
	require.Len(t, facts.Answers, 1)
}

// lateFacts is a Reserver during whose answer a part is blocked.
type lateFacts struct {
	*reserver
	fx *fixture
}

func (r *lateFacts) Reserve(context.Context, sched.ReservationRequest) (sched.Reservation, error) {
	r.fx.front.MergeCrashFacts(endsUnder(7, 3))
	return sched.Reservation{Verdict: sched.Chosen, Server: "i0"}, nil
}

// TestCallIsCheckedWhenItIsSent guards against sending a call whose prompt was blocked after its arrival.
func TestCallIsCheckedWhenItIsSent(t *testing.T) {
	r := &lateFacts{}
	r.fx = newFixtureWithReserver(t, r, engineRoute, unexpectedServer)
	head, _, err := r.fx.post(t, "/r/1", call("7"))
	require.NoError(t, err)
	require.Equal(t, strconv.Itoa(int(code.PromptBlocked)), head.Header.Get("limpet-code"))
}

// TestEndOfEngineIsNoticed guards against not noticing that an engine has ended: that refuses connections,
// and that starts again at once under its ID.
func TestEndOfEngineIsNoticed(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		var engine *httptest.Server
		var requests atomic.Int64
		broken := make(chan struct{})
		engine = httptest.NewServer(withStamp(func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) > 1 {
				streamEvents(0, 1, false)(w, r)
				return
			}
			_ = http.NewResponseController(w).Flush()
			if !restarts {
				_ = engine.Listener.Close()
			}
			close(broken)
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(engine.Close)
		fx := newFixtureWithServers(t, nil, engineRoute, engine.Listener.Addr().String())
		_, _, err := fx.post(t, "/r/1", call("1 7"))
		require.NoError(t, err)
		<-broken
		if restarts {
			require.Never(t, func() bool { return fx.logs.FilterMessage("engine_ended").Len() > 0 }, time.Second, 10*time.Millisecond, "a broken response is no end")
			fx.front.SetServers([]*layout.Server{{ID: "i0", StartedAt: 5, Service: "s", Address: engine.Listener.Addr().String(), Slots: 8}})
		}
		require.Eventually(t, func() bool { return fx.logs.FilterMessage("engine_ended").Len() == 1 }, 2*time.Second, 10*time.Millisecond)
		facts, _ := fx.front.CrashFacts(0)
		require.Len(t, facts.Ends, 1)
		require.Equal(t, []uint64{1, 7}, facts.Ends[0].Suspects[0].Parts[1:], "after the request")
		require.True(t, facts.Ends[0].Suspects[0].Begun)
	}
}

// TestBlockThatEndsIsTriedByOneDaemon guards against a series of ends after a block, one at each daemon, and
// against a block of a sound part that nobody ends.
func TestBlockThatEndsIsTriedByOneDaemon(t *testing.T) {
	fx := newFixture(t, engineRoute, streamEvents(0, 1, false))
	facts := endsUnder(7, 4)
	facts.Known = []uint64{7}
	for i := range facts.Ends {
		facts.Ends[i].Age += 9 * time.Second
	}
	fx.front.MergeCrashFacts(facts)
	status := func() int {
		head, _, err := fx.post(t, "/r/1", call("7"))
		require.NoError(t, err)
		return head.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, status())
	require.Equal(t, 1, fx.logs.FilterMessage("prompt_blocked").Len())
	require.Equal(t, 1, fx.logs.FilterMessage("prompt_unblocked").Len())
	fx.front.SetLeading(true)
	require.Equal(t, http.StatusOK, status())
	fx.front.SetLeading(false)
	require.Equal(t, http.StatusOK, status())
}

// TestAnsweredPartIsKnown guards against taking a part of sound calls for one that no call has had.
func TestAnsweredPartIsKnown(t *testing.T) {
	fx := newFixture(t, engineRoute, streamEvents(0, 1, false))
	_, _, err := fx.post(t, "/r/1", call("7"))
	require.NoError(t, err)
	fx.front.MergeCrashFacts(endsUnder(7, 3))
	head, _, err := fx.post(t, "/r/1", call("7"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.StatusCode)
}

// TestCallBrokenBeforeOthersIsNoSuspect guards against suspecting a call that an engine broke off some time
// before it ended, while it went on to answer others.
func TestCallBrokenBeforeOthersIsNoSuspect(t *testing.T) {
	var requests atomic.Int64
	var engine *httptest.Server
	engine = httptest.NewServer(withStamp(func(w http.ResponseWriter, r *http.Request) {
		switch requests.Add(1) {
		case 2:
			streamEvents(0, 1, false)(w, r)
			return
		case 3:
			_ = engine.Listener.Close()
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(engine.Close)
	route := engineRoute
	route.MaxAttempts = 1
	fx := newFixtureWithServers(t, nil, route, engine.Listener.Addr().String())
	for i, part := range []string{"7", "8", "9"} {
		_, _, err := fx.post(t, "/r/1", call(part))
		require.NoError(t, err)
		if i == 0 {
			require.Never(t, func() bool { return fx.logs.FilterMessage("engine_ended").Len() > 0 }, time.Second, 10*time.Millisecond)
		}
	}
	require.Eventually(t, func() bool { return fx.logs.FilterMessage("engine_ended").Len() == 1 }, 2*time.Second, 10*time.Millisecond)
	facts, _ := fx.front.CrashFacts(0)
	require.Len(t, facts.Ends[0].Suspects, 1)
	require.Equal(t, []uint64{9}, facts.Ends[0].Suspects[0].Parts[1:], "after the request")
}

// TestLeavingEngineIsNoEnd guards against suspecting calls of an engine that has left as announced.
func TestLeavingEngineIsNoEnd(t *testing.T) {
	var sent atomic.Int64
	engine := httptest.NewServer(resetConnection(&sent))
	t.Cleanup(engine.Close)
	address := engine.Listener.Addr().String()
	fx := newFixtureWithServers(t, nil, engineRoute, address)
	_, _, err := fx.post(t, "/r/1", call("1 7"))
	require.NoError(t, err)
	fx.front.SetServers([]*layout.Server{{ID: "i0", Service: "s", Address: address, State: layout.Draining, Slots: 8}})
	fx.front.SetServers(nil)
	facts, _ := fx.front.CrashFacts(0)
	require.Empty(t, facts.Ends)
}

// TestEngineThatAnswersIsNotEnded guards against counting the end of an engine that another daemon can't
// reach, while this one has a connection to it that was open before.
func TestEngineThatAnswersIsNotEnded(t *testing.T) {
	fx := newFixture(t, engineRoute, streamEvents(0, 1, false))
	retracted := func() bool {
		_, _, err := fx.post(t, "/r/1", call("1"))
		require.NoError(t, err)
		facts, _ := fx.front.CrashFacts(0)
		return slices.ContainsFunc(facts.Ends, func(e crash.EndFact) bool { return e.Server == "i0" && e.Retracted })
	}
	require.False(t, retracted())
	facts := endsUnder(7, 3)
	facts.Ends[2].Server, facts.Ends[2].Age = "i0", 0
	fx.front.MergeCrashFacts(facts)
	require.Eventually(t, retracted, 2*time.Second, 50*time.Millisecond)
}
