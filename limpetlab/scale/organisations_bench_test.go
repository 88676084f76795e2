package scale_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// The numbers of docs/hard_load.md.
const (
	benchKeys          = 100_000
	benchOrganisations = 10_000
)

// newKeyLists returns the organisations and their keys, as a decoder has them.
func newKeyLists() []layout.KeyList {
	lists := make([]layout.KeyList, benchOrganisations)
	for i := range lists {
		lists[i].Organisation = &layout.Organisation{Name: fmt.Sprint("organisation-", i)}
		for k := range benchKeys / benchOrganisations {
			lists[i].Keys = append(lists[i].Keys, fmt.Sprintf("key-%032d-%d", i, k))
		}
	}
	return lists
}

// BenchmarkKeyLookUp measures the look-up of a call's key: at most 300 ns and no allocation.
func BenchmarkKeyLookUp(b *testing.B) {
	lists := newKeyLists()
	var index *layout.KeyIndex
	index = index.Update(lists)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l := &lists[i%benchOrganisations]
		hash, _ := layout.HashKey(l.Keys[i%len(l.Keys)])
		if index.Match(hash) != l.Organisation {
			b.Fatal("no match")
		}
	}
}

// BenchmarkKeyIndex measures a new index and its size: at most 60 MB.
func BenchmarkKeyIndex(b *testing.B) {
	lists := newKeyLists()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var index *layout.KeyIndex
	index = index.Update(lists)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runtime.KeepAlive((*layout.KeyIndex)(nil).Update(lists))
	}
	runtime.KeepAlive(index)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
}

// BenchmarkKeyChange measures a new version in which one key was changed: at most 5 ms. Calls use the version before
// meanwhile, without a lock.
func BenchmarkKeyChange(b *testing.B) {
	lists := newKeyLists()
	var index *layout.KeyIndex
	index = index.Update(lists)
	for i := 0; b.Loop(); i++ {
		l := &lists[i%benchOrganisations]
		l.Keys[0] = fmt.Sprintf("changed-%032d", i)
		index = index.Update(lists)
	}
	if index.Len() != benchKeys {
		b.Fatal("wrong number of keys")
	}
}
