package mirror_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/mirror"
)

// TestDeletedRowIsNotRestoredByOlderOne guards against a row that is back after its deletion because
// an older version of it arrives late.
func TestDeletedRowIsNotRestoredByOlderOne(t *testing.T) {
	var table mirror.Table
	require.True(t, table.Replace([]mirror.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, at(2)))
	table.Merge([]mirror.Row{{Key: "a", Version: 5, Deleted: true}}, 5)
	table.Merge([]mirror.Row{{Key: "a", Version: 3}}, 5)
	require.NotContains(t, table.Rows(), "a")
	for i := range 600 {
		table.Merge([]mirror.Row{{Key: strconv.Itoa(i), Version: int64(6 + i), Deleted: true}}, int64(6+i))
	}
	table.Merge([]mirror.Row{{Key: "a", Version: 3}, {Key: "b", Version: 2}}, 5)
	require.NotContains(t, table.Rows(), "a", "the deletion is no longer kept")
	require.Contains(t, table.Rows(), "b")
	table.Merge([]mirror.Row{{Key: "a", Version: 900}}, 900)
	require.Contains(t, table.Rows(), "a", "the row was written again")
}

// TestRepeatedDeletionIsKeptOnce guards against a deletion that arrives repeatedly and displaces all
// others, so that changes can't be relayed.
func TestRepeatedDeletionIsKeptOnce(t *testing.T) {
	var table mirror.Table
	require.True(t, table.Replace([]mirror.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, at(2)))
	table.Merge([]mirror.Row{{Key: "a", Version: 3, Deleted: true}}, 3)
	for range 600 {
		table.Merge([]mirror.Row{{Key: "b", Version: 4, Deleted: true}}, 4)
	}
	u, ok := table.Since(at(2))
	require.True(t, ok)
	require.Len(t, u.Rows, 2)
}
