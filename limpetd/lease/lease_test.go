package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestOneHolderAtATime polls three candidates in random order and at random times.
// The term may expire between two polls, a write may take up to 1 s, and the
// answer to a write may be lost. At most one candidate may trust the lease at any
// time, and the fencing number must never decrease.
func TestOneHolderAtATime(t *testing.T) {
	const term = 8 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		var row Row
		var version, fence int64
		candidates := []*Candidate{
			NewCandidate(Config{VM: "a", Instance: "a1", Term: term}),
			NewCandidate(Config{VM: "b", Instance: "b1", Term: term}),
			NewCandidate(Config{VM: "c", Instance: "c1", Term: term}),
		}
		for range rapid.IntRange(10, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			m := candidates[rapid.IntRange(0, 2).Draw(rt, "candidate")]
			m.Observe(row, version, now)
			next := m.Row()
			switch m.Next(now) {
			case Wait:
				continue
			case Acquire:
				next = m.TakeoverRow()
			}
			row, version = next, version+1
			sent := now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(rt, "slow")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(rt, "answer") > 0 {
				m.RecordWrite(row, version, sent, now)
			}
			require.GreaterOrEqual(rt, row.Fence, fence)
			fence = row.Fence
			holders := 0
			for _, c := range candidates {
				if c.Trusted(now) {
					holders++
				}
			}
			require.LessOrEqual(rt, holders, 1)
		}
	})
}

// memoryTable is a table in memory that can be down or lose its answers to writes.
type memoryTable struct {
	store.Table
	mu   sync.Mutex
	rows map[string]store.Row
	// down makes all calls fail without effect.
	down bool
	// loseAnswers makes Apply return StoreUnknown after a write took effect.
	loseAnswers bool
}

func (m *memoryTable) Get(_ context.Context, keys ...string) ([]store.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, code.Errorf(code.StoreDown, "down")
	}
	var rows []store.Row
	for _, k := range keys {
		if r, ok := m.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (m *memoryTable) Apply(_ context.Context, tx store.Tx) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return code.Errorf(code.StoreDown, "down")
	}
	for _, c := range tx.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return code.Errorf(code.StoreConflict, "conflict")
		}
	}
	for _, w := range tx.Writes {
		m.rows[w.Key] = store.Row{Key: w.Key, Version: m.rows[w.Key].Version + 1, Writer: tx.ID, Value: w.Value}
	}
	if m.loseAnswers {
		return code.Errorf(code.StoreUnknown, "no answer")
	}
	return nil
}

// setFaults turns the faults of the table on or off.
func (m *memoryTable) setFaults(down, loseAnswers bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.loseAnswers = down, loseAnswers
}

// TestKeeper runs two keepers. A keeper must take the lease even if the answers to
// its writes are lost, since a read shows that the write took effect. While the
// table is down the lease holder must stop trusting its lease, and afterwards one
// keeper must hold the lease again. When the lease holder leaves, the other keeper
// must take the lease at its next poll, with a higher fencing number.
func TestKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = 8 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		table := &memoryTable{rows: map[string]store.Row{}}
		start := func(vm string) *Keeper {
			return New(ctx, "env", "dc", Config{VM: vm, Instance: vm + "#1", Term: term}, Deps{
				Table: table, Log: zap.NewNop(), Events: event.New(vm), Scope: tally.NoopScope,
			})
		}
		held := func(k *Keeper) bool { _, ok := k.Hold(); return ok }
		table.setFaults(false, true)
		a := start("a")
		time.Sleep(term)
		require.True(t, held(a), "the writer id of the row shows that the write took effect")
		table.setFaults(false, false)
		b := start("b")
		time.Sleep(5 * term)
		require.True(t, held(a))
		require.False(t, held(b))
		table.setFaults(true, false)
		time.Sleep(term)
		require.False(t, held(a))
		table.setFaults(false, false)
		time.Sleep(2 * term)
		require.True(t, held(a) != held(b))
		if !held(a) {
			a, b = b, a
		}
		first, _ := a.Hold()
		require.NoError(t, a.Leave(ctx))
		time.Sleep(term / 2)
		second, ok := b.Hold()
		require.True(t, ok, "a released lease must be taken at the next poll")
		require.Greater(t, second.Fence, first.Fence)
		cancel()
		_ = a.Wait()
		_ = b.Wait()
	})
}

// TestDecode checks that a missing lease row is decoded as the free lease, and that
// an invalid value has code StoreCorrupt.
func TestDecode(t *testing.T) {
	row, err := Decode(nil)
	require.NoError(t, err)
	require.Zero(t, row)
	_, err = Decode([]byte("garbage"))
	require.Equal(t, code.StoreCorrupt, code.Of(err))
}
