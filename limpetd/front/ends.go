package front

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

const (
	// endWindow is how long after a call broke off the end of its engine may be noticed: the
	// entry of an engine that ended stays in the list of servers for some seconds.
	endWindow = 10 * time.Second
	// maxBrokenPerServer bounds the broken calls that are remembered of an engine.
	maxBrokenPerServer = 64
	// breakSpread is the time within which a daemon notices that all connections to an engine
	// have ended. A call that broke off earlier has not ended the engine.
	breakSpread = 250 * time.Millisecond
	// endProbes is how often an engine that broke off a response is probed, probePause the time
	// between two probes. An engine that ended refuses connections.
	endProbes  = 2
	probePause = 300 * time.Millisecond
	// endProbers is the number of engines that are probed at a time, and maxEndProbes the
	// number that wait for a probe.
	endProbers   = 4
	maxEndProbes = 64
)

// endedCall is a call that an engine did not finish.
type endedCall struct {
	id string
	// parts are the request and the parts of its prompt.
	parts []uint64
	// server is the start of the engine.
	server *layout.Server
	// begun is whether the head of the response had arrived. age is the time from then to the
	// last bytes that the daemon received from the engine before it ended.
	begun bool
	age   time.Duration
	at    time.Time
}

// endTracker notices that engines have ended, and what ran on them. It is guarded by the mu of the
// Front.
type endTracker struct {
	// running holds the attempts at each engine, broken the calls that it broke off or that
	// were cancelled lately, both by server ID.
	running map[string]map[*attempt]bool
	broken  map[string][]endedCall
	// abandoned holds the calls whose callers left after the response had begun, while parts are
	// suspected, by server ID.
	abandoned map[string][]endedCall
	// heardAt is when an engine last sent bytes to any call, by server ID.
	heardAt map[string]time.Time
	// probing holds the servers that are being probed. A channel is closed when it is known
	// whether the server accepts connections.
	probing map[string]chan struct{}
	// probes carries the engines that are to be probed. An engine that does not fit is not
	// probed; the list of servers then shows that it has ended.
	probes chan *layout.Server
	// trials holds the calls that were sent with a prompt part on probation, by part.
	trials map[uint64]*call
	// sentAlone is when a call with a reserved part was sent last, by part.
	sentAlone map[uint64]time.Time
}

func newEndTracker() endTracker {
	return endTracker{
		running: map[string]map[*attempt]bool{}, broken: map[string][]endedCall{}, abandoned: map[string][]endedCall{}, heardAt: map[string]time.Time{}, probing: map[string]chan struct{}{},
		probes: make(chan *layout.Server, maxEndProbes), trials: map[uint64]*call{}, sentAlone: map[uint64]time.Time{},
	}
}

// add records that a call was sent to an engine.
func (t *endTracker) add(a *attempt) {
	id := a.server.ID
	if t.running[id] == nil {
		t.running[id] = map[*attempt]bool{}
	}
	t.running[id][a] = true
}

// remove records that an attempt has ended. Attempts that the engine broke off are remembered, and
// those that were cancelled, because an engine that ended may just be silent.
func (t *endTracker) remove(a *attempt, r sched.Result, now time.Time) {
	id := a.server.ID
	if !t.running[id][a] {
		return
	}
	delete(t.running[id], a)
	if len(t.running[id]) == 0 {
		delete(t.running, id)
	}
	if r != sched.Broken && r != sched.Cancelled || a.pathLost {
		return
	}
	list := slices.DeleteFunc(t.broken[id], func(e endedCall) bool { return now.Sub(e.at) > endWindow })
	if len(list) < maxBrokenPerServer {
		list = append(list, a.ended(now))
	}
	t.broken[id] = list
	if r == sched.Broken && t.probing[id] == nil {
		select {
		case t.probes <- a.server:
			t.probing[id] = make(chan struct{})
		default:
		}
	}
}

