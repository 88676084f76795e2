package front

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// CrashObserver learns that a Front knows more about the ends of engines than before.
type CrashObserver interface {
	// CrashesChanged is called with whether this daemon has noticed an end itself since the last call.
	CrashesChanged(noticed bool)
}

// WithAllowedParts sets prompt parts that are never blocked, whatever engines they seem to end.
func WithAllowedParts(parts []uint64) Option {
	return func(f *Front) { f.allowedParts = parts }
}

// CrashFacts returns what has become known about the ends of engines after a version, and the
// current version.
func (f *Front) CrashFacts(version int64) (crash.Facts, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes.Since(version, time.Now()), f.crashes.Version()
}

// LastingCrashFacts returns what a daemon that starts must know about the ends of engines, and the
// current version.
func (f *Front) LastingCrashFacts() (crash.Facts, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes.Lasting(time.Now()), f.crashes.Version()
}

// MergeCrashFacts adds what another daemon knows about the ends of engines.
func (f *Front) MergeCrashFacts(facts crash.Facts) {
	if facts.Empty() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateCrashes(time.Now(), func(l *crash.Ledger, now time.Time) { l.Merge(facts, now) })
}

// updateCrashes changes the ledger of ends, logs the blocks that change with it, and ends the waits
// of calls that are blocked now. The caller must hold mu.
func (f *Front) updateCrashes(now time.Time, update func(*crash.Ledger, time.Time)) {
	version, before := f.crashes.Version(), f.crashes.Blocks()
	update(f.crashes, now)
	if f.crashes.Version() == version {
		return
	}
	select {
	case f.crashesChanged <- struct{}{}:
	default:
	}
	if f.logBlocks(before, now) {
		f.dispatch(now)
	}
}

// expireBlocks ends the blocks whose term is over. Calls that wait are checked when they are sent. The
// caller must hold mu.
func (f *Front) expireBlocks(now time.Time) {
	before := f.crashes.Blocks()
	if !f.crashes.Expire(now) {
		return
	}
	f.logBlocks(before, now)
	select {
	case f.crashesChanged <- struct{}{}:
	default:
	}
}

// logBlocks logs the blocks that have changed, and reports whether there are new ones. The caller must
// hold mu.
func (f *Front) logBlocks(before []crash.Block, now time.Time) bool {
	added, ended := crash.CompareBlocks(before, f.crashes.Blocks())
	for _, b := range added {
		f.metrics.partsBlocked.Inc(1)
		f.deps.Log.Warn("prompt_blocked", zap.String("parts", formatParts(b.Parts)), zap.Strings("servers", b.Servers), zap.Duration("length", b.Until.Sub(now)))
	}
	for _, b := range ended {
		f.deps.Log.Warn("prompt_unblocked", zap.String("parts", formatParts(b.Parts)))
	}
	return len(added) > 0
}

// tellCrashes tells the observer about changes of the ledger of ends until ctx ends.
func (f *Front) tellCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.crashesChanged:
			f.mu.Lock()
			noticed := f.endNoticed
			f.endNoticed = false
			f.mu.Unlock()
			if f.deps.Crashes != nil {
				f.deps.Crashes.CrashesChanged(noticed)
			}
		}
	}
}

// recordCrash records the end of an engine with the calls that this daemon had sent to it. The
// caller must hold mu.
func (f *Front) recordCrash(s *layout.Server, calls []endedCall, now time.Time) {
	f.endNoticed = true
	// The end may be noticed long after the calls broke off.
	endedAt := now
	for _, c := range calls {
		if c.at.Before(endedAt) {
			endedAt = c.at
		}
	}
	e := crash.End{Server: s.ID, StartedAt: s.StartedAt}
	for _, c := range calls {
		e.Suspects = append(e.Suspects, crash.Suspect{Call: hash(c.id), Parts: c.parts, Begun: c.begun, Age: c.age})
	}
	f.updateCrashes(now, func(l *crash.Ledger, now time.Time) { l.RecordEnd(e, endedAt, now) })
}

