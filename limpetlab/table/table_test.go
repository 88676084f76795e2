package table

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// newClient returns a table that is served over HTTP, a client of the table and a
// switch for the table's faults.
func newClient(t *testing.T, c Config) (*Table, *store.Client, *fault.Switch) {
	faults := fault.NewSwitch()
	table := New(c, WithFaults(faults))
	server := httptest.NewServer(table.Handler())
	t.Cleanup(server.Close)
	return table, store.NewClient(server.URL, store.WithTimeout(200*time.Millisecond)), faults
}

// insert returns a transaction that inserts rows, which must not exist.
func insert(keys ...string) store.Tx {
	tx := store.Tx{ID: store.NewID()}
	for _, k := range keys {
		tx.Require(k, 0)
		tx.Put(k, []byte("value of "+k))
	}
	return tx
}

func TestClientReadsWrittenRows(t *testing.T) {
	_, c, _ := newClient(t, Config{})
	tx := insert("a/1", "a/2", "b/1")
	require.NoError(t, c.Apply(t.Context(), tx))
	rows, err := c.Get(t.Context(), "b/1", "a/9", "a/1")
	require.NoError(t, err)
	require.Equal(t, []store.Row{
		{Key: "b/1", Version: 1, Writer: tx.ID, Value: []byte("value of b/1")},
		{Key: "a/1", Version: 1, Writer: tx.ID, Value: []byte("value of a/1")},
	}, rows)
	rows, err = c.Scan(t.Context(), "a/", "a/1", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, "a/2", rows[0].Key)
}

// TestClientDistinguishesFaults applies a transaction under each fault. A call
// without an answer must be reported as unknown, whether or not it took effect, and
// a failed connection as unavailable.
func TestClientDistinguishesFaults(t *testing.T) {
	for kind, want := range map[fault.Kind]code.Code{
		fault.Down: code.StoreDown,
		fault.Drop: code.StoreUnknown,
		fault.Lost: code.StoreUnknown,
	} {
		table, c, faults := newClient(t, Config{})
		faults.Set(ServerName, fault.Action{Kind: kind})
		require.Equal(t, want, code.Of(c.Apply(t.Context(), insert("a"))), kind)
		require.Equal(t, kind == fault.Lost, table.Stats().Writes == 1, kind)
		_, err := c.Get(t.Context(), "a")
		require.Equal(t, code.StoreDown, code.Of(err), kind)
	}
}

// TestCommitRecognizesDelayedWrite commits a transaction again whose first call took
// effect only after the client's timeout. The transaction must be written once.
func TestCommitRecognizesDelayedWrite(t *testing.T) {
	table, c, faults := newClient(t, Config{})
	faults.Set(ServerName, fault.Action{Kind: fault.Delay, Delay: 300 * time.Millisecond})
	tx := insert("a")
	require.Equal(t, code.StoreUnknown, code.Of(c.Apply(t.Context(), tx)))
	faults.Clear(ServerName)
	require.NoError(t, store.Commit(t.Context(), c, tx))
	require.EqualValues(t, 1, table.Stats().Writes)
}

func TestVersionIsNotReusedAfterDelete(t *testing.T) {
	table := New(Config{})
	require.NoError(t, table.Apply(t.Context(), insert("a")))
	deletion := store.Tx{ID: store.NewID()}
	deletion.Require("a", 1)
	deletion.Delete("a")
	require.NoError(t, table.Apply(t.Context(), deletion))
	require.Equal(t, code.StoreConflict, code.Of(table.Apply(t.Context(), deletion)))
	require.NoError(t, table.Apply(t.Context(), insert("a")))
	rows, err := table.Get(t.Context(), "a")
	require.NoError(t, err)
	require.EqualValues(t, 2, rows[0].Version)
}

func TestRateLimitRejectsWithoutEffect(t *testing.T) {
	table := New(Config{WritesPerSecond: 5})
	limited := 0
	for _, k := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		if code.Of(table.Apply(t.Context(), insert(k))) == code.StoreLimited {
			limited++
		}
	}
	require.Positive(t, limited)
	require.EqualValues(t, 8-limited, table.Stats().Writes)
}