// hear records that an engine sent bytes to a call.
func (t *endTracker) hear(a *attempt, now time.Time) {
	a.lastBytesAt = now
	if t.running[a.server.ID][a] {
		t.heardAt[a.server.ID] = now
	}
}

// recordAbandoned remembers an attempt whose caller has left, if its answer may still clear the parts of its
// prompt. The caller must hold mu.
func (a *attempt) recordAbandoned(r sched.Result) {
	f := a.call.front
	list := f.ends.abandoned[a.server.ID]
	if r != sched.Cancelled || a.pathLost || a.cleared || !a.started || a.begunAt.IsZero() || f.crashes.Empty() || len(list) >= maxBrokenPerServer {
		return
	}
	f.ends.abandoned[a.server.ID] = append(list, endedCall{parts: a.call.parts, server: a.server, at: a.begunAt})
}

// clearAbandoned records that an engine has lived on after the response to a call had begun whose caller left:
// the call did not end it. The caller must hold mu.
func (f *Front) clearAbandoned(s *layout.Server, now time.Time) {
	list := f.ends.abandoned[s.ID]
	if len(list) == 0 {
		return
	}
	delete(f.ends.abandoned, s.ID)
	for _, e := range list {
		switch {
		case !e.server.SameStart(s):
		case !crash.Survived(e.at, now):
			f.ends.abandoned[s.ID] = append(f.ends.abandoned[s.ID], e)
		default:
			f.updateCrashes(now, func(l *crash.Ledger, now time.Time) { l.RecordAnswer(e.parts, e.at, now) })
		}
	}
}

// ended describes the attempt as a call that its engine did not finish.
func (a *attempt) ended(now time.Time) endedCall {
	e := endedCall{id: a.call.info.ID, parts: a.call.parts, server: a.server, begun: !a.begunAt.IsZero(), at: now}
	if e.begun {
		e.age = max(a.lastBytesAt.Sub(a.begunAt), 0)
	}
	return e
}

// aliveSince reports whether an attempt at the engine received bytes after t.
func (t *endTracker) aliveSince(id string, at time.Time) bool {
	for a := range t.running[id] {
		if a.lastBytesAt.After(at) {
			return true
		}
	}
	return false
}

// take returns the calls that ran on a start of an engine when it ended, and forgets them.
func (t *endTracker) take(s *layout.Server, now time.Time) []endedCall {
	var calls []endedCall
	for _, e := range t.broken[s.ID] {
		if e.server.SameStart(s) && now.Sub(e.at) <= endWindow && !e.at.Before(t.heardAt[s.ID].Add(-breakSpread)) {
			calls = append(calls, e)
		}
	}
	delete(t.broken, s.ID)
	for a := range t.running[s.ID] {
		if a.server.SameStart(s) {
			calls = append(calls, a.ended(now))
		}
	}
	slices.SortFunc(calls, func(a, b endedCall) int { return strings.Compare(a.id, b.id) })
	return calls
}

// replaced returns the starts of engines that broke off calls and are no longer among the servers.
func (t *endTracker) replaced(servers []*layout.Server, now time.Time) []*layout.Server {
	if len(t.broken) == 0 {
		return nil
	}
	listed := make(map[string]*layout.Server, len(servers))
	for _, s := range servers {
		listed[s.ID] = s
	}
	var gone []*layout.Server
	for id, list := range t.broken {
		last := list[len(list)-1]
		switch s := listed[id]; {
		case now.Sub(last.at) > endWindow:
			delete(t.broken, id)
		case s == nil || !s.SameStart(last.server):
			gone = append(gone, last.server)
		}
	}
	slices.SortFunc(gone, func(a, b *layout.Server) int { return strings.Compare(a.ID, b.ID) })
	return gone
}

// forget drops what is known about engines that are not among the servers.
func (t *endTracker) forget(servers []*layout.Server) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	maps.DeleteFunc(t.heardAt, func(id string, _ time.Time) bool { return !listed[id] })
	maps.DeleteFunc(t.abandoned, func(id string, _ []endedCall) bool { return !listed[id] })
}

