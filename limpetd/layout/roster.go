package layout

import (
	"slices"
	"strings"
	"time"
)

// relistGrace is how long after an outage of the list a server is kept whose entry expired
// during the outage. The entry of a server that still runs is back within two seconds.
const relistGrace = 2100 * time.Millisecond

// maxReadGap is the longest time between two attempts to read the list.
const maxReadGap = 2 * time.Second

// Roster is the list of backend servers, corrected for outages of the list: a server whose
// entry expired while the list could not be read is kept until its entry has had time to
// return. A server that has announced that it is leaving, or that had departed before the list was
// restored from an earlier state, does not count as ready although its entry says so. A Roster is
// not safe for concurrent use and reads no clock.
type Roster struct {
	// listed are the servers with an entry, and kept are the servers whose entry expired
	// during an outage.
	listed map[string]*Server
	kept   map[string]*Server
	// unreadable is whether the list cannot be read, and readableSince is when the last
	// outage of the list ended.
	unreadable    bool
	readableSince time.Time
	// triedAt is when reading the list succeeded or failed last, readAt when it succeeded last.
	triedAt, readAt time.Time
	// departures are the starts of servers that are leaving or gone, by ID. restored is whether
	// the next list is an earlier state of the list.
	departures map[string]departure
	restored   bool
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{listed: map[string]*Server{}, kept: map[string]*Server{}, departures: map[string]departure{}}
}

// SetReachable records whether the list could be read. After a long time without a call the daemon
// was suspended, and what it read may be an answer from before; the time for which servers
// without an entry are kept then begins again.
func (r *Roster) SetReachable(ok bool, now time.Time) {
	suspended := len(r.kept) > 0 && now.Sub(r.triedAt) > maxReadGap
	if ok && (r.unreadable || suspended) {
		r.readableSince = now
	}
	r.unreadable, r.triedAt = !ok, now
	if ok {
		r.readAt = now
	}
}

// SetServers replaces the entries of the list. Ready servers that are missing from servers are
// kept if the list cannot be read or its last outage ended less than relistGrace ago.
func (r *Roster) SetServers(servers map[string]*Server, now time.Time) {
	keepMissing := r.unreadable || !r.readableSince.IsZero() && now.Before(r.readableSince.Add(relistGrace))
	for id, s := range r.listed {
		if servers[id] == nil && keepMissing && s.State == Ready {
			r.kept[id] = s
		}
	}
	for id := range servers {
		delete(r.kept, id)
	}
	r.recordDepartures(servers, now)
	r.listed = servers
}

// Servers returns the running servers, sorted by ID. The returned time is zero if all of
// them have an entry that counts. Otherwise it is when Servers must be called again: to drop the
// servers without an entry, which are kept until the list has been read after that time, or because
// the restored entry of a server counts then.
func (r *Roster) Servers(now time.Time) ([]*Server, time.Time) {
	var again time.Time
	if len(r.kept) > 0 {
		again = r.readableSince.Add(relistGrace)
		if !r.unreadable && !r.readAt.Before(again) {
			for _, s := range r.kept {
				r.recordGone(s, now)
			}
			clear(r.kept)
			again = time.Time{}
		}
	}
	all := make([]*Server, 0, len(r.listed)+len(r.kept))
	for _, list := range []map[string]*Server{r.listed, r.kept} {
		for _, s := range list {
			s, counts := r.current(s, now)
			if s != nil {
				all = append(all, s)
			}
			if again.IsZero() || !counts.IsZero() && counts.Before(again) {
				again = counts
			}
		}
	}
	slices.SortFunc(all, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	return all, again
}
