package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// mark is a fault of a server or of a daemon, at a time or for a time.
type mark struct {
	kind   string
	target int
	at, to time.Time
	// signalled is when a reset of a stopped server was requested; zero if the server was not stopped.
	signalled time.Time
}

// maxFaultDelay is how long after its signal a fault may act on a server that is stopped, markDelay how late the bytes
// before a fault may arrive at a caller.
const (
	maxFaultDelay = 1600 * time.Millisecond
	markDelay     = 20 * time.Millisecond
	// resumeDelay is how long after a stop a daemon may still forward what arrived before.
	resumeDelay = 400 * time.Millisecond
)

// causeOf returns the first fault of a server that ran a call, or of its daemon, after the last bytes of the response, or
// the last one if there is none. Bytes that a daemon forwarded after a stop count as received before the stop.
func (r *endsRun) causeOf(c *endsCall, servers map[int]bool) string {
	last := c.last
	for _, m := range slices.Backward(r.marks) {
		if m.kind == stoppedDaemon && m.target == c.daemon && !last.Before(m.at) && last.Before(m.to.Add(resumeDelay)) {
			last = m.at
		}
	}
	cause := noFault
	for _, m := range r.marks {
		ofDaemon := m.kind == killedDaemon && m.target == c.daemon
		ofServer := servers[m.target] && (m.kind == killedServer || m.kind == resetServer && !r.lasts(killedServer, m.target, m.at))
		if !ofServer && !ofDaemon || m.at.Before(c.begin.Add(-maxFaultDelay)) || m.at.After(c.end) {
			continue
		}
		cause = m.kind
		if ofServer && r.lasts(stoppedDaemon, c.daemon, m.at) {
			cause += atStoppedDaemon
		}
		if m.at.After(last.Add(-markDelay)) {
			break
		}
	}
	if c.early == earlyBroken && !strings.HasPrefix(cause, killedServer) {
		return besideUpload
	}
	return cause
}

// delayResets moves the resets of servers that were stopped to when they went on. Those of servers that were killed
// before had no effect.
func (r *endsRun) delayResets() {
	var marks []mark
	for _, m := range r.marks {
		if m.kind == resetServer {
			for _, stop := range r.marks {
				if stop.kind == stoppedServer && stop.target == m.target && !m.at.Before(stop.at) && m.at.Before(stop.to) {
					m.signalled, m.at, m.to = m.at, stop.to, stop.to
				}
			}
			killed := slices.ContainsFunc(r.marks, func(k mark) bool {
				return k.kind == killedServer && k.target == m.target && k.at.After(m.signalled) && k.at.Before(m.at)
			})
			if !m.signalled.IsZero() && killed {
				continue
			}
		}
		marks = append(marks, m)
	}
	slices.SortStableFunc(marks, func(a, b mark) int { return a.at.Compare(b.at) })
	r.marks = marks
}

// faultsOf describes the faults of the servers of a call and of its daemon from maxFaultDelay before the call on.
func (r *endsRun) faultsOf(c *endsCall, servers map[int]bool) []string {
	since := func(t time.Time) time.Duration { return t.Sub(c.begin).Round(time.Millisecond) }
	var faults []string
	for _, m := range r.marks {
		ofDaemon := (m.kind == killedDaemon || m.kind == stoppedDaemon) && m.target == c.daemon
		ofServer := m.kind != killedDaemon && m.kind != stoppedDaemon && servers[m.target]
		if (ofDaemon || ofServer) && m.to.After(c.begin.Add(-maxFaultDelay)) && m.at.Before(c.end) {
			faults = append(faults, fmt.Sprintf("%s %d: %s to %s", m.kind, m.target, since(m.at), since(m.to)))
		}
	}
	return append(faults, fmt.Sprintf("last bytes: %s, end: %s", since(c.last), since(c.end)))
}

// lasts reports whether a fault of a target lasts at a time.
func (r *endsRun) lasts(kind string, target int, at time.Time) bool {
	return slices.ContainsFunc(r.marks, func(m mark) bool {
		return m.kind == kind && m.target == target && !at.Before(m.at) && !at.After(m.to)
	})
}
