// Package guard applies package budget to the HTTP servers of a process: it bounds their connections,
// closes those that are too slow, and reads bodies within the memory of the process.
//
// # Usage
//
//	g := guard.New(ctx, guard.Config{MemoryMB: 144, MaxFDs: 3075}, guard.Deps{Log: log, Scope: scope})
//	door := g.Door(listener, guard.DoorConfig{Max: g.ConnectionLimit()})
//	server := &http.Server{Handler: h, ConnState: guard.ConnState, ConnContext: guard.ConnContext}
//	server.Serve(door)
//
//	func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
//		g.BeginCall()
//		defer g.EndCall(r)
//		size, err := g.Header(w, r, headerLimit)
//		body, err := g.ReadBody(w, r, limit)
//		defer g.Release(budget.Waiting, int64(cap(body)))
//	}
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/life"
)

const (
	// DefaultMinBodyRate is the minimum rate of bodies in bytes per second. A body of 4 MiB that shares a
	// link of 10 Mbit/s with a thousand others arrives faster.
	DefaultMinBodyRate = 1 << 10
	// sweepPeriod is the time between checks for connections and bodies that are too slow.
	sweepPeriod = 250 * time.Millisecond
	// maxSweepGap is the longest time between two checks. After a longer one, the process was suspended and
	// could not read: the time does not count.
	maxSweepGap = time.Second
	// maxWait is how long a body waits for memory before it is refused.
	maxWait = 2 * time.Second
)

// Config holds the limits of a process; 0 means no limit.
type Config struct {
	MemoryMB, MaxFDs int
	// MinBodyRate is the minimum rate of bodies in bytes per second; 0 means DefaultMinBodyRate.
	MinBodyRate int64
}

// Deps are the dependencies of a Guard. They may be nil.
type Deps struct {
	Log   *zap.Logger
	Scope tally.Scope
}

// Guard bounds what a process holds for its clients. It is safe for concurrent use.
type Guard struct {
	tomb    *tomb.Tomb
	config  Config
	log     *zap.Logger
	metrics metrics

	mu      sync.Mutex
	account *budget.Account
	nextID  budget.ID
	// parts are the bodies and headers that are arriving.
	parts map[budget.ID]part
	doors []*Door
	// freed is closed and replaced when memory becomes free while bodies wait for it.
	freed   chan struct{}
	waiting int
	sweptAt time.Time
}

// part is a body or header that is arriving. end is called without the lock of the Guard.
type part interface{ end(r reason) }

// reason is why a part is ended.
type reason int

const (
	none reason = iota
	shortMemory
	slowBody
)

// New returns a Guard. Its goroutine runs until ctx ends.
func New(ctx context.Context, c Config, d Deps) *Guard {
	t, ctx := life.WithContext(ctx)
	g := newGuard(c, d)
	g.tomb = t
	t.Go(func() error {
		for life.Sleep(ctx, sweepPeriod) {
			g.sweep(time.Now())
		}
		return nil
	})
	return g
}

// Unlimited returns a Guard that only keeps the account. It has no goroutine.
func Unlimited() *Guard { return newGuard(Config{}, Deps{}) }

func newGuard(c Config, d Deps) *Guard {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if c.MinBodyRate == 0 {
		c.MinBodyRate = DefaultMinBodyRate
	}
	return &Guard{
		config: c, log: d.Log, metrics: newMetrics(d.Scope), account: budget.New(budget.Bytes(c.MemoryMB)),
		parts: map[budget.ID]part{}, freed: make(chan struct{}), sweptAt: time.Now(),
	}
}

// Wait returns when the goroutine of the Guard has ended.
func (g *Guard) Wait() error { return g.tomb.Wait() }

// ConnectionLimit returns the limit of connections of callers; 0 means no limit.
func (g *Guard) ConnectionLimit() int {
	return budget.ConnectionLimit(g.config.MemoryMB, g.config.MaxFDs)
}

// Charge adds n bytes for what exists, Release subtracts them.
func (g *Guard) Charge(k budget.Kind, n int64) {
	if n == 0 {
		return
	}
	g.mu.Lock()
	g.account.Charge(k, n)
	g.mu.Unlock()
}

