package engsim

import (
	"time"
)

// stepLoop runs generation steps while there are requests to serve, until the
// engine stops.
func (e *Engine) stepLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		d := e.fillBatch()
		if d == 0 {
			select {
			case <-e.tomb.Dying():
				return nil
			case <-e.wake:
			}
			continue
		}
		timer.Reset(d)
		select {
		case <-e.tomb.Dying():
			return nil
		case <-timer.C:
		}
		e.step()
	}
}

// fillBatch moves waiting requests into the batch, the lowest rank first, and
// returns the duration of the next step. It returns 0 when the batch is empty.
func (e *Engine) fillBatch() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	inst := e.instance
	for len(inst.running) < e.config.BatchLimit && len(inst.waiting) > 0 {
		next := inst.waiting[0]
		for _, g := range inst.waiting[1:] {
			if g.request.Rank < next.request.Rank {
				next = g
			}
		}
		inst.waiting = remove(inst.waiting, next)
		next.state = stateRunning
		inst.running = append(inst.running, next)
	}
	if len(inst.running) == 0 {
		return 0
	}
	prefill := 0
	for _, g := range inst.running {
		prefill += g.prefillLeft
	}
	prefill = min(prefill, e.config.ChunkTokens)
	d := e.config.StepBase + time.Duration(len(inst.running))*e.config.StepPerRequest
	return d + time.Duration(float64(prefill)/e.config.PromptTokensPerSecond*float64(time.Second))
}

// step prefills up to ChunkTokens prompt tokens, in the order in which requests
// joined the batch, and decodes a token for each running request whose prefill
// is complete.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	inst := e.instance
	now := time.Now()
	budget := e.config.ChunkTokens
	running := append([]*generation(nil), inst.running...)
	for _, g := range running {
		if g.prefillLeft > 0 && budget > 0 {
			chunk := min(g.prefillLeft, budget)
			budget -= chunk
			g.prefillLeft -= chunk
			inst.meter.prompt += chunk
			if g.prefillLeft == 0 {
				inst.cache.add(g.request.Slot, g.request.Prompt)
			}
		}
		if g.prefillLeft > 0 {
			continue
		}
		e.decode(g, now)
	}
}

// decode generates one token of g, and cancels g when it has had no reader for
// longer than Config.OrphanTimeout. e.mu is held.
func (e *Engine) decode(g *generation, now time.Time) {
	if len(g.streams) == 0 && now.Sub(g.idleSince) > e.config.OrphanTimeout {
		e.counters.cancelled++
		e.finishGeneration(g, stateCancelled)
		return
	}
	if g.tokens < g.total {
		g.tokens++
		e.counters.tokens++
		e.instance.meter.tokens++
	}
	if g.tokens < g.total {
		g.notify()
		return
	}
	e.finishGeneration(g, stateDone)
}
