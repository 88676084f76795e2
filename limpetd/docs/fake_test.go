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

// table is the platform's table and object store with faults.
type table struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	// reads counts rows and objects read, at the second of the read.
	reads map[int64]int
	down  bool
	// lose is the number of coming writes whose answer is lost, refuse that
	// of coming writes that fail before their effect, likewise unanswered.
	lose, refuse int
	delay        time.Duration
	// heads are those that trial had, promoted those of production with the
	// one that trial had at the time.
	heads    []Head
	promoted [][2]Head
}

var (
	_ store.Table   = (*table)(nil)
	_ store.Objects = objects{}
)

func newTable() *table {
	return &table{rows: map[string]store.Row{}, objects: map[string][]byte{}, reads: map[int64]int{}}
}

// enter waits and fails as the platform would.
func (t *table) enter(ctx context.Context) error {
	t.mu.Lock()
	delay, down := t.delay, t.down
	t.reads[time.Now().Unix()]++
	t.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return code.Errorf(code.StoreDown, "slow")
	}
	if down {
		return code.Errorf(code.StoreDown, "down")
	}
	return nil
}

func (t *table) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := t.enter(ctx); err != nil {
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

func (t *table) Scan(context.Context, string, string, int) ([]store.Row, error) {
	return nil, code.Errorf(code.Internal, "not used")
}

func (t *table) Apply(ctx context.Context, tx store.Tx) error {
	if err := t.enter(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refuse > 0 {
		t.refuse--
		return code.Errorf(code.StoreUnknown, "refused")
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
			t.keep(w.Key, h)
		}
	}
	if t.lose > 0 {
		t.lose--
		return code.Errorf(code.StoreUnknown, "lost")
	}
	return nil
}

// keep notes a head for the checker.
func (t *table) keep(key string, h Head) {
	if key == headKey(Scope("andesoft", Trial)) {
		t.heads = append(t.heads, h)
		return
	}
	t.promoted = append(t.promoted, [2]Head{h, t.heads[len(t.heads)-1]})
}

func (t *table) set(change func(*table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

// objects is the object store of a table.
type objects struct{ t *table }

func (o objects) Delete(context.Context, string) error {
	return code.Errorf(code.Internal, "not used")
}

func (o objects) Put(ctx context.Context, key string, body []byte) error {
	if err := o.t.enter(ctx); err != nil {
		return err
	}
	o.t.set(func(t *table) { t.objects[key] = body })
	return nil
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.t.enter(ctx); err != nil {
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

// link is a daemon's way to the platform, which can be cut.
type link struct {
	*table
	cut atomic.Bool
}

func (l *link) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if l.cut.Load() {
		return nil, code.Errorf(code.StoreDown, "cut off")
	}
	return l.table.Get(ctx, keys...)
}

func (l *link) Apply(ctx context.Context, tx store.Tx) error {
	if l.cut.Load() {
		return code.Errorf(code.StoreDown, "cut off")
	}
	return l.table.Apply(ctx, tx)
}

// friends are the peers of a daemon in tests: other duties, reached directly.
type friends struct {
	mu    sync.Mutex
	peers []member.Peer
	reach []*Duty
	newer chan int64
}

var _ PeerProvider = (*friends)(nil)

func newFriends() *friends {
	return &friends{newer: make(chan int64, 1)}
}

func (f *friends) Peers() []member.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.peers)
}

func (f *friends) Announce(member.Announcement) {}

func (f *friends) Newer() <-chan int64 { return f.newer }

func (f *friends) set(reach ...*Duty) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach = reach
}

func (f *friends) Document(_ context.Context, after int64) (member.Copy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.reach {
		if c, err := u.Copy(u.scope()); err == nil && c.Revision > after {
			return c, nil
		}
	}
	return member.Copy{}, code.Errorf(code.PeerDown, "no peer has more than revision %d", after)
}

// document returns the body of a small document.
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
