package engsim

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// state is how far a generation is.
type state int

const (
	stateWaiting state = iota
	stateRunning
	stateDone
	stateCancelled
	stateBroken
)

// generation is an attempt at an answer.
type generation struct {
	request engine.Request
	base    uint64
	state   state
	// tokens counts those of the whole answer that exist, total all.
	tokens int
	total  int
	reason string
	// prefill counts prompt tokens still to process.
	prefill int
	slot    *residence
	model   *residence
	streams []*stream
	// idle is since when there is no reader, ended when the end came.
	idle  time.Time
	ended time.Time
}

// notify wakes the streams of g.
func (g *generation) notify() {
	for _, s := range g.streams {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// end puts g into a final state.
func (g *generation) end(s state) {
	g.state = s
	g.ended = time.Now()
	g.notify()
}

// over tells whether g has ended.
func (g *generation) over() bool {
	return g.state >= stateDone
}

// Generate begins an attempt, or follows the one with the same id.
func (e *Engine) Generate(ctx context.Context, r engine.Request) (engine.Frames, error) {
	a := e.fault("generate", r.Attempt)
	switch a.Kind {
	case fault.Down:
		return nil, code.Errorf(code.BackendFailed, "the engine is down")
	case fault.Drop:
		return nil, code.Errorf(code.BackendLost, "no answer")
	case fault.Refuse:
		e.count(func(b *books) { b.refused++ })
		return nil, refused("busy")
	case fault.Restart:
		e.Restart()
	case fault.Delay:
		if !life.Sleep(ctx, a.Delay) {
			return nil, code.Errorf(code.BackendLost, "no answer: %w", ctx.Err())
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g, err := e.start(r)
	if err != nil {
		return nil, err
	}
	if a.Kind == fault.Lost {
		return nil, code.Errorf(code.BackendLost, "no answer")
	}
	return e.follow(ctx, g, r.GeneratedTokens), nil
}

// refused is the error of a generation that was not run.
func refused(reason string) error {
	return code.WithRun(code.Errorf(code.BackendFailed, "the engine refused: %s", reason), code.RunNo)
}

// start finds or begins the generation of r. e.mu is held.
func (e *Engine) start(r engine.Request) (*generation, error) {
	if g, ok := e.life.generations[r.Attempt]; ok {
		return g, nil
	}
	held := e.life.resident[r.Slot]
	if held == nil || len(held.unload) > 0 {
		e.books.refused++
		return nil, refused(r.Slot.String() + " is not loaded")
	}
	b := base(r.Slot, r.Prompt)
	total, reason := length(b, r.MaxTokens)
	cached := e.life.cache.cached(r.Slot, r.Prompt)
	prompt := promptTokens(r.Prompt) + r.GeneratedTokens
	g := &generation{
		request: r,
		base:    b,
		tokens:  min(r.GeneratedTokens, total),
		total:   total,
		reason:  reason,
		prefill: max(prompt-cached, 1),
		slot:    held,
		idle:    time.Now(),
	}
	held.users++
	if r.Slot.Adapter != "" {
		g.model = e.life.base(r.Slot.Model)
		g.model.users++
	}
	e.books.ran(r.Prompt)
	e.books.promptTokens += int64(prompt)
	e.books.cachedTokens += int64(prompt - g.prefill)
	e.life.generations[r.Attempt] = g
	e.life.waiting = append(e.life.waiting, g)
	e.signal()
	return g, nil
}

// Resume continues the stream of an attempt from an offset in tokens.
func (e *Engine) Resume(ctx context.Context, attempt string, offset int) (engine.Frames, error) {
	a := e.fault("resume", attempt)
	switch a.Kind {
	case fault.Down:
		return nil, code.Errorf(code.BackendFailed, "the engine is down")
	case fault.Drop, fault.Lost:
		return nil, code.Errorf(code.BackendLost, "no answer")
	case fault.Refuse:
		return nil, refused("busy")
	case fault.Restart:
		e.Restart()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.life.generations[attempt]
	if !ok || g.state == stateCancelled {
		return nil, refused("no such attempt")
	}
	e.books.resumed++
	return e.follow(ctx, g, offset), nil
}

// Cancel ends an attempt.
func (e *Engine) Cancel(_ context.Context, attempt string) error {
	a := e.fault("cancel", attempt)
	switch a.Kind {
	case fault.Down:
		return code.Errorf(code.BackendFailed, "the engine is down")
	case fault.Drop:
		return code.Errorf(code.BackendLost, "no answer")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.life.generations[attempt]; ok && !g.over() {
		e.books.cancelled++
		e.finish(g, stateCancelled)
	}
	if a.Kind == fault.Lost {
		return code.Errorf(code.BackendLost, "no answer")
	}
	return nil
}

// finish ends a generation and frees its slots. e.mu is held.
func (e *Engine) finish(g *generation, s state) {
	g.end(s)
	g.slot.users--
	if g.model != nil {
		g.model.users--
		e.finishUnload(e.slotOf(g.model))
	}
	e.finishUnload(g.request.Slot)
	e.life.running = without(e.life.running, g)
	e.life.waiting = without(e.life.waiting, g)
}

// slotOf returns the slot of a residence. e.mu is held.
func (e *Engine) slotOf(held *residence) envdoc.Slot {
	for s, r := range e.life.resident {
		if r == held {
			return s
		}
	}
	return envdoc.Slot{}
}

// without returns all but g, in order.
func without(all []*generation, g *generation) []*generation {
	for i, o := range all {
		if o == g {
			return append(all[:i], all[i+1:]...)
		}
	}
	return all
}

// count changes the books.
func (e *Engine) count(change func(*books)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.books)
}
