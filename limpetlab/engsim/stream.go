package engsim

import (
	"context"
	"io"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// stream is a reader of the frames of a generation.
type stream struct {
	engine     *Engine
	ctx        context.Context
	generation *generation
	// changed signals new tokens or a new state. It buffers one signal; further
	// signals are dropped until the reader has received that signal.
	changed chan struct{}
	// offset is the number of tokens of the answer before the next frame.
	offset int
	ended  bool
	// queued are frames that an injected fault adds; Next returns them first.
	queued []engine.Frame
}

var _ engine.Frames = (*stream)(nil)

// newStream attaches a reader to g that starts at an offset in tokens. e.mu is
// held.
func (e *Engine) newStream(ctx context.Context, g *generation, offset int) *stream {
	s := &stream{
		engine:     e,
		ctx:        ctx,
		generation: g,
		changed:    make(chan struct{}, 1),
		offset:     min(offset, g.total),
	}
	g.streams = append(g.streams, s)
	return s
}

// Next implements engine.Frames.
func (s *stream) Next() (engine.Frame, error) {
	if len(s.queued) > 0 {
		f := s.queued[0]
		s.queued = s.queued[1:]
		return f, nil
	}
	if s.ended {
		return engine.Frame{}, io.EOF
	}
	for {
		f, ready, err := s.nextFrame()
		if err != nil {
			return engine.Frame{}, err
		}
		if ready {
			return s.applyFrameFault(f)
		}
		select {
		case <-s.changed:
		case <-s.ctx.Done():
			return engine.Frame{}, code.Errorf(code.CallerGone, "context of the reader ended: %w", s.ctx.Err())
		}
	}
}

// nextFrame returns a frame with all tokens that the stream has not yet
// delivered. It reports false when there is nothing to deliver.
func (s *stream) nextFrame() (engine.Frame, bool, error) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	g := s.generation
	if g.state == stateBroken {
		return engine.Frame{}, false, code.Errorf(code.BackendLost, "engine restarted during the stream")
	}
	if g.state == stateCancelled {
		s.ended = true
		return engine.Frame{Attempt: g.request.Attempt, Offset: s.offset, Error: "cancelled"}, true, nil
	}
	if g.tokens == s.offset && g.state != stateDone {
		return engine.Frame{}, false, nil
	}
	f := engine.Frame{
		Attempt: g.request.Attempt,
		Offset:  s.offset,
		Text:    tokenText(g.hash, s.offset, g.tokens),
		Tokens:  g.tokens - s.offset,
	}
	s.offset = g.tokens
	if g.state == stateDone {
		f.Done = true
		f.Reason = g.reason
		s.ended = true
	}
	return f, true, nil
}

// applyFrameFault applies the fault that the hook injects into a frame.
func (s *stream) applyFrameFault(f engine.Frame) (engine.Frame, error) {
	action := s.engine.faultAt("frame", f.Attempt)
	switch action.Kind {
	case fault.Drop, fault.Down, fault.Lost:
		s.ended = true
		return engine.Frame{}, code.Errorf(code.BackendLost, "stream broke")
	case fault.Restart:
		s.engine.Restart()
		return engine.Frame{}, code.Errorf(code.BackendLost, "engine restarted during the stream")
	case fault.Refuse:
		s.ended = true
		return engine.Frame{Attempt: f.Attempt, Offset: f.Offset, Error: "fault"}, nil
	case fault.Delay:
		time.Sleep(action.Delay)
	case fault.Duplicate:
		s.queued = append(s.queued, f)
		if f.Done {
			f.Done, f.Reason = false, ""
		}
	case fault.Cross:
		s.queued = append(s.queued, f)
		return engine.Frame{Attempt: "other-" + f.Attempt, Offset: f.Offset, Text: "crossed ", Tokens: 1}, nil
	}
	return f, nil
}

// Close implements engine.Frames.
func (s *stream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	g := s.generation
	for i, o := range g.streams {
		if o == s {
			g.streams = append(g.streams[:i], g.streams[i+1:]...)
			g.idleSince = time.Now()
			break
		}
	}
	return nil
}
