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

// fleet is a daemon of a whose questions the daemon of each other data centre
// answers, which holds every second model.
type fleet struct {
	models, centres int

	mu      sync.Mutex
	placing bool
	digest  string
	partial bool
	cut     map[string]bool
	asked   int
	answer  *Reach
}

func (f *fleet) Far() []member.Peer {
	var peers []member.Peer
	for i := range f.centres {
		centre := fmt.Sprintf("b%d", i)
		peers = append(peers, member.Peer{VM: centre, DataCentre: centre, Address: centre})
	}
	return peers
}

func (f *fleet) Document() (*envdoc.Document, bool) {
	doc := &envdoc.Document{}
	for i := range f.models {
		doc.Models = append(doc.Models, envdoc.Model{Name: fmt.Sprint("m", i), Version: "1"})
	}
	doc.Models[2].Adapters = []envdoc.Adapter{{Name: "a", Version: "1"}}
	return doc, true
}

func (f *fleet) InForce() (revision int64, digest string, ok bool) { return 1, "aa", true }

func (f *fleet) Placing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placing
}

func (f *fleet) Resident() (slots map[envdoc.Slot]bool, complete bool) {
	slots = map[envdoc.Slot]bool{}
	for i := 0; i < f.models; i += 2 {
		slots[envdoc.Slot{Model: fmt.Sprint("m", i)}] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return slots, !f.partial
}

func (f *fleet) Placed(ctx context.Context, address, digest string) (member.Placed, error) {
	f.mu.Lock()
	f.asked++
	cut, other := f.cut[address], f.digest
	f.mu.Unlock()
	if cut {
		<-ctx.Done()
		return member.Placed{}, ctx.Err()
	}
	if other != "" {
		digest = other
	}
	return f.answer.Placed(digest)
}

// set changes the fleet and returns the questions asked so far.
func (f *fleet) set(change func()) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	return f.asked
}

func (f *fleet) count() int { return f.set(func() {}) }

// runFleet runs use with a daemon that places models, after its first questions.
func runFleet(t *testing.T, models, centres int, use func(f *fleet, r *Reach)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{models: models, centres: centres, cut: map[string]bool{}, placing: true}
		d := Deps{Peers: f, Documents: f, Placing: f, Placed: f, Resident: f}
		f.answer = New(ctx, Deps{Peers: &fleet{}, Documents: f, Placing: &fleet{}, Placed: f, Resident: f})
		r := New(ctx, d, WithRandom(rand.New(rand.NewPCG(1, 1))))
		time.Sleep(7 * time.Second)
		use(f, r)
		cancel()
		require.NoError(t, errors.Join(r.Wait(), f.answer.Wait()))
	})
}

func TestHolderLearnsWhatOthersHold(t *testing.T) {
	runFleet(t, 11, 2, func(f *fleet, r *Reach) {
		remotes := r.Remotes()
		require.Len(t, remotes, 2)
		for _, remote := range remotes {
			require.Equal(t, []string{"m0", "m2", "m4", "m6", "m8", "m10"}, remote.Models)
			require.Equal(t, []string{"m0", "m4", "m6", "m8", "m10"}, remote.Whole)
			require.False(t, remote.Unknown)
			require.Less(t, time.Since(remote.At), 7*time.Second)
		}
		f.set(func() { f.partial = true })
		time.Sleep(7 * time.Second)
		require.True(t, r.Remotes()[0].Unknown, "some engines there are silent")
	})
}

func TestOnlyTheHolderAsks(t *testing.T) {
	runFleet(t, 11, 2, func(f *fleet, r *Reach) {
		asked := f.set(func() { f.placing = false })
		require.Positive(t, asked)
		time.Sleep(time.Minute)
		require.Equal(t, asked, f.count())
		require.Greater(t, time.Since(r.Remotes()[0].At), time.Minute, "an answer keeps its time")
		f.set(func() { f.placing = true })
		time.Sleep(7 * time.Second)
		require.Greater(t, f.count(), asked)
	})
}

func TestPartitionAgesAnswers(t *testing.T) {
	runFleet(t, 11, 2, func(f *fleet, r *Reach) {
		f.set(func() { f.cut["b0"] = true })
		time.Sleep(time.Minute)
		remotes := r.Remotes()
		require.Greater(t, time.Since(remotes[0].At), 50*time.Second)
		require.Less(t, time.Since(remotes[1].At), 7*time.Second, "the other one goes on")
		f.set(func() { clear(f.cut) })
		time.Sleep(7 * time.Second)
		require.Less(t, time.Since(r.Remotes()[0].At), 7*time.Second)
	})
}

func TestAnotherDocumentIsUnknown(t *testing.T) {
	runFleet(t, 11, 2, func(f *fleet, r *Reach) {
		f.set(func() { f.digest = "bb" })
		time.Sleep(7 * time.Second)
		require.Equal(t, place.Remote{DataCentre: "b0", Unknown: true}, r.Remotes()[0])
	})
}

// TestPlacedBytesAreBounded requires that questions for models take half of what
// is allowed at most, and are asked often enough for answers not to get stale.
func TestPlacedBytesAreBounded(t *testing.T) {
	for _, centres := range []int{1, 6, 8} {
		runFleet(t, 900, centres, func(f *fleet, r *Reach) {
			f.set(func() { f.answer.answers.SetLimit(1e9) })
			const span = 10 * time.Minute
			before := f.count()
			time.Sleep(span)
			asked := f.count() - before
			require.LessOrEqual(t, asked, centres*int(span/placedPeriod))
			require.LessOrEqual(t, float64((asked-centres)*placedCost(900)), placedShare*bytesPerSecond*span.Seconds())
			require.GreaterOrEqual(t, asked, centres*int(span/(20*time.Second)))
			require.Less(t, time.Since(r.Remotes()[0].At), 20*time.Second)
		})
	}
}

func TestPlacedAnswersAreBounded(t *testing.T) {
	runFleet(t, 900, 1, func(f *fleet, _ *Reach) {
		for range burstBytes / placedBytes {
			_, _ = f.answer.Placed("aa")
		}
		_, err := f.answer.Placed("aa")
		require.Equal(t, code.QueueFull, code.Of(err))
	})
}
