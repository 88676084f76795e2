package engsim

import (
	"time"
)

// stepDuty runs generation steps while there is work.
func (e *Engine) stepDuty() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		d := e.plan()
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

// plan fills the batch and returns the time of the next step, 0 for no work.
func (e *Engine) plan() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	for len(l.running) < e.config.BatchLimit && len(l.waiting) > 0 {
		next := l.waiting[0]
		for _, g := range l.waiting[1:] {
			if g.request.Rank < next.request.Rank {
				next = g
			}
		}
		l.waiting = without(l.waiting, next)
		next.state = stateRunning
		l.running = append(l.running, next)
	}
	if len(l.running) == 0 {
		return 0
	}
	prefill := 0
	for _, g := range l.running {
		prefill += g.prefill
	}
	prefill = min(prefill, e.config.ChunkTokens)
	d := e.config.StepBase + time.Duration(len(l.running))*e.config.StepPerRequest
	return d + time.Duration(float64(prefill)/e.config.PromptTokensPerSecond*float64(time.Second))
}

// step processes prompts in the order of ranks, and generates a token for each
// running request whose prompt is processed.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	now := time.Now()
	budget := e.config.ChunkTokens
	running := append([]*generation(nil), l.running...)
	for _, g := range running {
		if g.prefill > 0 && budget > 0 {
			part := min(g.prefill, budget)
			budget -= part
			g.prefill -= part
			l.meter.prompt += part
			if g.prefill == 0 {
				l.cache.add(g.request.Slot, g.request.Prompt)
			}
		}
		if g.prefill > 0 {
			continue
		}
		e.token(g, now)
	}
}

// token generates one token of g. e.mu is held.
func (e *Engine) token(g *generation, now time.Time) {
	if len(g.streams) == 0 && now.Sub(g.idle) > e.config.Orphan {
		e.books.cancelled++
		e.finish(g, stateCancelled)
		return
	}
	if g.tokens < g.total {
		g.tokens++
		e.books.tokens++
		e.life.meter.tokens++
	}
	if g.tokens < g.total {
		g.notify()
		return
	}
	e.finish(g, stateDone)
}