// Used returns the memory in bytes that is charged for a kind.
func (g *Guard) Used(k budget.Kind) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Used(k)
}

// Release subtracts n bytes that were charged.
func (g *Guard) Release(k budget.Kind, n int64) {
	if n == 0 {
		return
	}
	g.mu.Lock()
	g.account.Charge(k, -n)
	g.notifyFreed()
	g.mu.Unlock()
}

// notifyFreed wakes the bodies that wait for memory. The lock must be held.
func (g *Guard) notifyFreed() {
	if g.waiting > 0 {
		close(g.freed)
		g.freed = make(chan struct{})
	}
}

// begin adds a part, and returns its id. The lock must be held.
func (g *Guard) begin(p part, k budget.Kind, known bool, now time.Time) budget.ID {
	g.nextID++
	g.parts[g.nextID] = p
	g.account.Begin(g.nextID, k, known, now)
	return g.nextID
}

// finish removes a part, and reports whether it had not been dropped. The lock must be held.
func (g *Guard) finish(id budget.ID) bool {
	delete(g.parts, id)
	ok := g.account.End(id)
	g.notifyFreed()
	return ok
}

// ask asks for n bytes more for a part, and waits for them for at most maxWait. It reports whether the part
// may hold them.
func (g *Guard) ask(id budget.ID, n int64) bool { return g.askWithin(id, n, maxWait) }

// askWithin is ask with another limit of the wait.
func (g *Guard) askWithin(id budget.ID, n int64, wait time.Duration) bool {
	var end time.Time
	for {
		now := time.Now()
		if end.IsZero() {
			end = now.Add(wait)
		}
		g.mu.Lock()
		d := g.account.Ask(id, n, now)
		dropped := g.take(d.Drop)
		for _, p := range dropped {
			if b, ok := p.(*reader); ok && b.conn != nil {
				b.conn.pendingFree += b.attached
			}
		}
		if d.Verdict == budget.Waits && !now.Before(end) {
			d.Verdict = budget.Refused
		}
		freed := g.freed
		if d.Verdict == budget.Waits {
			g.waiting++
		}
		g.mu.Unlock()
		g.endAll(dropped, shortMemory)
		switch d.Verdict {
		case budget.Admitted:
			return true
		case budget.Refused:
			return false
		}
		select {
		case <-freed:
		case <-time.After(sweepPeriod):
		}
		g.mu.Lock()
		g.waiting--
		g.mu.Unlock()
	}
}

// take removes the parts with the given ids and returns them. The lock must be held.
func (g *Guard) take(ids []budget.ID) []part {
	var taken []part
	for _, id := range ids {
		if p := g.parts[id]; p != nil {
			taken = append(taken, p)
			delete(g.parts, id)
		}
	}
	return taken
}

// endAll ends parts that were dropped.
func (g *Guard) endAll(parts []part, r reason) {
	for _, p := range parts {
		p.end(r)
	}
	if len(parts) == 0 {
		return
	}
	if r == slowBody {
		g.metrics.slow.Inc(int64(len(parts)))
	} else {
		g.metrics.dropped.Inc(int64(len(parts)))
	}
}

// sweep ends the connections and bodies that are too slow, and updates the metrics.
func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	gap := now.Sub(g.sweptAt)
	g.sweptAt = now
	if gap > maxSweepGap {
		g.account.Restart(now)
	}
	var expired []*conn
	for _, d := range g.doors {
		expired = d.sweep(expired, gap, now)
	}
	slow := g.take(g.account.Slow(g.config.MinBodyRate, now))
	for _, k := range budget.Kinds() {
		g.metrics.memory[k].Update(float64(g.account.Used(k)))
	}
	if len(slow) > 0 {
		g.notifyFreed()
	}
	g.mu.Unlock()
	g.endAll(slow, slowBody)
	for _, c := range expired {
		_ = c.Close()
	}
	g.metrics.expired.Inc(int64(len(expired)))
}
