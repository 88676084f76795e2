package docs

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// fakeTable is a table and object store in memory that can inject faults.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	// calls counts the calls to the table and the object store by Unix second.
	calls map[int64]int
	// down makes every call fail with code StoreDown.
	down bool
	// loseAnswers is the number of next writes that take effect but return
	// StoreUnknown. dropWrites is the number of next writes that return
	// StoreUnknown without effect.
	loseAnswers, dropWrites int
	// delay is the duration of each call.
	delay time.Duration
	// trialHeads are all heads of the trial stage in order. promotions pairs
	// each head of the production stage with the trial head at that time.
	trialHeads []Head
	promotions [][2]Head
}

var (
	_ store.Table       = (*fakeTable)(nil)
	_ store.ObjectStore = fakeObjects{}
)

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]store.Row{}, objects: map[string][]byte{}, calls: map[int64]int{}}
}

// beginCall counts a call, waits for the delay and returns an error if the table is
// down or ctx ends first.
func (t *fakeTable) beginCall(ctx context.Context) error {
	t.mu.Lock()
	delay, down := t.delay, t.down
	t.calls[time.Now().Unix()]++
	t.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return code.Errorf(code.StoreDown, "the call timed out")
	}
	if down {
		return code.Errorf(code.StoreDown, "the table is down")
	}
	return nil
}

func (t *fakeTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := t.beginCall(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	slices.Sort(keys)
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (t *fakeTable) Scan(context.Context, string, string, int) ([]store.Row, error) {
	return nil, code.Errorf(code.Internal, "not used")
}

func (t *fakeTable) Apply(ctx context.Context, tx store.Tx) error {
	if err := t.beginCall(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dropWrites > 0 {
		t.dropWrites--
		return code.Errorf(code.StoreUnknown, "the write was dropped")
	}
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return code.Errorf(code.StoreConflict, "%s", c.Key)
		}
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = store.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Writer: tx.ID, Value: w.Value}
		if strings.HasSuffix(w.Key, "/head") {
			h, err := decodeHead(t.rows[w.Key])
			if err != nil {
				return err
			}
			t.recordHead(w.Key, h)
		}
	}
	if t.loseAnswers > 0 {
		t.loseAnswers--
		return code.Errorf(code.StoreUnknown, "the answer was lost")
	}
	return nil
}

// recordHead records a written head in trialHeads or promotions.
func (t *fakeTable) recordHead(key string, h Head) {
	if key == headKey(Scope("andesoft", Trial)) {
		t.trialHeads = append(t.trialHeads, h)
		return
	}
	t.promotions = append(t.promotions, [2]Head{h, t.trialHeads[len(t.trialHeads)-1]})
}

// update calls f with the table locked.
func (t *fakeTable) update(f func(*fakeTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

// fakeObjects is the object store of a fakeTable.
type fakeObjects struct{ t *fakeTable }

func (o fakeObjects) Delete(context.Context, string) error {
	return code.Errorf(code.Internal, "not used")
}

func (o fakeObjects) Put(ctx context.Context, key string, body []byte) error {
	if err := o.t.beginCall(ctx); err != nil {
		return err
	}
	o.t.update(func(t *fakeTable) { t.objects[key] = body })
	return nil
}

func (o fakeObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.t.beginCall(ctx); err != nil {
		return nil, err
	}
	o.t.mu.Lock()
	defer o.t.mu.Unlock()
	body, ok := o.t.objects[key]
	if !ok {
		return nil, code.Errorf(code.StoreNotFound, "%s", key)
	}
	return body, nil
}

// link is the connection of one daemon to the table; cut simulates its loss.
type link struct {
	*fakeTable
	cut atomic.Bool
}

func (l *link) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if l.cut.Load() {
		return nil, code.Errorf(code.StoreDown, "the connection is cut")
	}
	return l.fakeTable.Get(ctx, keys...)
}

func (l *link) Apply(ctx context.Context, tx store.Tx) error {
	if l.cut.Load() {
		return code.Errorf(code.StoreDown, "the connection is cut")
	}
	return l.fakeTable.Apply(ctx, tx)
}

// fakePeers is a PeerProvider that calls the Manager of other daemons directly.
type fakePeers struct {
	mu    sync.Mutex
	peers []member.Peer
	// reachable are the daemons that Document asks.
	reachable []*Manager
	newer     chan int64
}

var _ PeerProvider = (*fakePeers)(nil)

func newFakePeers() *fakePeers {
	return &fakePeers{newer: make(chan int64, 1)}
}

func (f *fakePeers) Peers() []member.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.peers)
}

func (f *fakePeers) Announce(member.Announcement) {}

func (f *fakePeers) NewerRevisions() <-chan int64 { return f.newer }

// setReachable replaces the reachable daemons.
func (f *fakePeers) setReachable(managers ...*Manager) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachable = managers
}

func (f *fakePeers) Document(_ context.Context, after int64) (member.DocumentCopy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.reachable {
		if c, err := u.Copy(u.scope()); err == nil && c.Revision > after {
			return c, nil
		}
	}
	return member.DocumentCopy{}, code.Errorf(code.PeerDown, "no peer has a revision above %d", after)
}

// document returns the body of a small document. The note makes the digest unique.
func document(revision int64, note string) []byte {
	return []byte(fmt.Sprintf(`# %s
environment: andesoft
revision: %d
weights: {attainment: 1, moves: 1}
priorities: [{name: live, rank: 0, first_token: 1s, between_tokens: 50ms}]
models: [{name: m1, version: "1", pool: assistant, memory_mb: 1000}]
callers: []
budgets: {loads_per_second: 1, loads_at_once: 1, adapters_in_transit: 1}
`, note, revision))
}
