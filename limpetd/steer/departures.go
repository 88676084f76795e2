package steer

import "time"

// leavingTerm is how long the lease holder tells the other daemons that a server is leaving. Each
// of them also learns it from the server's next response.
const leavingTerm = 5 * time.Second

// RecordLeaving tells the other daemons that a server has announced that it is leaving.
func (s *Controller) RecordLeaving(id string, startedAt int64) {
	s.mu.Lock()
	s.nextReport.leaving = append(s.nextReport.leaving, serverStart{ID: id, StartedAt: startedAt})
	s.mu.Unlock()
	notify(s.reportNow)
}

// markLeaving passes servers that are leaving to this daemon.
func (s *Controller) markLeaving(list []serverStart) {
	if s.deps.Departures == nil {
		return
	}
	for _, l := range list {
		s.deps.Departures.MarkLeaving(l.ID, l.StartedAt)
	}
}

// addLeaving records servers that announced that they are leaving.
func (p *planState) addLeaving(list []serverStart, now time.Time) {
	for _, l := range list {
		p.leaving[l] = now
	}
}

// recentlyLeaving returns the servers that announced their leaving within leavingTerm, and forgets
// the others.
func (p *planState) recentlyLeaving(now time.Time) []serverStart {
	var list []serverStart
	for l, at := range p.leaving {
		if now.Sub(at) > leavingTerm {
			delete(p.leaving, l)
			continue
		}
		list = append(list, l)
	}
	return list
}
