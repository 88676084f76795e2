package member

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// What goes out how often, in turns of a peer.
const (
	// turnSize is the number of near peers that are told in a period.
	turnSize = 26
	// bulkSize is the number of near peers beyond which demand and use do not
	// go out in each turn.
	bulkSize = 12
	// ownRepeats is how often a peer is told again what this daemon found or
	// changed itself, since messages can be lost without notice while a
	// connection breaks.
	ownRepeats = 2
	// unheardTurns is the number of turns after which a listed VM that nobody
	// has heard is tried again.
	unheardTurns = 10
	// wholeLoadTurns is the number of turns after which whole reports are
	// sent again, viewTurns that after which the hash of the view is, and
	// bulkTurns that after which demand and use are in a large environment.
	wholeLoadTurns = 60
	viewTurns      = 3
	bulkTurns      = 12
)

// parcel is a message on its way to a peer.
type parcel struct {
	vm      string
	address string
	message Message
}

// told is what a peer was told last.
type told struct {
	instance string
	sequence int64
	// fixed holds the hashes of Load that the peer knows.
	fixed map[string]uint64
	turn  int
	// repeats is how often this daemon's own state is still to be repeated.
	repeats int
	// tries counts the turns of a VM that nobody has heard.
	tries int
}

// spread chooses what to tell whom. It is a pure state like view.
type spread struct {
	random *rand.Rand
	period int
	told   map[string]*told
	links  []string
	linked time.Time
	hash   uint64
	// holder is the VM that is told demand in each period, if any.
	holder string
}

// newSpread returns a spread that has told nobody anything.
func newSpread(random *rand.Rand) *spread {
	return &spread{random: random, told: map[string]*told{}}
}

// forget makes a peer be told all again, after a message to it may be lost.
func (s *spread) forget(vm string) {
	if t, ok := s.told[vm]; ok {
		t.sequence, t.fixed = -1, map[string]uint64{}
	}
}

// round returns the messages of a period. A small environment is told all in each
// period; in a large one the near peers take turns.
func (s *spread) round(v *view, share Share, now time.Time) []parcel {
	s.period++
	near, far := v.near()
	s.link(far, now)
	s.hash = v.hash()
	relays := s.relays(len(near))
	loads := prepare(share.Loads)
	turns := turnsOf(len(near))
	var parcels []parcel
	for i, d := range near {
		turn := (i+s.period)%turns == 0 && s.worth(d)
		if !turn && !relays[i] {
			continue
		}
		m := s.changes(v, d, relays[i])
		if turn {
			s.share(&m, d, loads, share, len(near) > bulkSize)
		}
		if turn || !m.empty() {
			parcels = append(parcels, parcel{vm: d.VM, address: d.Address, message: m})
		}
	}
	for _, d := range s.linkedTo(far) {
		m := s.changes(v, d, true)
		if s.period%viewTurns == 0 {
			m.View = v.hash()
		}
		if !m.empty() {
			parcels = append(parcels, parcel{vm: d.VM, address: d.Address, message: m})
		}
	}
	v.age()
	return parcels
}

// worth tells whether a peer is told in its turn. A listed VM that nobody has
// heard may run a daemon of another environment: it is tried now and then.
func (s *spread) worth(d Daemon) bool {
	if d.Instance != "" {
		return true
	}
	t := s.peer(d)
	t.tries++
	return t.tries%unheardTurns == 1
}

// turnsOf returns in how many periods each of n near peers is told once.
func turnsOf(n int) int {
	return max(1, (n+turnSize-1)/turnSize)
}

// share adds to a message what the daemon has to tell in the peer's turn. What
// is bulky goes to the daemon that places models, and to others only while it
// is not known; in a large environment not in each turn.
func (s *spread) share(m *Message, d Daemon, loads []Load, share Share, crowded bool) {
	t := s.peer(d)
	t.turn++
	m.Loads = s.loads(t, loads)
	m.View = s.viewOf(t)
	if crowded && (t.turn+int(xxhash.Sum64String(d.VM)%bulkTurns))%bulkTurns != 0 {
		return
	}
	m.Use = share.Use
	if s.holder == "" || d.VM == s.holder {
		m.Demand = share.Demand
	}
}

// viewOf returns the hash of the view in some of the peer's turns, else 0.
func (s *spread) viewOf(t *told) uint64 {
	if t.turn%viewTurns != 0 {
		return 0
	}
	return s.hash
}

// urgent returns the messages that carry fresh news at once.
func (s *spread) urgent(v *view) []parcel {
	near, far := v.near()
	relays := s.relays(len(near))
	own := v.hasOwn()
	var parcels []parcel
	for i, d := range near {
		if !own && !relays[i] {
			continue
		}
		m := s.changes(v, d, true)
		parcels = append(parcels, parcel{vm: d.VM, address: d.Address, message: m})
	}
	for _, d := range s.linkedTo(far) {
		m := s.changes(v, d, true)
		parcels = append(parcels, parcel{vm: d.VM, address: d.Address, message: m})
	}
	return parcels
}

// relays chooses two of n peers that are told news of others.
func (s *spread) relays(n int) []bool {
	chosen := make([]bool, n)
	for range min(2, n) {
		chosen[s.random.IntN(n)] = true
	}
	return chosen
}

