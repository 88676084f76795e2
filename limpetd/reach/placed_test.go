package reach

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/place"
)

// fakePlacement implements the dependencies of a daemon in data centre a. The daemons
// of the other data centres answer its queries; each holds every second model.
type fakePlacement struct {
	models, centres int

	mu          sync.Mutex
	placing     bool
	digest      string
	incomplete  bool
	unreachable map[string]bool
	queries     int
	answerer    *Finder
}

func (f *fakePlacement) FarPeers() []member.Peer {
	var peers []member.Peer
	for i := range f.centres {
		centre := fmt.Sprintf("b%d", i)
		peers = append(peers, member.Peer{VM: centre, DataCentre: centre, Address: centre})
	}
	return peers
}

func (f *fakePlacement) Document() (*envdoc.Document, bool) {
	doc := &envdoc.Document{}
	for i := range f.models {
		doc.Models = append(doc.Models, envdoc.Model{Name: fmt.Sprint("m", i), Version: "1"})
	}
	doc.Models[2].Adapters = []envdoc.Adapter{{Name: "a", Version: "1"}}
	return doc, true
}

func (f *fakePlacement) InForce() (revision int64, digest string, ok bool) { return 1, "aa", true }

func (f *fakePlacement) Placing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placing
}

func (f *fakePlacement) ResidentSlots() (slots map[envdoc.Slot]bool, complete bool) {
	slots = map[envdoc.Slot]bool{}
	for i := 0; i < f.models; i += 2 {
		slots[envdoc.Slot{Model: fmt.Sprint("m", i)}] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return slots, !f.incomplete
}

func (f *fakePlacement) QueryPlaced(ctx context.Context, address, digest string) (member.PlacedModels, error) {
	f.mu.Lock()
	f.queries++
	unreachable, otherDigest := f.unreachable[address], f.digest
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return member.PlacedModels{}, ctx.Err()
	}
	if otherDigest != "" {
		digest = otherDigest
	}
	return f.answerer.Placed(digest)
}

// update applies a change and returns the number of queries so far.
func (f *fakePlacement) update(change func()) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	return f.queries
}

func (f *fakePlacement) queryCount() int { return f.update(func() {}) }

// withPlacement runs use with a daemon that places models, after its first queries.
func withPlacement(t *testing.T, models, centres int, use func(f *fakePlacement, r *Finder)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakePlacement{models: models, centres: centres, unreachable: map[string]bool{}, placing: true}
		d := Deps{Peers: f, Documents: f, Placing: f, Placed: f, Resident: f}
		f.answerer = New(ctx, Deps{Peers: &fakePlacement{}, Documents: f, Placing: &fakePlacement{}, Placed: f, Resident: f})
		r := New(ctx, d, WithRandom(rand.New(rand.NewPCG(1, 1))))
		time.Sleep(7 * time.Second)
		use(f, r)
		cancel()
		require.NoError(t, errors.Join(r.Wait(), f.answerer.Wait()))
	})
}

func TestRemotesListsModelsOfOtherDataCentres(t *testing.T) {
	withPlacement(t, 11, 2, func(f *fakePlacement, r *Finder) {
		remotes := r.Remotes()
		require.Len(t, remotes, 2)
		for _, remote := range remotes {
			require.Equal(t, []string{"m0", "m2", "m4", "m6", "m8", "m10"}, remote.Models)
			require.Equal(t, []string{"m0", "m4", "m6", "m8", "m10"}, remote.WithAdapters)
			require.False(t, remote.Incomplete)
			require.Less(t, time.Since(remote.QueriedAt), 7*time.Second)
		}
		f.update(func() { f.incomplete = true })
		time.Sleep(7 * time.Second)
		require.True(t, r.Remotes()[0].Incomplete, "reports of some engines there are missing")
	})
}

func TestOnlyPlacingDaemonQueries(t *testing.T) {
	withPlacement(t, 11, 2, func(f *fakePlacement, r *Finder) {
		queries := f.update(func() { f.placing = false })
		require.Positive(t, queries)
		time.Sleep(time.Minute)
		require.Equal(t, queries, f.queryCount())
		require.Greater(t, time.Since(r.Remotes()[0].QueriedAt), time.Minute, "a kept answer keeps its time")
		f.update(func() { f.placing = true })
		time.Sleep(7 * time.Second)
		require.Greater(t, f.queryCount(), queries)
	})
}

func TestPartitionLeavesAnswersStale(t *testing.T) {
	withPlacement(t, 11, 2, func(f *fakePlacement, r *Finder) {
		f.update(func() { f.unreachable["b0"] = true })
		time.Sleep(time.Minute)
		remotes := r.Remotes()
		require.Greater(t, time.Since(remotes[0].QueriedAt), 50*time.Second)
		require.Less(t, time.Since(remotes[1].QueriedAt), 7*time.Second, "the reachable data centre still answers")
		f.update(func() { clear(f.unreachable) })
		time.Sleep(7 * time.Second)
		require.Less(t, time.Since(r.Remotes()[0].QueriedAt), 7*time.Second)
	})
}

func TestOtherDocumentIsUnknown(t *testing.T) {
	withPlacement(t, 11, 2, func(f *fakePlacement, r *Finder) {
		f.update(func() { f.digest = "bb" })
		time.Sleep(7 * time.Second)
		require.Equal(t, place.Remote{DataCentre: "b0", Incomplete: true}, r.Remotes()[0])
	})
}

// TestPlacedBytesAreBounded checks that queries for models use at most half of the
// byte budget, and are frequent enough to keep the answers recent.
func TestPlacedBytesAreBounded(t *testing.T) {
	for _, centres := range []int{1, 6, 8} {
		withPlacement(t, 900, centres, func(f *fakePlacement, r *Finder) {
			f.update(func() { f.answerer.answerBudget.SetLimit(1e9) })
			const duration = 10 * time.Minute
			before := f.queryCount()
			time.Sleep(duration)
			queries := f.queryCount() - before
			require.LessOrEqual(t, queries, centres*int(duration/placedPeriod))
			require.LessOrEqual(t, float64((queries-centres)*placedQueryCost(900)), placedBudgetShare*bytesPerSecond*duration.Seconds())
			require.GreaterOrEqual(t, queries, centres*int(duration/(20*time.Second)))
			require.Less(t, time.Since(r.Remotes()[0].QueriedAt), 20*time.Second)
		})
	}
}

func TestPlacedAnswersAreBounded(t *testing.T) {
	withPlacement(t, 900, 1, func(f *fakePlacement, _ *Finder) {
		for range burstBytes / placedQueryBytes {
			_, _ = f.answerer.Placed("aa")
		}
		_, err := f.answerer.Placed("aa")
		require.Equal(t, code.QueueFull, code.Of(err))
	})
}
