package member

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// How often each kind of information is sent, in turns of a peer.
const (
	// peersPerPeriod is the maximum number of near peers that have their turn in
	// one period.
	peersPerPeriod = 26
	// bulkEveryTurnPeers is the number of near peers up to which demand and use
	// are sent in each turn.
	bulkEveryTurnPeers = 12
	// localRepeats is how often a change that this daemon made or detected itself
	// is sent again to a peer, since messages can be lost without an error while
	// a connection breaks.
	localRepeats = 2
	// unconfirmedTurns is the number of turns between two attempts to contact a
	// listed VM from whose daemon no state has been received.
	unconfirmedTurns = 10
	// fullLoadTurns is the number of turns after which full reports are sent
	// again, viewHashTurns that for the hash of the view, and bulkTurns that for
	// demand and use in a large environment.
	fullLoadTurns = 60
	viewHashTurns = 3
	bulkTurns     = 12
)

// envelope is a message with its destination.
type envelope struct {
	vm      string
	address string
	message Message
}

// peerState records what was last sent to a peer.
type peerState struct {
	instance     string
	sentSequence int64
	// sentHashes holds the EngineReport.Hash of the last report sent, by engine VM.
	sentHashes map[string]uint64
	turns      int
	// repeatsLeft is how often this daemon's own state is still to be resent.
	repeatsLeft int
	// contactTurns counts the turns of a VM from whose daemon no state has been
	// received.
	contactTurns int
}

// gossip selects which information is sent to which peer. Like view, it does no I/O
// and reads no clock.
type gossip struct {
	random  *rand.Rand
	periods int
	peers   map[string]*peerState
	// farLinks are the VMs of the far daemons that receive updates. They were chosen
	// at linksChosenAt.
	farLinks      []string
	linksChosenAt time.Time
	// viewHash is the hash of the view at the start of the current period.
	viewHash uint64
	// leaseHolder is the VM that the demand is sent to, or empty if it is unknown.
	leaseHolder string
}

// newGossip returns a gossip that has not sent anything yet.
func newGossip(random *rand.Rand) *gossip {
	return &gossip{random: random, peers: map[string]*peerState{}}
}

// resendAll makes the next messages to a peer carry this daemon's own state and full
// reports again, since an earlier message may have been lost.
func (g *gossip) resendAll(vm string) {
	if p, ok := g.peers[vm]; ok {
		p.sentSequence, p.sentHashes = -1, map[string]uint64{}
	}
}

// periodic returns the messages of one period. In a small environment every peer
// has its turn in each period; in a large one the near peers take turns.
func (g *gossip) periodic(v *view, share DaemonReport, now time.Time) []envelope {
	g.periods++
	near, far := v.nearAndFar()
	g.renewFarLinks(far, now)
	g.viewHash = v.hash()
	relays := g.chooseRelays(len(near))
	loads := hashLoads(share.EngineReports)
	turns := periodsPerTurn(len(near))
	var envelopes []envelope
	for i, d := range near {
		isTurn := (i+g.periods)%turns == 0 && g.shouldContact(d)
		if !isTurn && !relays[i] {
			continue
		}
		m := g.updatesFor(v, d, relays[i])
		if isTurn {
			g.addShare(&m, d, loads, share, len(near) > bulkEveryTurnPeers)
		}
		if isTurn || !m.isEmpty() {
			envelopes = append(envelopes, envelope{vm: d.VM, address: d.Address, message: m})
		}
	}
	for _, d := range g.linkedPeers(far) {
		m := g.updatesFor(v, d, true)
		if g.periods%viewHashTurns == 0 {
			m.ViewHash = v.hash()
		}
		if !m.isEmpty() {
			envelopes = append(envelopes, envelope{vm: d.VM, address: d.Address, message: m})
		}
	}
	v.ageUpdates()
	return envelopes
}

// shouldContact reports whether to send to a peer in its turn. A listed VM from
// which no state has been received may run a daemon of another environment, so it
// is contacted only once in unconfirmedTurns turns.
func (g *gossip) shouldContact(d Daemon) bool {
	if d.Instance != "" {
		return true
	}
	p := g.stateOf(d)
	p.contactTurns++
	return p.contactTurns%unconfirmedTurns == 1
}

// periodsPerTurn returns the number of periods in which each of n near peers has one
// turn.
func periodsPerTurn(n int) int {
	return max(1, (n+peersPerPeriod-1)/peersPerPeriod)
}

