package front

import (
	"context"
	"errors"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

const (
	// silenceCheckInterval is the time between checks for a silent server.
	silenceCheckInterval = 250 * time.Millisecond
	// A check that is late by maxCheckDelay shows that this daemon stood still, and says nothing about servers.
	maxCheckDelay = 500 * time.Millisecond
	// After silenceProbe without bytes from a server, the daemon probes whether the server
	// accepts connections. After silenceFailover, a call moves to another server even if
	// the probe succeeded. Callers abandon a stream after two seconds of silence.
	silenceProbe    = 700 * time.Millisecond
	silenceFailover = 1600 * time.Millisecond
)

// errSilent means that a server sent nothing for too long, errPathLost that the connection gets no
// answer because the path to the server is lost.
var (
	errSilent   = errors.New("the backend server is silent")
	errPathLost = errors.New("the path to the backend server is lost")
)

// awaitBytes waits for bytes from the server. A call that can be retried stops waiting if its connection
// gets no answer because the path to the server is lost, or if the server sends nothing to any call of this
// daemon and has ended, or sends nothing for longer and another server can take the call. Silence alone is
// no failure: a busy engine pauses its streams, and a sound one may be silent for a second.
func (a *attempt) awaitBytes(ctx context.Context) error {
	c := a.call
	since := time.Now()
	probed := false
	for {
		due := time.Now().Add(silenceCheckInterval)
		if a.conn.WaitReadable(due) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		now := time.Now()
		if now.Sub(due) > maxCheckDelay {
			since = now
		}
		if !c.mayRepeat() || now.Sub(since) < silenceProbe {
			continue
		}
		if a.conn.Hangs() {
			return errPathLost
		}
		if a.silence(now) < silenceProbe {
			continue
		}
		if !probed {
			probed = true
			if c.front.deps.Pool.Probe(ctx, connTarget(a.server)) == conns.Refuses {
				return errSilent
			}
		}
		if min(a.silence(now), now.Sub(since)) >= silenceFailover && c.reserveAlternative(now) {
			return errSilent
		}
	}
}

// silence returns how long the server has sent nothing to any call of this daemon.
func (a *attempt) silence(now time.Time) time.Duration {
	f := a.call.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.SilentFor(a.server.ID, now)
}
