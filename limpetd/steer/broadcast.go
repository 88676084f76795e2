package steer

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/origin"
)

const (
	// subscriberQueueSize is the number of updates that are queued for a daemon. The
	// link to a daemon whose queue overflows is closed: the daemon opens a new link and
	// receives the full state.
	subscriberQueueSize = 8
	// maxQueueDelay is how long an update may be queued, because a daemon treats each
	// update that it receives as current. One that is older is dropped, and the next one holds the full state: if the
	// processor of the lease holder is busy, the updates of all links become old, and links that are opened again
	// would take more of it.
	maxQueueDelay = 500 * time.Millisecond
	// maxFullStates is how long an update encodes full states. Daemons without one get it with the next update.
	maxFullStates = 100 * time.Millisecond
)

// broadcaster sends state updates to the daemons with a link. An update for all daemons is
// encoded once.
type broadcaster struct {
	tables []*mirror.Follower

	mu          sync.Mutex
	subscribers map[*subscriber]bool
	// sent are the positions of the tables up to which changes were sent to all daemons.
	sent map[string]mirror.Position
	// adapters and unloading are those of the last update to all daemons, crashes is the version
	// up to which the ends of engines were sent.
	adapters, unloading map[string][]string
	crashes             int64
	// origins is the version up to which the streams that began were sent.
	origins int64
}

// subscriber is a daemon with a link, and its queue of updates.
type subscriber struct {
	queue chan queuedMessage
	// vm is the VM of the daemon, and reportedAt when its last report arrived.
	vm         string
	reportedAt time.Time
	// waiting are the models and adapters that calls of the daemon wait for.
	waiting map[modelKey]bool
	// needsFull indicates whether the next update must contain the full state.
	needsFull bool
	// positions are those of the daemon's tables when the link was opened.
	positions map[string]mirror.Position
	// overflowed indicates whether an update was dropped.
	overflowed bool
}

func newBroadcaster(tables []*mirror.Follower) *broadcaster {
	return &broadcaster{tables: tables, subscribers: map[*subscriber]bool{}, sent: map[string]mirror.Position{}}
}

// add adds a daemon with the positions of its tables. The next update sends the daemon the
// full state.
func (b *broadcaster) add(positions map[string]mirror.Position) *subscriber {
	s := &subscriber{queue: make(chan queuedMessage, subscriberQueueSize), waiting: map[modelKey]bool{}, needsFull: true, positions: positions}
	b.mu.Lock()
	b.subscribers[s] = true
	b.mu.Unlock()
	return s
}

// requestFull drops the queued updates of a daemon. The next one holds the full state.
func (b *broadcaster) requestFull(s *subscriber) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(s.queue) > 0 {
		<-s.queue
	}
	s.needsFull = true
}

// count returns the number of daemons with a link.
func (b *broadcaster) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.subscribers)
}

func (b *broadcaster) remove(s *subscriber) {
	b.mu.Lock()
	delete(b.subscribers, s)
	b.mu.Unlock()
}

// recordReport records that a daemon has reported, and the models and adapters that its calls wait for.
func (b *broadcaster) recordReport(s *subscriber, r *daemonReport, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.vm, s.reportedAt = r.VM, now
	clear(s.waiting)
	for i, n := range r.Waiting {
		if n > 0 {
			s.waiting[r.Models[i]] = true
		}
	}
}

// announceAdapters immediately sends the adapters of an engine to the daemons whose calls
// wait for one of the added adapters. adapters are all that the engine holds.
func (b *broadcaster) announceAdapters(engine string, adapters []string, added []modelKey, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := stateUpdate{Adapters: map[string][]string{engine: adapters}}
	for s := range b.subscribers {
		if !s.needsFull && slices.ContainsFunc(added, func(key modelKey) bool { return s.waiting[key] }) {
			s.enqueue(u, now)
		}
	}
}

// queuedMessage is a message and the time when it was queued.
type queuedMessage struct {
	message  any
	queuedAt time.Time
}

// enqueue queues a message. If the queue is full, it drops the message and marks the
// subscriber as overflowed, and handleLink closes the link.
func (s *subscriber) enqueue(message any, now time.Time) {
	select {
	case s.queue <- queuedMessage{message, now}:
	default:
		s.overflowed = true
	}
}

// wakeAll queues an empty update for all daemons. The links notice with it that this daemon is no longer the
// lease holder.
func (b *broadcaster) wakeAll(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.subscribers {
		s.enqueue(stateUpdate{}, now)
	}
}

// overflowed reports whether an update for a daemon was dropped.
func (b *broadcaster) overflowed(s *subscriber) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.overflowed
}

// crashesSent returns the version up to which the ends of engines were sent to all daemons.
func (b *broadcaster) crashesSent() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// crashSource returns what has become known about the ends of engines after a version, and the current
// version.
type crashSource func(version int64) (*crash.Facts, int64)

// originSource returns the streams that began after a version of the records, and the current version.
type originSource func(version int64) (*origin.Facts, int64)

