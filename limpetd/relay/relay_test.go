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

const tokenCount = 8

func newCall() Call {
	return Call{
		Admission: admit.Request{ID: "r", Route: route.Request{Model: "m", Version: "1"}},
		MaxTokens: tokenCount,
	}
}

// streamFault changes the frames of one stream before they are sent. A nil result
// refuses the stream.
type streamFault func(frames []engine.Frame) []engine.Frame

func dropFrame(i int) streamFault {
	return func(f []engine.Frame) []engine.Frame { return slices.Delete(f, i, i+1) }
}

func duplicateFrame(i int) streamFault {
	return func(f []engine.Frame) []engine.Frame { return slices.Insert(f, i, f[i]) }
}

func insertOtherAttempt(i int) streamFault {
	return func(f []engine.Frame) []engine.Frame {
		return slices.Insert(f, i, engine.Frame{Attempt: "other", Offset: f[i].Offset, Text: "WRONG", Tokens: 1})
	}
}

func insertOtherAttemptEnd(i int) streamFault {
	return func(f []engine.Frame) []engine.Frame {
		return slices.Insert(f, i, engine.Frame{Attempt: "other", Offset: f[i].Offset, Done: true, Reason: "stop"})
	}
}

func cutStream(i int) streamFault {
	return func(f []engine.Frame) []engine.Frame { return f[:i] }
}

func failEngine(i int) streamFault {
	return func(f []engine.Frame) []engine.Frame {
		return append(f[:i:i], engine.Frame{Attempt: f[0].Attempt, Offset: i, Error: "out of memory"})
	}
}

func refuseStream(int) streamFault {
	return func([]engine.Frame) []engine.Frame { return nil }
}

func keepFrames(int) streamFault {
	return func(f []engine.Frame) []engine.Frame { return f }
}

// faultScript returns a script that applies the n-th fault to the n-th stream.
func faultScript(list ...streamFault) func(int, string, []engine.Frame) []engine.Frame {
	return func(n int, _ string, frames []engine.Frame) []engine.Frame {
		if n >= len(list) {
			return frames
		}
		return list[n](frames)
	}
}

func TestAnswerIsCompleteDespiteStreamFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   []streamFault
		requests int
		counter  string
	}{
		{"no fault", nil, 1, ""},
		{"missing frame", []streamFault{dropFrame(3)}, 1, "relay.frame_gaps+"},
		{"duplicate frame", []streamFault{duplicateFrame(3)}, 1, "relay.frames_doubled+"},
		{"frame of another attempt", []streamFault{insertOtherAttempt(3)}, 1, "relay.frames_crossed+"},
		{"last frame of another attempt", []streamFault{insertOtherAttemptEnd(3)}, 1, "relay.frames_crossed+"},
		{"stream ends early", []streamFault{cutStream(3)}, 1, "relay.streams_resumed+"},
		{"stream ends early three times", []streamFault{cutStream(3), cutStream(1), cutStream(1)}, 2, "relay.streams_continued+"},
		{"engine error", []streamFault{failEngine(3)}, 2, "relay.streams_continued+"},
		{"missing last frame", []streamFault{dropFrame(tokenCount)}, 1, "relay.streams_resumed+"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			engines := &fakes.Generator{Tokens: tokenCount, Script: faultScript(c.faults...)}
			admitter := &fakes.Admitter{VMs: []string{"e1", "e2"}}
			r := New(Deps{Generator: engines, Admitter: admitter, Scope: scope})
			var whole AnswerBuffer
			require.NoError(t, r.Answer(t.Context(), newCall(), &whole))
			require.Equal(t, fakes.TokenText(0, tokenCount), whole.Text())
			require.Equal(t, tokenCount, whole.Tokens())
			require.Len(t, engines.Requests(), c.requests)
			require.Zero(t, admitter.Open())
			if c.counter != "" {
				require.Positive(t, scope.Snapshot().Counters()[c.counter].Value())
			}
		})
	}
}

func TestOtherEngineContinuesWithSameVersion(t *testing.T) {
	engines := &fakes.Generator{Tokens: tokenCount, Script: faultScript(failEngine(3))}
	admitter := &fakes.Admitter{
		VMs:      []string{"e1", "e2", "e3"},
		Versions: map[string]string{"e1": "1", "e2": "2", "e3": "1"},
	}
	r := New(Deps{Generator: engines, Admitter: admitter})
	var whole AnswerBuffer
	require.NoError(t, r.Answer(t.Context(), newCall(), &whole))
	require.Equal(t, fakes.TokenText(0, tokenCount), whole.Text())
	requests := engines.Requests()
	require.Len(t, requests, 2)
	require.Equal(t, "1", requests[1].Slot.Version)
	require.Equal(t, fakes.TokenText(0, 3), requests[1].Generated)
	require.Equal(t, 3, requests[1].GeneratedTokens)
	require.NotEqual(t, requests[0].Attempt, requests[1].Attempt)
	require.Equal(t, []string{requests[0].Attempt}, engines.Cancelled())
}

