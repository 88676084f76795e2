package relay

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	"github.com/limpetlb/limpetlb/limpetd/route"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

const tokens = 8

func call() Call {
	return Call{
		Admission: admit.Request{ID: "r", Route: route.Request{Model: "m", Version: "1"}},
		MaxTokens: tokens,
	}
}

// mutation changes the frames of one stream.
type mutation func(frames []engine.Frame) []engine.Frame

func drop(i int) mutation {
	return func(f []engine.Frame) []engine.Frame { return slices.Delete(f, i, i+1) }
}

func double(i int) mutation {
	return func(f []engine.Frame) []engine.Frame { return slices.Insert(f, i, f[i]) }
}

func cross(i int) mutation {
	return func(f []engine.Frame) []engine.Frame {
		return slices.Insert(f, i, engine.Frame{Attempt: "other", Offset: f[i].Offset, Text: "WRONG", Tokens: 1})
	}
}

func crossDone(i int) mutation {
	return func(f []engine.Frame) []engine.Frame {
		return slices.Insert(f, i, engine.Frame{Attempt: "other", Offset: f[i].Offset, Done: true, Reason: "stop"})
	}
}

func cut(i int) mutation {
	return func(f []engine.Frame) []engine.Frame { return f[:i] }
}

func fault(i int) mutation {
	return func(f []engine.Frame) []engine.Frame {
		return append(f[:i:i], engine.Frame{Attempt: f[0].Attempt, Offset: i, Error: "out of memory"})
	}
}

func refuse(int) mutation {
	return func([]engine.Frame) []engine.Frame { return nil }
}

func none(int) mutation {
	return func(f []engine.Frame) []engine.Frame { return f }
}

// script gives the n-th stream the n-th fault.
func script(list ...mutation) func(int, string, []engine.Frame) []engine.Frame {
	return func(n int, _ string, frames []engine.Frame) []engine.Frame {
		if n >= len(list) {
			return frames
		}
		return list[n](frames)
	}
}

func TestAnswerIsWholeWhateverHappensToFrames(t *testing.T) {
	cases := []struct {
		name     string
		faults   []mutation
		requests int
		dropped  string
	}{
		{"no fault", nil, 1, ""},
		{"frame dropped", []mutation{drop(3)}, 1, "relay.frame_gaps+"},
		{"frame doubled", []mutation{double(3)}, 1, "relay.frames_doubled+"},
		{"frame crossed", []mutation{cross(3)}, 1, "relay.frames_crossed+"},
		{"end crossed", []mutation{crossDone(3)}, 1, "relay.frames_crossed+"},
		{"stream cut", []mutation{cut(3)}, 1, "relay.streams_resumed+"},
		{"cut three times", []mutation{cut(3), cut(1), cut(1)}, 2, "relay.streams_continued+"},
		{"engine fault", []mutation{fault(3)}, 2, "relay.streams_continued+"},
		{"last frame dropped", []mutation{drop(tokens)}, 1, "relay.streams_resumed+"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			engines := &fakes.Engines{Tokens: tokens, Script: script(c.faults...)}
			admitter := &fakes.Admitter{VMs: []string{"e1", "e2"}}
			r := New(Deps{Generator: engines, Admitter: admitter, Scope: scope})
			var whole Whole
			require.NoError(t, r.Answer(t.Context(), call(), &whole))
			require.Equal(t, fakes.Text(0, tokens), whole.Text())
			require.Equal(t, tokens, whole.Tokens())
			require.Len(t, engines.Requests(), c.requests)
			require.Zero(t, admitter.Open())
			if c.dropped != "" {
				require.Positive(t, scope.Snapshot().Counters()[c.dropped].Value())
			}
		})
	}
}

func TestContinuesWithSameVersionFromTokensTaken(t *testing.T) {
	engines := &fakes.Engines{Tokens: tokens, Script: script(fault(3))}
	admitter := &fakes.Admitter{
		VMs:      []string{"e1", "e2", "e3"},
		Versions: map[string]string{"e1": "1", "e2": "2", "e3": "1"},
	}
	r := New(Deps{Generator: engines, Admitter: admitter})
	var whole Whole
	require.NoError(t, r.Answer(t.Context(), call(), &whole))
	require.Equal(t, fakes.Text(0, tokens), whole.Text())
	requests := engines.Requests()
	require.Len(t, requests, 2)
	require.Equal(t, "1", requests[1].Slot.Version)
	require.Equal(t, fakes.Text(0, 3), requests[1].Generated)
	require.Equal(t, 3, requests[1].GeneratedTokens)
	require.NotEqual(t, requests[0].Attempt, requests[1].Attempt)
	require.Equal(t, []string{requests[0].Attempt}, engines.Cancelled())
}