// broadcast sends the changes since the last broadcast to all daemons, and the full state to
// daemons with a new link.
func (b *broadcaster) broadcast(adapters, unloading map[string][]string, crashesSince crashSource, originsSince originSource, encode func(stateUpdate) (encodedMessage, error), now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := stateUpdate{Adapters: changedEntries(b.adapters, adapters), Unloading: changedEntries(b.unloading, unloading)}
	next := maps.Clone(b.sent)
	var crashes int64
	u.Crashes, crashes = crashesSince(b.crashes)
	var origins int64
	u.Origins, origins = originsSince(b.origins)
	for _, f := range b.tables {
		if changes, ok := f.Since(b.sent[f.Name()], now); ok {
			u.Tables = append(u.Tables, changes)
			next[f.Name()] = mirror.Position{Era: changes.Era, Version: changes.To}
			continue
		}
		at := f.Position()
		if at == (mirror.Position{}) {
			continue
		}
		if whole, ok := f.Whole(now); ok && b.sent[f.Name()] != (mirror.Position{}) {
			// The store has lost the history that the daemons would need, or was restored.
			u.Tables = append(u.Tables, whole)
		}
		// Daemons whose tables fall behind follow the store themselves.
		next[f.Name()] = at
	}
	raw, err := encode(u)
	if err != nil {
		return err
	}
	b.crashes, b.origins = crashes, origins
	b.sent, b.adapters, b.unloading = next, maps.Clone(adapters), maps.Clone(unloading)
	for s := range b.subscribers {
		if !s.needsFull {
			s.enqueue(raw, now)
		}
	}
	return b.sendFull(adapters, unloading, crashesSince, originsSince, encode, now)
}

// sendFull sends the full state to daemons with a new link. Daemons that lack the same changes, hundreds of them after an
// outage or a change of the lease holder, get the same message. It encodes further messages for up to maxFullStates:
// queued updates would become too old otherwise, and all links be closed. The caller must hold mu.
func (b *broadcaster) sendFull(adapters, unloading map[string][]string, crashesSince crashSource, originsSince originSource, encode func(stateUpdate) (encodedMessage, error), now time.Time) error {
	start := time.Now()
	var whole encodedMessage
	encoded := map[string]encodedMessage{}
	for s := range b.subscribers {
		if !s.needsFull {
			continue
		}
		key := b.positionsKey(s.positions)
		first := encoded[key]
		if first == nil {
			if len(encoded) > 0 && time.Since(start) > maxFullStates {
				continue
			}
			tables, recent := b.tablesSince(s.positions, now)
			if first = whole; recent || whole == nil {
				full := stateUpdate{Full: true, Adapters: adapters, Unloading: unloading, Tables: tables}
				full.Crashes, _ = crashesSince(0)
				full.Origins, _ = originsSince(0)
				var err error
				if first, err = encode(full); err != nil {
					return err
				}
			}
			if !recent {
				whole = first
			}
			encoded[key] = first
		}
		s.needsFull = false
		s.enqueue(first, now)
	}
	return nil
}

// positionsKey returns a key of the positions of the tables.
func (b *broadcaster) positionsKey(positions map[string]mirror.Position) string {
	var key []byte
	for _, f := range b.tables {
		at := positions[f.Name()]
		key = binary.AppendVarint(binary.AppendVarint(key, at.Era), at.Version)
	}
	return string(key)
}

// tablesSince returns the changes of all tables since the positions, or all tables as a whole if changes
// are missing, and which of the two.
func (b *broadcaster) tablesSince(positions map[string]mirror.Position, now time.Time) (tables []mirror.Update, recent bool) {
	for _, f := range b.tables {
		if changes, ok := f.Since(positions[f.Name()], now); ok {
			tables = append(tables, changes)
		}
	}
	if len(tables) == len(b.tables) {
		return tables, true
	}
	tables = nil
	for _, f := range b.tables {
		if whole, ok := f.Whole(now); ok {
			tables = append(tables, whole)
		}
	}
	return tables, false
}

// changedEntries returns the entries of after that are new or differ from before, and a nil
// list for each entry that is missing in after.
func changedEntries(before, after map[string][]string) map[string][]string {
	out := map[string][]string{}
	for key, list := range after {
		if old, ok := before[key]; !ok || !slices.Equal(old, list) {
			out[key] = list
		}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			out[key] = nil
		}
	}
	return out
}

// publish passes the placement of engines to this daemon's router if they have changed.
func (s *Controller) publish(p *planState) {
	adapters, unloading := p.placement()
	if maps.EqualFunc(adapters, p.adapters, slices.Equal[[]string]) && maps.EqualFunc(unloading, p.unloading, slices.Equal[[]string]) {
		return
	}
	p.adapters, p.unloading = adapters, unloading
	s.deps.Router.SetPlacement(toSets(adapters), toSets(unloading))
}

// broadcastUpdate sends an update to all daemons, and the load of all daemons to this
// daemon's router.
func (s *Controller) broadcastUpdate(p *planState, now time.Time) {
	if !s.IsLeaseHolder() {
		return
	}
	adapters, unloading := p.placement()
	shared, leaving, limits := p.loads.sum(now), p.recentlyLeaving(now), s.deps.Router.Limits()
	s.deps.Router.SetSharedLoad(shared)
	s.deps.Router.SetLeading(true)
	s.deps.Router.SetConnected(s.connectedFraction(now))
	s.mu.Lock()
	row, version := s.lease.Row(), s.lease.Version()
	s.mu.Unlock()
	encodeWithLoads := func(u stateUpdate) (encodedMessage, error) {
		u.Loads, u.Leaving, u.Limits = shared, leaving, limits
		u.Lease = leaseState{VM: row.VM, Instance: row.Instance, Fence: row.Fence, Era: row.Era, Version: version}
		return encode(u)
	}
	if err := s.broadcaster.broadcast(adapters, unloading, s.crashesSince, s.allOriginsSince, encodeWithLoads, now); err != nil {
		s.deps.Log.Error("word_not_encoded", zap.Error(err))
	}
}
