package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestLongRowsAreStoredCompressed reads rows of any length as they were, and
// refuses those cut short.
func TestLongRowsAreStoredCompressed(t *testing.T) {
	for _, charges := range []int{0, 1, 41, 1000} {
		row := Row{Engine: "e", MemoryMB: 1 << 40, Level: Level}
		var err error
		for i := range charges {
			row, err = row.Charge(envdoc.Slot{Model: fmt.Sprint("model-", i), Version: "1"}, 1, store.NewID(), time.UnixMilli(1))
			require.NoError(t, err)
		}
		value, err := Encode(row)
		require.NoError(t, err)
		if charges > 1 {
			require.Less(t, len(value), 60*charges)
			_, err = Decode("e", value[:len(value)/2])
			require.Equal(t, code.StoreCorrupt, code.Of(err))
		}
		back, err := Decode("e", value)
		require.NoError(t, err)
		require.Equal(t, row.Charges, back.Charges)
	}
}