// recordAnswer records that an answer is complete, or goes on although it began a while ago. The
// caller must hold mu.
func (a *attempt) recordAnswer(complete bool, now time.Time) {
	f := a.call.front
	if complete {
		f.crashes.Remember(a.call.parts, now)
	}
	if a.cleared || f.crashes.Empty() || a.begunAt.IsZero() || !complete && !crash.Survived(a.begunAt, now) {
		return
	}
	a.cleared = true
	f.updateCrashes(now, func(l *crash.Ledger, now time.Time) { l.RecordAnswer(a.call.parts, a.begunAt, now) })
}

// recordAlive records that the engine answers. The caller must hold mu.
func (a *attempt) recordAlive(now time.Time) {
	f := a.call.front
	if f.crashes.Empty() {
		return
	}
	f.updateCrashes(now, func(l *crash.Ledger, now time.Time) {
		l.RecordAlive(a.server.ID, a.server.StartedAt, a.conn.OpenedAt(), a.sentAt, now)
	})
}

// SetLeading sets whether this daemon is the lease holder, which tries the calls whose block has ended.
func (f *Front) SetLeading(leading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leading = leading
}

// checkPrompt reports whether a call may be sent now, as far as it or its prompt may end servers. If not, it
// returns the choice with which the call ends. The caller must hold mu.
func (f *Front) checkPrompt(c *call, now time.Time) (sched.Choice, bool) {
	f.expireBlocks(now)
	d := f.crashes.Check(c.parts, f.leading, now)
	switch {
	case d.Verdict == crash.Blocked:
		return sched.Choice{Verdict: sched.PromptBlocked, RetryAfter: f.balancer.RetryAfterEnd(d.Until, now)}, false
	case d.Verdict == crash.Probation && (c.runs > 0 || f.ends.tries(c, d.Parts, now) || d.Alone && f.ends.waitsAlone(c, d.Parts, now)):
		return sched.Choice{Verdict: sched.PromptBlocked, RetryAfter: f.balancer.RetryAfterEnd(now.Add(crash.RetryAfter), now)}, false
	}
	return sched.Choice{}, true
}

// refuseBlocked ends the call if its prompt must not be sent now, and reports whether it did.
func (c *call) refuseBlocked(now time.Time) bool {
	f := c.front
	f.mu.Lock()
	choice, ok := f.checkPrompt(c, now)
	f.mu.Unlock()
	if !ok {
		c.endUnplaced(choice)
	}
	return !ok
}

// endBlocked ends a call whose prompt must not be sent now.
func (c *call) endBlocked(choice sched.Choice) {
	c.front.metrics.promptsRefused.Inc(1)
	c.giveUp(code.PromptBlocked, choice, "servers have ended under this request or calls with a part of its prompt")
}

// startTrial records that a call is about to be sent while parts of its prompt are on probation. The
// caller must hold mu.
func (f *Front) startTrial(c *call, now time.Time) {
	if d := f.crashes.Check(c.parts, f.leading, now); d.Verdict == crash.Probation {
		for _, p := range d.Parts {
			f.ends.trials[p] = c
			if d.Alone {
				f.ends.sentAlone[p] = now
			}
		}
	}
}

// endTrial ends the trials of a call.
func (t *endTracker) endTrial(c *call) {
	for p, tried := range t.trials {
		if tried == c {
			delete(t.trials, p)
		}
	}
}

// waitsAlone reports whether a call with a reserved part must not be sent now: another call was sent while
// one of its parts was on probation, or a call with one of parts was sent a short time ago.
func (t *endTracker) waitsAlone(c *call, parts []uint64, now time.Time) bool {
	maps.DeleteFunc(t.sentAlone, func(_ uint64, at time.Time) bool { return now.Sub(at) >= crash.AlonePause })
	for _, other := range t.trials {
		if other != c {
			return true
		}
	}
	return slices.ContainsFunc(parts, func(p uint64) bool { return !t.sentAlone[p].IsZero() })
}

// tries reports whether another call with one of parts is in flight, and its answer has not gone on
// for a while.
func (t *endTracker) tries(c *call, parts []uint64, now time.Time) bool {
	for _, p := range parts {
		if other := t.trials[p]; other != nil && other != c {
			return true
		}
	}
	for _, attempts := range t.running {
		for a := range attempts {
			answered := !a.begunAt.IsZero() && crash.Survived(a.begunAt, now)
			if a.call != c && !answered && slices.ContainsFunc(parts, func(p uint64) bool { return slices.Contains(a.call.parts, p) }) {
				return true
			}
		}
	}
	return false
}