// link renews the far daemons that are told news.
func (s *spread) link(far []Daemon, now time.Time) {
	if len(far) == 0 {
		s.links = nil
		return
	}
	if len(s.linkedTo(far)) == min(remoteLinks, len(far)) && now.Sub(s.linked) < remoteLinkPeriod {
		return
	}
	s.linked = now
	s.links = nil
	for _, i := range s.random.Perm(len(far))[:min(remoteLinks, len(far))] {
		s.links = append(s.links, far[i].VM)
	}
}

// linkedTo returns the far daemons with a link.
func (s *spread) linkedTo(far []Daemon) []Daemon {
	var linked []Daemon
	for _, d := range far {
		for _, vm := range s.links {
			if d.VM == vm && !d.Suspect {
				linked = append(linked, d)
			}
		}
	}
	return linked
}

// changes returns what a peer has not been told: this daemon's own state, what
// others say of the peer, and news.
func (s *spread) changes(v *view, d Daemon, relay bool) Message {
	t := s.peer(d)
	var m Message
	if t.sequence != v.self.Sequence {
		t.sequence, t.repeats = v.self.Sequence, ownRepeats
		m.Daemons = append(m.Daemons, v.self)
	} else if t.repeats > 0 {
		t.repeats--
		m.Daemons = append(m.Daemons, v.self)
	}
	if d.Suspect {
		m.Daemons = append(m.Daemons, d)
	}
	for i := len(v.news) - 1; i >= 0; i-- {
		n := v.news[i]
		if !relay && (!n.own || n.left < relayPeriods-ownRepeats) {
			continue
		}
		v.add(&m, n, d.VM)
		if len(m.Daemons)+len(m.Entries)+len(m.Advice) >= maxNews {
			break
		}
	}
	return m
}

// peer returns what d was told, nothing if it is a new instance.
func (s *spread) peer(d Daemon) *told {
	t, ok := s.told[d.VM]
	if !ok || t.instance != d.Instance {
		t = &told{instance: d.Instance, sequence: -1, fixed: map[string]uint64{}}
		s.told[d.VM] = t
	}
	return t
}

// prepare hashes the parts of reports that seldom change.
func prepare(reports []engine.Report) []Load {
	loads := make([]Load, len(reports))
	for i, r := range reports {
		loads[i] = Load{Report: r, Hash: hashFixed(r), Whole: true}
	}
	return loads
}

// hashFixed identifies the part of a report that seldom changes, and its engine.
func hashFixed(r engine.Report) uint64 {
	d := xxhash.New()
	err := msgpack.NewEncoder(d).EncodeMulti(r.VM, r.Instance, r.MemoryMB, r.BatchLimit, r.Role, r.Fence, r.Slots)
	if err != nil {
		return 0
	}
	return d.Sum64()
}

// cut returns a report without the part that seldom changes.
func cut(r engine.Report) engine.Report {
	r.VM, r.Instance, r.MemoryMB, r.BatchLimit, r.Role, r.Fence, r.Slots = "", "", 0, 0, "", 0, nil
	return r
}

// fill puts the part that seldom changes back from an earlier report.
func fill(r, earlier engine.Report) engine.Report {
	r.VM, r.Instance = earlier.VM, earlier.Instance
	r.MemoryMB, r.BatchLimit = earlier.MemoryMB, earlier.BatchLimit
	r.Role, r.Fence, r.Slots = earlier.Role, earlier.Fence, earlier.Slots
	return r
}

// loads returns the reports for a peer, without what it knows.
func (s *spread) loads(t *told, loads []Load) []Load {
	if t.turn%wholeLoadTurns == 0 {
		t.fixed = map[string]uint64{}
	}
	known := make([]Load, len(loads))
	for i, l := range loads {
		if h, ok := t.fixed[l.Report.VM]; ok && h == l.Hash {
			l.Whole, l.Report = false, cut(l.Report)
		}
		t.fixed[l.Report.VM] = l.Hash
		known[i] = l
	}
	return known
}

// empty tells whether a message says nothing.
func (m *Message) empty() bool {
	return m.View == 0 && len(m.Daemons)+len(m.Entries)+len(m.Advice)+len(m.Loads)+len(m.Demand)+len(m.Use) == 0
}

// add puts news into a message, unless it is about the receiver.
func (v *view) add(m *Message, n news, receiver string) {
	switch {
	case n.daemon == receiver || n.daemon == v.self.VM:
	case n.daemon != "":
		m.Daemons = append(m.Daemons, v.daemons[n.daemon])
	case n.entry != "":
		m.Entries = append(m.Entries, v.entries[n.entry])
	case n.advice != "":
		m.Advice = append(m.Advice, v.advice[n.advice])
	}
}

// hasOwn tells whether there is news that all near peers are to be told at once.
func (v *view) hasOwn() bool {
	for _, n := range v.news {
		if n.own && n.left == relayPeriods {
			return true
		}
	}
	return false
}

// age counts a period of each item of news and drops those repeated enough.
func (v *view) age() {
	kept := v.news[:0]
	for _, n := range v.news {
		if n.left--; n.left > 0 {
			kept = append(kept, n)
		}
	}
	v.news = kept
}

// whole returns all that the view knows, with the VM list if it is wanted.
func (v *view) whole(want bool) Message {
	m := Message{View: v.hash()}
	for _, d := range v.daemons {
		m.Daemons = append(m.Daemons, d)
	}
	for _, a := range v.advice {
		m.Advice = append(m.Advice, a)
	}
	for _, e := range v.entries {
		if want && !e.Gone {
			m.Entries = append(m.Entries, e)
		}
	}
	return m
}