func TestAnswerThatCannotBeWholeEndsInError(t *testing.T) {
	unreached := code.Errorf(code.BackendFailed, "refused")
	lost := code.Errorf(code.BackendLost, "reset")
	cases := []struct {
		name     string
		vms      []string
		versions map[string]string
		refusal  error
		faults   []mutation
		code     code.Code
		run      code.Run
	}{
		{"no engine", nil, nil, nil, nil, code.NoEngine, code.RunNo},
		{"none reached", []string{"e1"}, nil, unreached, []mutation{refuse(0)}, code.NoEngine, code.RunNo},
		{"sent and lost", []string{"e1"}, nil, lost, []mutation{refuse(0), refuse(0), refuse(0)}, code.NoEngine, code.RunUnknown},
		{"no second engine", []string{"e1"}, nil, nil, []mutation{fault(2)}, code.StreamBroken, code.RunYes},
		{"no second engine with the version", []string{"e1", "e2"}, map[string]string{"e2": "2"}, nil, []mutation{fault(2)}, code.StreamBroken, code.RunYes},
		{"all engines fail", []string{"e1", "e2", "e3", "e4"}, nil, nil, []mutation{fault(1), fault(0), fault(0)}, code.EngineError, code.RunYes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engines := &fakes.Engines{Tokens: tokens, Script: script(c.faults...), Refusal: c.refusal}
			admitter := &fakes.Admitter{VMs: c.vms, Versions: c.versions}
			r := New(Deps{Generator: engines, Admitter: admitter})
			var whole Whole
			err := r.Answer(t.Context(), call(), &whole)
			require.Equal(t, c.code, code.Of(err))
			require.Equal(t, c.run, code.RunOf(err))
			require.Empty(t, whole.Reason(), "a cut answer must not look whole")
			require.Zero(t, admitter.Open())
		})
	}
}

// TestEngineThatWasNotReachedIsTriedAgain lets the only engine be reached by the
// last attempt only.
func TestEngineThatWasNotReachedIsTriedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, unreached := engine.NewClient().Generate(t.Context(), l.Addr().String(), engine.Request{})
	require.True(t, engine.Unreached(unreached))
	for refusals, want := range map[int]code.Code{maxAttempts - 1: code.OK, maxAttempts: code.BackendFailed} {
		engines := &fakes.Engines{Tokens: tokens, Script: script(slices.Repeat([]mutation{refuse(0)}, refusals)...), Refusal: unreached}
		admitter := &fakes.Admitter{VMs: []string{"e1"}}
		var whole Whole
		err = New(Deps{Generator: engines, Admitter: admitter}).Answer(t.Context(), call(), &whole)
		require.Equal(t, want, code.Of(err))
		require.Len(t, engines.Requests(), maxAttempts)
		if err != nil {
			require.Equal(t, code.RunNo, code.RunOf(err))
		}
	}
}

func TestStalledStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakes.Engines{Tokens: tokens, Script: script(cut(3)), Block: true}
		r := New(Deps{Generator: engines, Admitter: &fakes.Admitter{VMs: []string{"e1"}}})
		var whole Whole
		require.NoError(t, r.Answer(t.Context(), call(), &whole))
		require.Equal(t, fakes.Text(0, tokens), whole.Text())
	})
}

// TestHungEngineIsLeftWithinSeconds lets the first engine accept the request and
// send nothing, also when it is asked to resume.
func TestHungEngineIsLeftWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakes.Engines{Tokens: tokens, Block: true, Script: func(_ int, address string, f []engine.Frame) []engine.Frame {
			if address == "e1" {
				return f[:0]
			}
			return f
		}}
		r := New(Deps{Generator: engines, Admitter: &fakes.Admitter{VMs: []string{"e1", "e2"}}})
		c := call()
		began := time.Now()
		c.Admission.Route.Expected = began.Add(time.Second)
		var whole Whole
		require.NoError(t, r.Answer(t.Context(), c, &whole))
		require.Equal(t, fakes.Text(0, tokens), whole.Text())
		require.Equal(t, leastPatience+resumedPatience, time.Since(began))
		require.Equal(t, []string{"r-0"}, engines.Cancelled())
	})
}

