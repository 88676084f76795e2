package engsim

import (
	"context"
	"io"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// stream reads the frames of a generation.
type stream struct {
	engine     *Engine
	ctx        context.Context
	generation *generation
	// changed tells of new tokens. One signal is enough, so that more are
	// dropped while it is full.
	changed chan struct{}
	offset  int
	ended   bool
	// queued are frames that a fault put in front.
	queued []engine.Frame
}

var _ engine.Frames = (*stream)(nil)

// follow returns a stream of g from an offset. e.mu is held.
func (e *Engine) follow(ctx context.Context, g *generation, offset int) *stream {
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
		f, ready, err := s.take()
		if err != nil {
			return engine.Frame{}, err
		}
		if ready {
			return s.spoil(f)
		}
		select {
		case <-s.changed:
		case <-s.ctx.Done():
			return engine.Frame{}, code.Errorf(code.CallerGone, "the reader ended: %w", s.ctx.Err())
		}
	}
}

// take returns a frame of all tokens that are new.
func (s *stream) take() (engine.Frame, bool, error) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	g := s.generation
	if g.state == stateBroken {
		return engine.Frame{}, false, code.Errorf(code.BackendLost, "the engine restarted")
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
		Text:    text(g.base, s.offset, g.tokens),
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

// spoil applies the fault of a frame.
func (s *stream) spoil(f engine.Frame) (engine.Frame, error) {
	a := s.engine.fault("frame", f.Attempt)
	switch a.Kind {
	case fault.Drop, fault.Down, fault.Lost:
		s.ended = true
		return engine.Frame{}, code.Errorf(code.BackendLost, "the stream broke")
	case fault.Restart:
		s.engine.Restart()
		return engine.Frame{}, code.Errorf(code.BackendLost, "the engine restarted")
	case fault.Refuse:
		s.ended = true
		return engine.Frame{Attempt: f.Attempt, Offset: f.Offset, Error: "fault"}, nil
	case fault.Delay:
		time.Sleep(a.Delay)
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
			g.idle = time.Now()
			break
		}
	}
	return nil
}