// addShare adds the load reports, demand and use that are due in the peer's turn.
// Demand is large, so it goes only to the daemon that places models, or to every peer
// while the VM of that daemon is unknown. With limitBulk, demand and use are sent only
// once in bulkTurns turns.
func (g *gossip) addShare(m *Message, d Daemon, loads []EngineReport, share DaemonReport, limitBulk bool) {
	p := g.stateOf(d)
	p.turns++
	m.EngineReports = g.loadsFor(p, loads)
	m.ViewHash = g.viewHashDue(p)
	if limitBulk && (p.turns+int(xxhash.Sum64String(d.VM)%bulkTurns))%bulkTurns != 0 {
		return
	}
	m.Usage = share.Usage
	if g.leaseHolder == "" || d.VM == g.leaseHolder {
		m.Demand = share.Demand
	}
}

// viewHashDue returns the hash of the view if it is due in this turn of the peer,
// otherwise 0.
func (g *gossip) viewHashDue(p *peerState) uint64 {
	if p.turns%viewHashTurns != 0 {
		return 0
	}
	return g.viewHash
}

// urgent returns the messages that carry pending updates without waiting for the
// next period: to all near peers if this daemon has detected a change itself, else
// to the relays only.
func (g *gossip) urgent(v *view) []envelope {
	near, far := v.nearAndFar()
	relays := g.chooseRelays(len(near))
	toAll := v.hasUnsentLocal()
	var envelopes []envelope
	for i, d := range near {
		if !toAll && !relays[i] {
			continue
		}
		m := g.updatesFor(v, d, true)
		envelopes = append(envelopes, envelope{vm: d.VM, address: d.Address, message: m})
	}
	for _, d := range g.linkedPeers(far) {
		m := g.updatesFor(v, d, true)
		envelopes = append(envelopes, envelope{vm: d.VM, address: d.Address, message: m})
	}
	return envelopes
}

// chooseRelays selects up to two of n near peers that receive the updates of others.
func (g *gossip) chooseRelays(n int) []bool {
	chosen := make([]bool, n)
	for range min(2, n) {
		chosen[g.random.IntN(n)] = true
	}
	return chosen
}

// renewFarLinks selects the far daemons that receive updates. The selection is kept
// for farLinkPeriod unless a selected daemon becomes unavailable.
func (g *gossip) renewFarLinks(far []Daemon, now time.Time) {
	if len(far) == 0 {
		g.farLinks = nil
		return
	}
	if len(g.linkedPeers(far)) == min(farLinkCount, len(far)) && now.Sub(g.linksChosenAt) < farLinkPeriod {
		return
	}
	g.linksChosenAt = now
	g.farLinks = nil
	for _, i := range g.random.Perm(len(far))[:min(farLinkCount, len(far))] {
		g.farLinks = append(g.farLinks, far[i].VM)
	}
}

// linkedPeers returns the selected far daemons that are not suspected.
func (g *gossip) linkedPeers(far []Daemon) []Daemon {
	var linked []Daemon
	for _, d := range far {
		for _, vm := range g.farLinks {
			if d.VM == vm && !d.Suspect {
				linked = append(linked, d)
			}
		}
	}
	return linked
}

// updatesFor returns the changes to send to a peer: this daemon's own state if the
// peer may lack this state, a suspicion of the peer so that the peer can refute the
// suspicion, and pending updates, newest first and up to maxUpdates. Without relay, only
// recent updates that this daemon detected itself are included.
func (g *gossip) updatesFor(v *view, d Daemon, relay bool) Message {
	p := g.stateOf(d)
	var m Message
	if p.sentSequence != v.self.Sequence {
		p.sentSequence, p.repeatsLeft = v.self.Sequence, localRepeats
		m.Daemons = append(m.Daemons, v.self)
	} else if p.repeatsLeft > 0 {
		p.repeatsLeft--
		m.Daemons = append(m.Daemons, v.self)
	}
	if d.Suspect {
		m.Daemons = append(m.Daemons, d)
	}
	for i := len(v.updates) - 1; i >= 0; i-- {
		u := v.updates[i]
		if !relay && (!u.local || u.periodsLeft < relayPeriods-localRepeats) {
			continue
		}
		v.addUpdate(&m, u, d.VM)
		if len(m.Daemons)+len(m.Entries)+len(m.DrainNotices) >= maxUpdates {
			break
		}
	}
	return m
}