func TestPatience(t *testing.T) {
	now := time.Now()
	c := call()
	c.Admission.Route.Expected = now.Add(2 * time.Second)
	c.Admission.Route.PromptTokens = 3000
	require.Equal(t, patience{first: 11 * time.Second, between: betweenFrames}, patienceOf(c, now))
	c.Admission.Route.Expected = now.Add(time.Hour)
	require.Equal(t, mostPatience+3*time.Second, patienceOf(c, now).first)
	c.Admission.Deadline = now.Add(time.Hour)
	require.Equal(t, 8*(mostPatience+3*time.Second), patienceOf(c, now).first)
	require.Equal(t, resumedPatience, patienceOf(c, now).resumed().first)
}

func TestCallerGoneCancelsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakes.Engines{Tokens: tokens, Script: script(cut(3)), Block: true}
		admitter := &fakes.Admitter{VMs: []string{"e1", "e2"}}
		r := New(Deps{Generator: engines, Admitter: admitter})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		var whole Whole
		err := r.Answer(ctx, call(), &whole)
		require.Equal(t, code.CallerGone, code.Of(err))
		require.Equal(t, code.RunYes, code.RunOf(err))
		require.Equal(t, []string{"r-0"}, engines.Cancelled())
		require.Equal(t, []admit.Outcome{admit.OutcomeGone}, admitter.Outcomes())
	})
}

var errSlow = errors.New("too slow")

// slowSink takes one piece and then waits.
type slowSink struct {
	wait   time.Duration
	pieces int
	most   int
}

func (s *slowSink) Send(p Piece) error {
	s.pieces++
	s.most = max(s.most, len(p.Text))
	if s.wait > 0 {
		time.Sleep(s.wait)
		return errSlow
	}
	return nil
}

func TestSlowCallerHoldsBoundedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64
		engines := &fakes.Engines{Tokens: 10000}
		admitter := &fakes.Admitter{VMs: []string{"e1"}}
		r := New(Deps{Generator: engines, Admitter: admitter}, WithPendingBytes(limit))
		done := make(chan error, 1)
		sink := &slowSink{wait: time.Minute}
		long := call()
		long.MaxTokens = engines.Tokens
		go func() { done <- r.Answer(t.Context(), long, sink) }()
		synctest.Wait()
		// The engine waits for the caller: its ticket is still open.
		require.Equal(t, 1, admitter.Open())
		require.ErrorIs(t, <-done, errSlow)
		require.LessOrEqual(t, sink.most, limit)
		require.Zero(t, admitter.Open())
		require.Len(t, engines.Cancelled(), 1)
	})
}

// TestAnyFaultsLeaveTheAnswerWholeOrFailed mixes all faults of frames.
func TestAnyFaultsLeaveTheAnswerWholeOrFailed(t *testing.T) {
	kinds := []func(int) mutation{none, drop, double, cross, crossDone, cut, fault, refuse}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "streams")
		var list []mutation
		for range n {
			kind := rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")
			at := rapid.IntRange(0, tokens).Draw(t, "at")
			list = append(list, func(f []engine.Frame) []engine.Frame { return kinds[kind](min(at, len(f)-1))(f) })
		}
		engines := &fakes.Engines{Tokens: tokens, Script: script(list...), Refusal: code.Errorf(code.BackendLost, "reset")}
		admitter := &fakes.Admitter{VMs: []string{"e1", "e2", "e3", "e4"}}
		r := New(Deps{Generator: engines, Admitter: admitter})
		var whole Whole
		err := r.Answer(context.Background(), call(), &whole)
		want := fakes.Text(0, tokens)
		if err == nil {
			require.Equal(t, want, whole.Text())
			require.Equal(t, "stop", whole.Reason())
		} else {
			require.Equal(t, want[:len(whole.Text())], whole.Text())
			require.Empty(t, whole.Reason())
		}
		require.Zero(t, admitter.Open())
	})
}

func FuzzJudge(f *testing.F) {
	f.Add("r-0", 3, "x", 1, false, "")
	f.Add("r-1", 2, "", 0, true, "")
	f.Add("r-0", -1, "x", -5, false, "e")
	f.Fuzz(func(t *testing.T, attempt string, offset int, text string, n int, done bool, fault string) {
		g := progress{attempt: "r-0", offset: 3, limit: 100}
		v := g.judge(engine.Frame{Attempt: attempt, Offset: offset, Text: text, Tokens: n, Done: done, Error: fault})
		if v != frameTaken && v != frameLast {
			return
		}
		require.Equal(t, "r-0", attempt)
		require.Equal(t, 3, offset)
		require.GreaterOrEqual(t, n, 0)
		require.False(t, text != "" && n == 0)
		require.Empty(t, fault)
	})
}
