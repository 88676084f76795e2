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

// TestLongRowsAreStoredCompressed encodes and decodes rows with up to 1000
// charges. Long rows must be stored in fewer than 60 bytes a charge, and a
// truncated row must be rejected.
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
		decoded, err := Decode("e", value)
		require.NoError(t, err)
		require.Equal(t, row.Charges, decoded.Charges)
	}
}
