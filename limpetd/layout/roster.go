package layout

import (
	"slices"
	"strings"
	"time"
)

// returnGrace is how long after an outage of the list a server that lapsed in it is
// still used: entries of servers that live are back within two seconds.
const returnGrace = 2100 * time.Millisecond

// Roster is the list of backend servers with its gaps bridged: a server whose entry
// lapsed while the list could not be read is kept until it had time to return. It is
// not safe for concurrent use and reads no clock.
type Roster struct {
	listed map[string]*Server
	kept   map[string]*Server
	// away tells that the list cannot be read, back when it could be again.
	away bool
	back time.Time
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{listed: map[string]*Server{}, kept: map[string]*Server{}}
}

// Reached notes whether the list could be read.
func (r *Roster) Reached(ok bool, now time.Time) {
	if ok && r.away {
		r.back = now
	}
	r.away = !ok
}

// List replaces the entries.
func (r *Roster) List(servers map[string]*Server, now time.Time) {
	bridged := r.away || !r.back.IsZero() && now.Before(r.back.Add(returnGrace))
	for id, s := range r.listed {
		if servers[id] == nil && bridged && s.State == Ready {
			r.kept[id] = s
		}
	}
	for id := range servers {
		delete(r.kept, id)
	}
	r.listed = servers
}

// Servers returns the servers that are known to run, in the order of their ids, and when
// to ask again; zero if only a change of the list matters.
func (r *Roster) Servers(now time.Time) ([]*Server, time.Time) {
	var again time.Time
	if len(r.kept) > 0 {
		again = r.back.Add(returnGrace)
		if !r.away && !now.Before(again) {
			clear(r.kept)
			again = time.Time{}
		}
	}
	all := make([]*Server, 0, len(r.listed)+len(r.kept))
	for _, s := range r.listed {
		all = append(all, s)
	}
	for _, s := range r.kept {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	return all, again
}
