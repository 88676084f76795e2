package tunnel

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxPeers is the number of daemons that are asked for a tunnel before a connect fails.
	maxPeers = 4
	// maxRefusals is the number of daemons that the server must refuse, or not answer, to count as
	// down: the first one asked may have lost its path at the same time as this daemon.
	maxRefusals = 2
	// avoidTerm is how long a daemon that granted no tunnel is asked after the others, and
	// preferTerm how long one that did is asked before them.
	avoidTerm  = 2 * time.Second
	preferTerm = 5 * time.Second
)

// peerState is what is known about another daemon.
type peerState struct {
	Peer
	grantedAt, deniedAt time.Time
}

// peerTable chooses the daemons that are asked for tunnels. It does no I/O and reads no clock.
type peerTable struct {
	peers []*peerState
}

// set replaces the list of daemons.
func (t *peerTable) set(list []Peer) {
	known := make(map[Peer]*peerState, len(t.peers))
	for _, p := range t.peers {
		known[p.Peer] = p
	}
	t.peers = t.peers[:0:0]
	for _, p := range list {
		s := known[p]
		if s == nil {
			s = &peerState{Peer: p}
		}
		t.peers = append(t.peers, s)
	}
}

// order returns the daemons to ask, at most maxPeers: those that granted a tunnel lately first, those
// that did not last, and in random order among equals.
func (t *peerTable) order(r *rand.Rand, now time.Time) []Peer {
	list := slices.Clone(t.peers)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *peerState) int { return a.rank(now) - b.rank(now) })
	var out []Peer
	for _, p := range list[:min(len(list), maxPeers)] {
		out = append(out, p.Peer)
	}
	return out
}

// find returns the daemon of a VM.
func (t *peerTable) find(vm string) (Peer, bool) {
	for _, s := range t.peers {
		if s.VM == vm {
			return s.Peer, true
		}
	}
	return Peer{}, false
}

// rank orders daemons; the lowest is asked first.
func (p *peerState) rank(now time.Time) int {
	switch {
	case !p.deniedAt.IsZero() && now.Sub(p.deniedAt) < avoidTerm && !p.grantedAt.After(p.deniedAt):
		return 2
	case !p.grantedAt.IsZero() && now.Sub(p.grantedAt) < preferTerm:
		return 0
	}
	return 1
}

// record records whether a daemon granted a tunnel. A daemon whose server refused it has denied nothing.
func (t *peerTable) record(p Peer, granted bool, now time.Time) {
	for _, s := range t.peers {
		if s.Peer != p {
			continue
		}
		if granted {
			s.grantedAt = now
		} else {
			s.deniedAt = now
		}
	}
}