func TestIncompleteAnswerEndsInError(t *testing.T) {
	unreached := code.Errorf(code.BackendFailed, "refused")
	lost := code.Errorf(code.BackendLost, "reset")
	cases := []struct {
		name     string
		vms      []string
		versions map[string]string
		openErr  error
		faults   []streamFault
		code     code.Code
		run      code.RunState
	}{
		{"no engine", nil, nil, nil, nil, code.NoEngine, code.RunNo},
		{"no engine reachable", []string{"e1"}, nil, unreached, []streamFault{refuseStream(0)}, code.NoEngine, code.RunNo},
		{"connections lost after sending", []string{"e1"}, nil, lost, []streamFault{refuseStream(0), refuseStream(0), refuseStream(0)}, code.NoEngine, code.RunUnknown},
		{"no second engine", []string{"e1"}, nil, nil, []streamFault{failEngine(2)}, code.StreamBroken, code.RunYes},
		{"no second engine with the version", []string{"e1", "e2"}, map[string]string{"e2": "2"}, nil, []streamFault{failEngine(2)}, code.StreamBroken, code.RunYes},
		{"all engines fail", []string{"e1", "e2", "e3", "e4"}, nil, nil, []streamFault{failEngine(1), failEngine(0), failEngine(0)}, code.EngineError, code.RunYes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engines := &fakes.Generator{Tokens: tokenCount, Script: faultScript(c.faults...), Refusal: c.openErr}
			admitter := &fakes.Admitter{VMs: c.vms, Versions: c.versions}
			r := New(Deps{Generator: engines, Admitter: admitter})
			var whole AnswerBuffer
			err := r.Answer(t.Context(), newCall(), &whole)
			require.Equal(t, c.code, code.Of(err))
			require.Equal(t, c.run, code.RunOf(err))
			require.Empty(t, whole.Reason(), "an incomplete answer must have no reason")
			require.Zero(t, admitter.Open())
		})
	}
}

// TestUnreachableEngineIsRetried covers a single engine that no attempt but the last
// reaches, and one that no attempt reaches.
func TestUnreachableEngineIsRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, unreached := engine.NewClient().Generate(t.Context(), l.Addr().String(), engine.Request{})
	require.True(t, engine.IsUnreachable(unreached))
	for refusals, want := range map[int]code.Code{maxAttempts - 1: code.OK, maxAttempts: code.BackendFailed} {
		engines := &fakes.Generator{Tokens: tokenCount, Script: faultScript(slices.Repeat([]streamFault{refuseStream(0)}, refusals)...), Refusal: unreached}
		admitter := &fakes.Admitter{VMs: []string{"e1"}}
		var whole AnswerBuffer
		err = New(Deps{Generator: engines, Admitter: admitter}).Answer(t.Context(), newCall(), &whole)
		require.Equal(t, want, code.Of(err))
		require.Len(t, engines.Requests(), maxAttempts)
		if err != nil {
			require.Equal(t, code.RunNo, code.RunOf(err))
		}
	}
}

func TestStalledStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakes.Generator{Tokens: tokenCount, Script: faultScript(cutStream(3)), Block: true}
		r := New(Deps{Generator: engines, Admitter: &fakes.Admitter{VMs: []string{"e1"}}})
		var whole AnswerBuffer
		require.NoError(t, r.Answer(t.Context(), newCall(), &whole))
		require.Equal(t, fakes.TokenText(0, tokenCount), whole.Text())
	})
}

// TestHungEngineIsReplacedAfterTimeouts covers an engine that accepts a request and
// its resume, but sends no frame.
func TestHungEngineIsReplacedAfterTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakes.Generator{Tokens: tokenCount, Block: true, Script: func(_ int, address string, f []engine.Frame) []engine.Frame {
			if address == "e1" {
				return f[:0]
			}
			return f
		}}
		r := New(Deps{Generator: engines, Admitter: &fakes.Admitter{VMs: []string{"e1", "e2"}}})
		c := newCall()
		start := time.Now()
		c.Admission.Route.ExpectedBy = start.Add(time.Second)
		var whole AnswerBuffer
		require.NoError(t, r.Answer(t.Context(), c, &whole))
		require.Equal(t, fakes.TokenText(0, tokenCount), whole.Text())
		require.Equal(t, minFirstFrameTimeout+resumedFirstFrameTimeout, time.Since(start))
		require.Equal(t, []string{"r-0"}, engines.Cancelled())
	})
}

