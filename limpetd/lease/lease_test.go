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

// TestOneHolderAtATime draws candidates with clocks that run on at any pace and
// reads that come late: no two trust the lease while each renews as it should,
// and fences only rise.
func TestOneHolderAtATime(t *testing.T) {
	const term = 8 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		var row Row
		var version, fence int64
		candidates := []*Machine{
			NewMachine(Config{VM: "a", Instance: "a1", Term: term}),
			NewMachine(Config{VM: "b", Instance: "b1", Term: term}),
			NewMachine(Config{VM: "c", Instance: "c1", Term: term}),
		}
		for range rapid.IntRange(10, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			m := candidates[rapid.IntRange(0, 2).Draw(rt, "candidate")]
			m.Observe(row, version, now)
			next := m.Row()
			switch m.Next(now) {
			case Wait:
				continue
			case Take:
				next = m.Taken()
			}
			row, version = next, version+1
			sent := now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(rt, "slow")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(rt, "answer") > 0 {
				m.Held(row, version, sent, now)
			}
			require.GreaterOrEqual(rt, row.Fence, fence)
			fence = row.Fence
			holders := 0
			for _, c := range candidates {
				if c.Valid(now) {
					holders++
				}
			}
			require.LessOrEqual(rt, holders, 1)
		}
	})
}

// memoryTable is a table with one fault: it may be down.
type memoryTable struct {
	store.Table
	mu   sync.Mutex
	rows map[string]store.Row
	down bool
	mute bool
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
	if m.mute {
		return code.Errorf(code.StoreUnknown, "no answer")
	}
	return nil
}

func (m *memoryTable) set(down, mute bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.mute = down, mute
}

// TestKeeper takes the lease while answers are lost, loses it while the table is
// down, takes it back, and hands it over at once.
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
		table.set(false, true)
		a := start("a")
		time.Sleep(term)
		require.True(t, held(a), "the writer of the row tells that the write took effect")
		table.set(false, false)
		b := start("b")
		time.Sleep(5 * term)
		require.True(t, held(a))
		require.False(t, held(b))
		table.set(true, false)
		time.Sleep(term)
		require.False(t, held(a))
		table.set(false, false)
		time.Sleep(2 * term)
		require.True(t, held(a) != held(b))
		if !held(a) {
			a, b = b, a
		}
		first, _ := a.Hold()
		require.NoError(t, a.Leave(ctx))
		time.Sleep(term / 2)
		second, ok := b.Hold()
		require.True(t, ok, "a lease that is handed over is taken at the next poll")
		require.Greater(t, second.Fence, first.Fence)
		cancel()
		_ = a.Wait()
		_ = b.Wait()
	})
}

func TestDecode(t *testing.T) {
	row, err := Decode(nil)
	require.NoError(t, err)
	require.Zero(t, row)
	_, err = Decode([]byte("garbage"))
	require.Equal(t, code.StoreCorrupt, code.Of(err))
}