// probeEnds probes the engines that broke off responses until ctx ends.
func (f *Front) probeEnds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-f.ends.probes:
			f.probeEnd(ctx, s)
		}
	}
}

// probeEnd finds out whether a server that broke off a response has ended.
func (f *Front) probeEnd(ctx context.Context, s *layout.Server) {
	brokenAt, ended := time.Now(), false
	for i := range endProbes {
		if i > 0 {
			f.endProbe(s, false)
			life.Sleep(ctx, probePause)
		}
		f.mu.Lock()
		alive := f.ends.aliveSince(s.ID, brokenAt)
		f.mu.Unlock()
		if alive || ctx.Err() != nil {
			break
		}
		// A server that does not answer may be silent for a while. The list of servers shows whether
		// it has ended.
		if ended = f.deps.Pool.Probe(ctx, connTarget(s)) == conns.Refuses; ended {
			break
		}
	}
	f.endProbe(s, ended && ctx.Err() == nil)
}

// endProbe records the result of a probe. Further calls that the server breaks off are probed for again.
func (f *Front) endProbe(s *layout.Server, ended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ended {
		f.recordEnd(s, time.Now())
	}
	if done := f.ends.probing[s.ID]; done != nil {
		close(done)
		delete(f.ends.probing, s.ID)
	}
}

// maxProbeWait bounds the time for which a call waits for a probe, some round trips.
const maxProbeWait = 200 * time.Millisecond

// mayEndServers reports whether a server has ended under the attempt, for which the call may be the cause:
// its response had not begun a while before, and no such call was answered lately. The caller can still
// send such a call again; here, it would end a second server before the other daemons know of the first.
func (a *attempt) mayEndServers(ctx context.Context) bool {
	f := a.call.front
	f.mu.Lock()
	done := f.ends.probing[a.server.ID]
	suspected := (a.begunAt.IsZero() || !crash.Survived(a.begunAt, a.lastBytesAt)) && !f.crashes.Remembers(a.call.parts[0])
	f.mu.Unlock()
	if !suspected {
		return false
	}
	if done != nil {
		timer := time.NewTimer(maxProbeWait)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes.HasEnded(a.server.ID, a.server.StartedAt)
}

// recordEnd records that an engine has ended, with the calls that this daemon had sent to it. The
// caller must hold mu.
func (f *Front) recordEnd(s *layout.Server, now time.Time) {
	calls := f.ends.take(s, now)
	delete(f.ends.abandoned, s.ID)
	if len(calls) == 0 {
		return
	}
	f.metrics.enginesEnded.Inc(1)
	f.deps.Log.Info("engine_ended", zap.String("server", s.ID), zap.Int("calls", len(calls)), zap.Strings("recent", describeEnded(calls)))
	f.recordCrash(s, calls, now)
}

// maxLoggedCalls bounds the calls that the log line of a server's end describes.
const maxLoggedCalls = 8

// describeEnded describes the calls whose responses had begun last, those that had not begun first:
// the id of the request, the age of its response, its identity and the parts of its prompt.
func describeEnded(calls []endedCall) []string {
	calls = slices.Clone(calls)
	slices.SortStableFunc(calls, func(a, b endedCall) int { return int(a.age - b.age) })
	var out []string
	for _, c := range calls[:min(len(calls), maxLoggedCalls)] {
		age := "waiting"
		if c.begun {
			age = c.age.Round(time.Millisecond).String()
		}
		out = append(out, fmt.Sprintf("%s:%s:%s", c.id, age, formatParts(c.parts)))
	}
	return out
}

// formatParts formats a request and the parts of its prompt, as callers name them, in hexadecimal.
func formatParts(parts []uint64) string {
	names := make([]string, 0, len(parts))
	for _, p := range parts[:min(len(parts), maxLoggedCalls)] {
		names = append(names, strconv.FormatUint(p, 16))
	}
	return strings.Join(names, "+")
}