func TestStallTimeouts(t *testing.T) {
	now := time.Now()
	c := newCall()
	c.Admission.Route.ExpectedBy = now.Add(2 * time.Second)
	c.Admission.Route.PromptTokens = 3000
	require.Equal(t, stallTimeouts{firstFrame: 11 * time.Second, nextFrame: nextFrameTimeout}, newStallTimeouts(c, now))
	c.Admission.Route.ExpectedBy = now.Add(time.Hour)
	require.Equal(t, maxFirstFrameTimeout+3*time.Second, newStallTimeouts(c, now).firstFrame)
	c.Admission.Deadline = now.Add(time.Hour)
	require.Equal(t, 8*(maxFirstFrameTimeout+3*time.Second), newStallTimeouts(c, now).firstFrame)
	require.Equal(t, resumedFirstFrameTimeout, newStallTimeouts(c, now).resumed().firstFrame)
}

func TestGoneCallerCancelsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakes.Generator{Tokens: tokenCount, Script: faultScript(cutStream(3)), Block: true}
		admitter := &fakes.Admitter{VMs: []string{"e1", "e2"}}
		r := New(Deps{Generator: engines, Admitter: admitter})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		var whole AnswerBuffer
		err := r.Answer(ctx, newCall(), &whole)
		require.Equal(t, code.CallerGone, code.Of(err))
		require.Equal(t, code.RunYes, code.RunOf(err))
		require.Equal(t, []string{"r-0"}, engines.Cancelled())
		require.Equal(t, []admit.Outcome{admit.OutcomeCallerGone}, admitter.Outcomes())
	})
}

var errSinkTimeout = errors.New("sink timed out")

// slowSink waits in Send and then returns an error.
type slowSink struct {
	wait    time.Duration
	chunks  int
	longest int
}

func (s *slowSink) Send(p Chunk) error {
	s.chunks++
	s.longest = max(s.longest, len(p.Text))
	if s.wait > 0 {
		time.Sleep(s.wait)
		return errSinkTimeout
	}
	return nil
}

func TestSlowCallerBuffersLimitedText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64
		engines := &fakes.Generator{Tokens: 10000}
		admitter := &fakes.Admitter{VMs: []string{"e1"}}
		r := New(Deps{Generator: engines, Admitter: admitter}, WithMaxPendingBytes(limit))
		done := make(chan error, 1)
		sink := &slowSink{wait: time.Minute}
		long := newCall()
		long.MaxTokens = engines.Tokens
		go func() { done <- r.Answer(t.Context(), long, sink) }()
		synctest.Wait()
		// The buffer is full and the ticket is still open, so the engine's stream waits
		// for the caller.
		require.Equal(t, 1, admitter.Open())
		require.ErrorIs(t, <-done, errSinkTimeout)
		require.LessOrEqual(t, sink.longest, limit)
		require.Zero(t, admitter.Open())
		require.Len(t, engines.Cancelled(), 1)
	})
}

// TestRandomStreamFaults checks for random sequences of stream faults that an answer
// is either complete or ends in an error after a correct prefix.
func TestRandomStreamFaults(t *testing.T) {
	kinds := []func(int) streamFault{keepFrames, dropFrame, duplicateFrame, insertOtherAttempt, insertOtherAttemptEnd, cutStream, failEngine, refuseStream}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "streams")
		var list []streamFault
		for range n {
			kind := rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")
			at := rapid.IntRange(0, tokenCount).Draw(t, "at")
			list = append(list, func(f []engine.Frame) []engine.Frame { return kinds[kind](min(at, len(f)-1))(f) })
		}
		engines := &fakes.Generator{Tokens: tokenCount, Script: faultScript(list...), Refusal: code.Errorf(code.BackendLost, "reset")}
		admitter := &fakes.Admitter{VMs: []string{"e1", "e2", "e3", "e4"}}
		r := New(Deps{Generator: engines, Admitter: admitter})
		var whole AnswerBuffer
		err := r.Answer(context.Background(), newCall(), &whole)
		want := fakes.TokenText(0, tokenCount)
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

func FuzzClassify(f *testing.F) {
	f.Add("r-0", 3, "x", 1, false, "")
	f.Add("r-1", 2, "", 0, true, "")
	f.Add("r-0", -1, "x", -5, false, "e")
	f.Fuzz(func(t *testing.T, attempt string, offset int, text string, n int, done bool, fault string) {
		p := progress{attempt: "r-0", offset: 3, maxTokens: 100}
		class := p.classify(engine.Frame{Attempt: attempt, Offset: offset, Text: text, Tokens: n, Done: done, Error: fault})
		if class != frameAccepted && class != frameLast {
			return
		}
		require.Equal(t, "r-0", attempt)
		require.Equal(t, 3, offset)
		require.GreaterOrEqual(t, n, 0)
		require.False(t, text != "" && n == 0)
		require.Empty(t, fault)
	})
}
