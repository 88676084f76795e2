package tunnel

import (
	"slices"
	"time"
)

const (
	// retryPeriod is the time between attempts to use a lost path again.
	retryPeriod = 500 * time.Millisecond
	// maxChecks bounds the paths that are tried again at a time, and those that are checked after
	// the loss of one.
	maxChecks = 16
	// downTerm is how long no tunnel is requested to a server that refused other daemons.
	downTerm = 250 * time.Millisecond
	// suspicionTerm is how long after the loss of a path what this daemon finds out about other
	// servers alone doesn't count.
	suspicionTerm = 3 * time.Second
)

// path is the path from this daemon to a server.
type path struct {
	// lostAt is when the path was found to be lost; zero while it is used. hangs is whether
	// connects time out, and open connections get no answer.
	lostAt time.Time
	hangs  bool
	// triedAt is when a direct connect last ended, downAt when the server last refused other
	// daemons.
	triedAt, downAt time.Time
}

func (p *path) lost() bool { return !p.lostAt.IsZero() }

// pathTable holds the paths from this daemon to the servers. It does no I/O and reads no clock.
type pathTable struct {
	paths map[string]*path
	// lastLoss is when a path was last found to be lost.
	lastLoss time.Time
}

func newPathTable() pathTable { return pathTable{paths: map[string]*path{}} }

// setServers sets the addresses of the servers.
func (t *pathTable) setServers(addresses []string) {
	paths := make(map[string]*path, len(addresses))
	for _, a := range addresses {
		paths[a] = t.paths[a]
		if paths[a] == nil {
			paths[a] = &path{}
		}
	}
	t.paths = paths
}

// known reports whether a server has the address.
func (t *pathTable) known(address string) bool { return t.paths[address] != nil }

// isLost reports whether the path to a server is lost.
func (t *pathTable) isLost(address string) bool {
	p := t.paths[address]
	return p != nil && p.lost()
}

// hangs reports whether the path to a server is lost and open connections get no answer.
func (t *pathTable) hangs(address string) bool { return t.isLost(address) && t.paths[address].hangs }

// recordConnected records a direct connection, and reports whether the path was lost before.
func (t *pathTable) recordConnected(address string, now time.Time) bool {
	p := t.paths[address]
	if p == nil {
		return false
	}
	found := p.lost()
	p.lostAt, p.triedAt, p.downAt = time.Time{}, now, time.Time{}
	return found
}

// recordFailed records that a direct connect failed.
func (t *pathTable) recordFailed(address string, now time.Time) {
	if p := t.paths[address]; p != nil {
		p.triedAt = now
	}
}

// recordLost records that the server accepts connections of another daemon, while direct connects
// fail. It reports whether the path was not lost before.
func (t *pathTable) recordLost(address string, hangs bool, now time.Time) bool {
	p := t.paths[address]
	if p == nil || p.lost() {
		return false
	}
	p.lostAt, p.hangs, p.downAt = now, hangs, time.Time{}
	t.lastLoss = now
	return true
}

// recordDown records that other daemons can't connect to the server either.
func (t *pathTable) recordDown(address string, now time.Time) {
	if p := t.paths[address]; p != nil {
		p.downAt = now
	}
}

// isDown reports whether other daemons could not connect to the server a moment ago.
func (t *pathTable) isDown(address string, now time.Time) bool {
	p := t.paths[address]
	return p != nil && !p.downAt.IsZero() && now.Sub(p.downAt) < downTerm
}

// suspicious reports whether a failed connect of this daemon may be due to its own paths.
func (t *pathTable) suspicious(now time.Time) bool {
	if !t.lastLoss.IsZero() && now.Sub(t.lastLoss) < suspicionTerm {
		return true
	}
	for _, p := range t.paths {
		if p.lost() {
			return true
		}
	}
	return false
}

// due returns the servers to which a direct connect is to be tried: first those whose path is
// lost, and those not tried since the last loss. The longest untried come first.
func (t *pathTable) due(now time.Time) []string {
	var list []string
	for address, p := range t.paths {
		lost := p.lost() && now.Sub(p.triedAt) >= retryPeriod
		unchecked := !p.lost() && !t.lastLoss.IsZero() && now.Sub(t.lastLoss) < suspicionTerm && p.triedAt.Before(t.lastLoss)
		if lost || unchecked {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return t.paths[a].triedAt.Compare(t.paths[b].triedAt) })
	return list[:min(len(list), maxChecks)]
}

// cutOff reports whether the paths to at least half of the servers are lost.
func (t *pathTable) cutOff() bool {
	lost := 0
	for _, p := range t.paths {
		if p.lost() {
			lost++
		}
	}
	return lost > 0 && 2*lost >= len(t.paths)
}