// stateOf returns the record of what was sent to d, empty for a new instance.
func (g *gossip) stateOf(d Daemon) *peerState {
	p, ok := g.peers[d.VM]
	if !ok || p.instance != d.Instance {
		p = &peerState{instance: d.Instance, sentSequence: -1, sentHashes: map[string]uint64{}}
		g.peers[d.VM] = p
	}
	return p
}

// hashLoads wraps reports as full loads with the hashes of their stable fields.
func hashLoads(reports []engine.Report) []EngineReport {
	loads := make([]EngineReport, len(reports))
	for i, r := range reports {
		loads[i] = EngineReport{Report: r, Hash: hashStable(r), Full: true}
	}
	return loads
}

// hashStable hashes the fields that identify an engine and the fields that rarely
// change: memory, batch limit, role, fence and slots.
func hashStable(r engine.Report) uint64 {
	d := xxhash.New()
	err := msgpack.NewEncoder(d).EncodeMulti(r.VM, r.Instance, r.MemoryMB, r.BatchLimit, r.Role, r.Fence, r.Slots)
	if err != nil {
		return 0
	}
	return d.Sum64()
}

// removeStable returns a report without the fields that hashStable covers.
func removeStable(r engine.Report) engine.Report {
	r.VM, r.Instance, r.MemoryMB, r.BatchLimit, r.Role, r.Fence, r.Slots = "", "", 0, 0, "", 0, nil
	return r
}

// restoreStable copies the fields that hashStable covers from an earlier report.
func restoreStable(r, earlier engine.Report) engine.Report {
	r.VM, r.Instance = earlier.VM, earlier.Instance
	r.MemoryMB, r.BatchLimit = earlier.MemoryMB, earlier.BatchLimit
	r.Role, r.Fence, r.Slots = earlier.Role, earlier.Fence, earlier.Slots
	return r
}

// loadsFor returns the reports for a peer, without the stable fields that the peer
// already has.
func (g *gossip) loadsFor(p *peerState, loads []EngineReport) []EngineReport {
	if p.turns%fullLoadTurns == 0 {
		p.sentHashes = map[string]uint64{}
	}
	trimmed := make([]EngineReport, len(loads))
	for i, l := range loads {
		if h, ok := p.sentHashes[l.Report.VM]; ok && h == l.Hash {
			l.Full, l.Report = false, removeStable(l.Report)
		}
		p.sentHashes[l.Report.VM] = l.Hash
		trimmed[i] = l
	}
	return trimmed
}

// isEmpty reports whether a message carries no information.
func (m *Message) isEmpty() bool {
	return m.ViewHash == 0 && len(m.Daemons)+len(m.Entries)+len(m.DrainNotices)+len(m.EngineReports)+len(m.Demand)+len(m.Usage) == 0
}

// addUpdate adds a change to a message, unless it concerns the receiver or this
// daemon's own state, which updatesFor adds separately.
func (v *view) addUpdate(m *Message, u update, receiver string) {
	switch {
	case u.daemon == receiver || u.daemon == v.self.VM:
	case u.daemon != "":
		m.Daemons = append(m.Daemons, v.daemons[u.daemon])
	case u.entry != "":
		m.Entries = append(m.Entries, v.entries[u.entry])
	case u.drainNotice != "":
		m.DrainNotices = append(m.DrainNotices, v.drainNotices[u.drainNotice])
	}
}

// hasUnsentLocal reports whether this daemon has detected changes itself that have
// not been part of a periodic round yet.
func (v *view) hasUnsentLocal() bool {
	for _, u := range v.updates {
		if u.local && u.periodsLeft == relayPeriods {
			return true
		}
	}
	return false
}

// ageUpdates counts down the remaining periods of each update and removes the
// expired ones.
func (v *view) ageUpdates() {
	kept := v.updates[:0]
	for _, u := range v.updates {
		if u.periodsLeft--; u.periodsLeft > 0 {
			kept = append(kept, u)
		}
	}
	v.updates = kept
}

// fullState returns the full state of the view, with the VM list if withList is set.
func (v *view) fullState(withList bool) Message {
	m := Message{ViewHash: v.hash()}
	for _, d := range v.daemons {
		m.Daemons = append(m.Daemons, d)
	}
	for _, a := range v.drainNotices {
		m.DrainNotices = append(m.DrainNotices, a)
	}
	for _, e := range v.entries {
		if withList && !e.Gone {
			m.Entries = append(m.Entries, e)
		}
	}
	return m
}
