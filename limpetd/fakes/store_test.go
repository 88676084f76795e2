package fakes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestVersionsAreNotReused applies a late deletion that requires the first version of a
// row, after the row was deleted and written again. The deletion must conflict.
func TestVersionsAreNotReused(t *testing.T) {
	table := &Table{}
	commit := func(version int64, change func(*store.Tx)) error {
		tx := store.Tx{ID: store.NewID()}
		tx.Require("k", version)
		change(&tx)
		return table.Apply(t.Context(), tx)
	}
	put := func(tx *store.Tx) { tx.Put("k", []byte("v")) }
	remove := func(tx *store.Tx) { tx.Delete("k") }
	require.NoError(t, commit(0, put))
	require.NoError(t, commit(1, remove))
	require.NoError(t, commit(0, put))
	require.Equal(t, code.StoreConflict, code.Of(commit(1, remove)))
	rows, err := table.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.EqualValues(t, 2, rows[0].Version)
}
