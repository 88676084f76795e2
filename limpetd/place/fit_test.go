package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// drawNearCapacity draws the engines of some data centres, and a document whose models
// and adapters take up to a drawn part of the engines' memory, between 60 percent and
// the given percentage.
func drawNearCapacity(rt *rapid.T, centres, engines int, percent int64) (*envdoc.Document, []store.VM) {
	var vms []store.VM
	var total int64
	for c := range centres {
		for e := range engines {
			memory := rapid.Int64Range(80, 160).Draw(rt, "memory")
			total += memory
			vms = append(vms, store.VM{
				ID: fmt.Sprintf("e%d-%d", c, e), DataCentre: fmt.Sprintf("dc%d", c), Kind: store.KindEngine,
				State: store.StateLive, Pool: "pool", MemoryMB: memory,
			})
		}
	}
	left := total * rapid.Int64Range(60, percent).Draw(rt, "percent") / 100
	doc := &envdoc.Document{}
	for {
		m := envdoc.Model{Name: fmt.Sprintf("m%d", len(doc.Models)), Version: "1", Pool: "pool", MemoryMB: rapid.Int64Range(10, 60).Draw(rt, "model")}
		left -= m.MemoryMB
		for j := range rapid.IntRange(0, 4).Draw(rt, "adapters") {
			a := envdoc.Adapter{Name: fmt.Sprintf("a%d", j), Version: "1", MemoryMB: rapid.Int64Range(1, 12).Draw(rt, "adapter")}
			left -= a.MemoryMB
			m.Adapters = append(m.Adapters, a)
		}
		if left < 0 {
			return doc, vms
		}
		doc.Models = append(doc.Models, m)
	}
}

// rollOut makes plans while engines finish moves in random order and each data centre
// sees the state of the others one plan late. It returns descriptions of the models
// that are not fully placed in the end.
func rollOut(rt *rapid.T, tr *trial) []string {
	for range 25 * (1 + len(tr.centres)) {
		if len(tr.unfit()) == 0 {
			return nil
		}
		tr.now = tr.now.Add(5 * time.Second)
		remotes := make([]Remote, len(tr.centres))
		for i := range tr.centres {
			remotes[i] = tr.centres[i].asRemote()
		}
		for i := range tr.centres {
			f := &tr.centres[i]
			for e := range f.Engines {
				if rapid.IntRange(0, 2).Draw(rt, "finish") > 0 {
					finishMoves(&f.Engines[e])
				}
			}
			f.Now, f.Remotes = tr.now, slices.Delete(slices.Clone(remotes), i, i+1)
			startPlan(f, tr.planners[i].Plan(*f))
			require.Empty(rt, overcommitted(*f))
		}
	}
	for i := range tr.centres {
		for e := range tr.centres[i].Engines {
			finishMoves(&tr.centres[i].Engines[e])
		}
	}
	return tr.unfit()
}

// TestFitAgreesWithPlans requires that planners with empty engines place every document
// that Fit accepts, and that Fit accepts every document whose models fit when each is
// packed on one engine with all its adapters.
func TestFitAgreesWithPlans(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(rt *rapid.T) {
		doc, vms := drawNearCapacity(rt, rapid.IntRange(1, 4).Draw(rt, "centres"), rapid.IntRange(1, 4).Draw(rt, "engines"), 100)
		tr := newTrial(doc, vms)
		err := Fit(doc, vms)
		if err == nil {
			accepted++
			require.Empty(rt, rollOut(rt, tr))
			return
		}
		require.False(rt, packable(tr), "%v", err)
	})
	require.Positive(t, accepted)
}

// packable reports whether best fit or worst fit, the largest models first, places all
// models of a trial with all their adapters.
func packable(tr *trial) bool {
	var centres []centre
	for i := range tr.centres {
		r := tr.centres[i].asRemote()
		centres = append(centres, centre{r.DataCentre, r.Engines})
	}
	x := newIndex(tr.document, centres[0].name, centres)
	models := slices.Clone(x.order)
	slices.SortFunc(models, x.compareBySize)
	bins := binsOf(centres, "pool")
	return len(x.pack(models, bins, true, false)) == len(models) || len(x.pack(models, bins, false, false)) == len(models)
}

// TestPlansPlaceChangedDocument changes a document that is fully placed: models are
// removed and added, and versions change. While the new document fills at most seven
// tenths of the memory of one data centre, plans must place all of it.
func TestPlansPlaceChangedDocument(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		doc, vms := drawNearCapacity(rt, 1, rapid.IntRange(2, 6).Draw(rt, "engines"), 70)
		next, _ := drawNearCapacity(rt, 1, 1, 70)
		for i := range next.Models {
			next.Models[i].Name = "n" + next.Models[i].Name
		}
		for _, m := range doc.Models {
			if rapid.Bool().Draw(rt, "stays") {
				m.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "version")
				next.Models = append(next.Models, m)
			}
		}
		total := int64(0)
		for _, v := range vms {
			total += v.MemoryMB
		}
		for _, m := range next.Models {
			total -= groupMB(m) * 10 / 7
		}
		if total < 0 || Fit(doc, vms) != nil || Fit(next, vms) != nil {
			return
		}
		tr := newTrial(doc, vms)
		require.Empty(rt, rollOut(rt, tr))
		tr.document, tr.centres[0].Document = next, next
		require.Empty(rt, rollOut(rt, tr))
	})
}

// groupMB returns the memory of a model with its adapters.
func groupMB(m envdoc.Model) int64 {
	sum := m.MemoryMB
	for _, a := range m.Adapters {
		sum += a.MemoryMB
	}
	return sum
}
