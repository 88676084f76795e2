package layout_test

import (
	"fmt"
	"math/rand/v2"
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

// TestUpdatedIndexEqualsNewOne guards against withdrawn keys that stay valid, and keys of another organisation, in an
// index that reuses parts of the one before, and against changes of the one before, which calls still use.
func TestUpdatedIndexEqualsNewOne(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var index *layout.KeyIndex
		check := func(index *layout.KeyIndex, lists []layout.KeyList) {
			fresh := layout.NewKeyIndex(0)
			for _, l := range lists {
				for _, key := range l.Keys {
					fresh.Add(key, l.Organisation)
				}
			}
			require.Equal(t, fresh.Len(), index.Len(), seed)
			for k := range 30 {
				hash, _ := layout.HashKey(fmt.Sprint("k", k))
				require.Same(t, fresh.Match(hash), index.Match(hash), "seed %d key %d", seed, k)
			}
		}
		var lists []layout.KeyList
		for range 12 {
			before, beforeLists := index, lists
			lists = nil
			for o := range 6 {
				if random.IntN(4) == 0 {
					continue
				}
				l := layout.KeyList{Organisation: &layout.Organisation{Name: fmt.Sprint("o", o)}}
				for k := range 5 {
					key := fmt.Sprint("k", 5*o+k)
					switch random.IntN(40) {
					case 0:
						key = fmt.Sprint("k", random.IntN(30))
					case 1, 2, 3:
						continue
					}
					l.Keys = append(l.Keys, key)
				}
				lists = append(lists, l)
			}
			if random.IntN(20) == 0 && len(lists) > 0 {
				lists = append(lists, layout.KeyList{Organisation: &layout.Organisation{Name: "o1"}, Keys: []string{"k3", ""}})
			}
			index = before.Update(lists)
			check(index, lists)
			if before != nil {
				check(before, beforeLists)
			}
		}
	}
}
