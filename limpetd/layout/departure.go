package layout

import "time"

// departureRetention is how long the departure of a server is remembered after its entry is gone.
// A store may be restored from a copy that is some seconds old.
const departureRetention = time.Minute

// restoredEntryTerm is how long the entry of a server that was gone counts for nothing after the list
// was restored. By then the entry has expired again, or the server runs.
const restoredEntryTerm = 5 * time.Second

// departure records that one start of a server is leaving or gone.
type departure struct {
	startedAt int64
	at        time.Time
	// gone is whether the entry of the server was removed. A server whose entry was not is
	// leaving.
	gone bool
	// announced is whether the server itself announced that it is leaving, whatever its entry
	// says.
	announced bool
	// restoredAt is when the list was restored after the departure, and revision the revision
	// of the server's entry in the restored list. restoredAt is zero if the list was not
	// restored.
	restoredAt time.Time
	revision   int64
}

// MarkLeaving records that a start of a server has announced that it is leaving. It reports
// whether this was not known.
func (r *Roster) MarkLeaving(id string, startedAt int64, now time.Time) bool {
	d := r.departures[id]
	if d.startedAt != startedAt {
		d = departure{startedAt: startedAt}
	}
	if d.announced {
		return false
	}
	d.announced, d.at = true, now
	r.departures[id] = d
	return true
}

// SetRestored records that the list is about to be replaced by an earlier state of itself, from a
// copy. Servers whose entries were written since the copy was made write them again, so their
// entries may be missing for a while. Entries of servers that have departed since may be back.
func (r *Roster) SetRestored(now time.Time) {
	r.restored = true
	if !r.unreadable {
		r.readableSince = now
	}
}

// recordDepartures records the servers that the new list shows as leaving or no longer has. The
// entries of a restored list say nothing new about servers that have departed before.
func (r *Roster) recordDepartures(servers map[string]*Server, now time.Time) {
	for id, s := range r.listed {
		if servers[id] == nil && r.kept[id] == nil {
			r.recordGone(s, now)
		}
	}
	for id, s := range servers {
		d, known := r.departures[id]
		known = known && d.startedAt == s.StartedAt
		writtenAgain := !r.restored && (d.restoredAt.IsZero() || d.revision != s.Revision)
		if known && d.gone && writtenAgain {
			delete(r.departures, id)
			if known = d.announced; known {
				d.gone = false
				r.departures[id] = d
			}
		}
		switch {
		case known && r.restored:
			d.at, d.restoredAt, d.revision = now, now, s.Revision
			r.departures[id] = d
		case !known && s.State == Draining:
			r.departures[id] = departure{startedAt: s.StartedAt, at: now}
		}
	}
	r.restored = false
	for id, d := range r.departures {
		if s := servers[id]; (s == nil || s.StartedAt != d.startedAt) && now.Sub(d.at) > departureRetention {
			delete(r.departures, id)
		}
	}
}

// recordGone records that the entry of a server is gone.
func (r *Roster) recordGone(s *Server, now time.Time) {
	d := r.departures[s.ID]
	announced := d.announced && d.startedAt == s.StartedAt
	r.departures[s.ID] = departure{startedAt: s.StartedAt, at: now, gone: true, announced: announced}
}

// current returns the entry of a server as far as the server's departure is not known better, or
// nil if the server is gone. The returned time is zero, or when the entry of a server that is gone
// counts again.
func (r *Roster) current(s *Server, now time.Time) (*Server, time.Time) {
	d, ok := r.departures[s.ID]
	if !ok || d.startedAt != s.StartedAt {
		return s, time.Time{}
	}
	restored := !d.restoredAt.IsZero()
	if end := d.restoredAt.Add(restoredEntryTerm); d.gone && restored && d.revision == s.Revision && now.Before(end) {
		return nil, end
	}
	if s.State == Ready && (d.announced || restored && !d.gone) {
		leaving := *s
		leaving.State = Draining
		return &leaving, time.Time{}
	}
	return s, time.Time{}
}
