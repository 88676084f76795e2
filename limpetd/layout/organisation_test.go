package layout_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// TestKeysMatchTheirOrganisation guards against keys that match another organisation or, being long, none.
func TestKeysMatchTheirOrganisation(t *testing.T) {
	a, b := &layout.Organisation{Name: "a"}, &layout.Organisation{Name: "b"}
	index := layout.NewKeyIndex(3)
	long := strings.Repeat("x", 20_000)
	for _, c := range []struct {
		key   string
		owner *layout.Organisation
		added bool
	}{{"k", a, true}, {"k", a, true}, {"k", b, false}, {"", a, false}, {long, b, true}, {long[1:], a, true}} {
		require.Equal(t, c.added, index.Add(c.key, c.owner))
	}
	require.Equal(t, 3, index.Len())
	for key, owner := range map[string]*layout.Organisation{"k": a, long: b, long[1:]: a, "K": nil, long[2:]: nil} {
		hash, ok := layout.HashKey(key)
		require.True(t, ok)
		require.Same(t, owner, index.Match(hash))
	}
	_, ok := layout.HashKey("")
	require.False(t, ok)
}
