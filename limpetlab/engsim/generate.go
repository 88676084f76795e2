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

// generationState is the state of a generation. States from stateDone on are
// final.
type generationState int

const (
	stateWaiting generationState = iota
	stateRunning
	stateDone
	stateCancelled
	// stateBroken is the state of all generations of an instance that a restart
	// has replaced.
	stateBroken
)

// generation is an attempt to generate the answer to a request.
type generation struct {
	request engine.Request
	// hash is the hash from which the text is derived.
	hash  uint64
	state generationState
	// tokens is the number of tokens of the answer that are available, total
	// the length of the complete answer.
	tokens int
	total  int
	// reason is the finish reason of the complete answer.
	reason string
	// prefillLeft is the number of prompt tokens that are not yet prefilled.
	prefillLeft int
	slot        *loadedSlot
	// baseModel is the model that the slot's adapter uses, nil without adapter.
	baseModel *loadedSlot
	streams   []*stream
	// idleSince is when the generation started or when a reader last closed its
	// stream; endedAt is when the generation entered a final state.
	idleSince time.Time
	endedAt   time.Time
}

// notify wakes the readers of g.
func (g *generation) notify() {
	for _, s := range g.streams {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// end moves g to a final state and wakes its readers.
func (g *generation) end(s generationState) {
	g.state = s
	g.endedAt = time.Now()
	g.notify()
}

// hasEnded reports whether g is in a final state.
func (g *generation) hasEnded() bool {
	return g.state >= stateDone
}

// Generate starts an attempt, or attaches to the existing attempt with the same
// ID, and returns its stream.
func (e *Engine) Generate(ctx context.Context, r engine.Request) (engine.Frames, error) {
	action := e.faultAt("generate", r.Attempt)
	switch action.Kind {
	case fault.Down:
		return nil, code.Errorf(code.BackendFailed, "engine is down")
	case fault.Drop:
		return nil, code.Errorf(code.BackendLost, "no answer to the generation request")
	case fault.Refuse:
		e.updateCounters(func(c *counters) { c.refused++ })
		return nil, notRunError("busy")
	case fault.Restart:
		e.Restart()
	case fault.Delay:
		if !life.Sleep(ctx, action.Delay) {
			return nil, code.Errorf(code.BackendLost, "no answer to the generation request: %w", ctx.Err())
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g, err := e.startGeneration(r)
	if err != nil {
		return nil, err
	}
	if action.Kind == fault.Lost {
		return nil, code.Errorf(code.BackendLost, "no answer to the generation request")
	}
	return e.newStream(ctx, g, r.GeneratedTokens), nil
}

// notRunError returns the error of a generation that the engine refused and did
// not run.
func notRunError(reason string) error {
	return code.WithRun(code.Errorf(code.BackendFailed, "engine refused the request: %s", reason), code.RunNo)
}

// startGeneration returns the generation of r, and starts the generation if none
// exists. e.mu is held.
func (e *Engine) startGeneration(r engine.Request) (*generation, error) {
	if g, ok := e.instance.generations[r.Attempt]; ok {
		return g, nil
	}
	loaded := e.instance.resident[r.Slot]
	if loaded == nil || len(loaded.unloadOrders) > 0 {
		e.counters.refused++
		return nil, notRunError(r.Slot.String() + " is not loaded")
	}
	hash := answerHash(r.Slot, r.Prompt)
	total, reason := answerLength(hash, r.MaxTokens)
	cached := e.instance.cache.cachedTokens(r.Slot, r.Prompt)
	prompt := promptTokens(r.Prompt) + r.GeneratedTokens
	g := &generation{
		request:     r,
		hash:        hash,
		tokens:      min(r.GeneratedTokens, total),
		total:       total,
		reason:      reason,
		prefillLeft: max(prompt-cached, 1),
		slot:        loaded,
		idleSince:   time.Now(),
	}
	loaded.users++
	if r.Slot.Adapter != "" {
		g.baseModel = e.instance.baseModel(r.Slot.Model)
		g.baseModel.users++
	}
	e.counters.countRun(r.Prompt)
	e.counters.promptTokens += int64(prompt)
	e.counters.cachedTokens += int64(prompt - g.prefillLeft)
	e.instance.generations[r.Attempt] = g
	e.instance.waiting = append(e.instance.waiting, g)
	e.signal()
	return g, nil
}

// Resume returns a stream of an attempt from an offset in tokens.
func (e *Engine) Resume(ctx context.Context, attempt string, offset int) (engine.Frames, error) {
	action := e.faultAt("resume", attempt)
	switch action.Kind {
	case fault.Down:
		return nil, code.Errorf(code.BackendFailed, "engine is down")
	case fault.Drop, fault.Lost:
		return nil, code.Errorf(code.BackendLost, "no answer to the resume request")
	case fault.Refuse:
		return nil, notRunError("busy")
	case fault.Restart:
		e.Restart()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.instance.generations[attempt]
	if !ok || g.state == stateCancelled {
		return nil, notRunError("no such attempt")
	}
	e.counters.resumed++
	return e.newStream(ctx, g, offset), nil
}

// Cancel cancels an attempt that has not ended.
func (e *Engine) Cancel(_ context.Context, attempt string) error {
	action := e.faultAt("cancel", attempt)
	switch action.Kind {
	case fault.Down:
		return code.Errorf(code.BackendFailed, "engine is down")
	case fault.Drop:
		return code.Errorf(code.BackendLost, "no answer to the cancel request")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.instance.generations[attempt]; ok && !g.hasEnded() {
		e.counters.cancelled++
		e.finishGeneration(g, stateCancelled)
	}
	if action.Kind == fault.Lost {
		return code.Errorf(code.BackendLost, "no answer to the cancel request")
	}
	return nil
}

// finishGeneration ends a generation and releases its slots, which completes
// unload orders that wait for the generation. e.mu is held.
func (e *Engine) finishGeneration(g *generation, s generationState) {
	g.end(s)
	g.slot.users--
	if g.baseModel != nil {
		g.baseModel.users--
		e.finishUnload(e.slotOf(g.baseModel))
	}
	e.finishUnload(g.request.Slot)
	e.instance.running = remove(e.instance.running, g)
	e.instance.waiting = remove(e.instance.waiting, g)
}

// slotOf returns the slot that a loadedSlot describes. e.mu is held.
func (e *Engine) slotOf(loaded *loadedSlot) envdoc.Slot {
	for s, r := range e.instance.resident {
		if r == loaded {
			return s
		}
	}
	return envdoc.Slot{}
}

// remove removes g from all in place and keeps the order of the rest.
func remove(all []*generation, g *generation) []*generation {
	for i, o := range all {
		if o == g {
			return append(all[:i], all[i+1:]...)
		}
	}
	return all
}

// updateCounters applies a change to the counters.
func (e *Engine) updateCounters(change func(*counters)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counters)
}
