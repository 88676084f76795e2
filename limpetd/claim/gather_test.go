package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
)

// linkFault is what becomes of a forwarded write.
type linkFault int

const (
	linkWorks linkFault = iota
	linkRefuses
	linkLosesCall
	linkLosesAnswer
	linkDelays
	linkHangs
	linkFaults
)

// link leads to the daemon that commits, with faults in turn.
type link struct {
	to     *Claims
	faults []linkFault

	mu sync.Mutex
	n  int
}

var _ GathererProvider = (*link)(nil)

func (l *link) Gatherer() Gatherer {
	if l.to == nil {
		return nil
	}
	return l
}

func (l *link) DataCentres() int { return 7 }

func (l *link) next() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	if l.n > len(l.faults) {
		return linkWorks
	}
	return l.faults[l.n-1]
}

func (l *link) Gather(ctx context.Context, w Write) (Answer, error) {
	lost := code.Errorf(code.PeerDown, "no answer")
	switch l.next() {
	case linkRefuses:
		return Answer{}, code.Errorf(code.PeerUntrusted, "unknown")
	case linkLosesCall:
		return Answer{}, lost
	case linkLosesAnswer:
		_, _ = l.to.Gather(ctx, w)
		return Answer{}, lost
	case linkDelays:
		go func() {
			time.Sleep(2 * time.Second)
			_, _ = l.to.Gather(context.WithoutCancel(ctx), w)
		}()
		return Answer{}, lost
	case linkHangs:
		<-ctx.Done()
		return Answer{}, lost
	}
	return l.to.Gather(ctx, w)
}

// TestForwardedCallsRunAtMostOnce lets arrivals at two daemons, of which one
// commits for both, meet any faults of the link and of the table.
func TestForwardedCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakes.Fault{
			fakes.None, fakes.None, fakes.None, fakes.Down, fakes.LostAnswer, fakes.LostCall, fakes.LateEffect,
		}), 0, 10).Draw(r, "faults")
		links := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) linkFault {
			return linkFault(rapid.IntRange(0, int(linkFaults)-1).Draw(r, "link"))
		}), 0, 20).Draw(r, "links")
		arrivals := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) arrival {
			return arrival{daemon: rapid.IntRange(0, 1).Draw(r, "daemon"), ending: rapid.IntRange(0, 4).Draw(r, "ending")}
		}), 1, 12).Draw(r, "arrivals")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 20), len(arrivals), len(arrivals)).Draw(r, "gaps")
		service := &service{told: make(map[code.Run]int)}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			table := &fakes.Table{Fault: list(faults...)}
			config := Config{Environment: "test", KeepFor: keepFor}
			first := New(ctx, config, Deps{Table: table})
			second := New(ctx, config, Deps{Table: table, Gatherers: &link{to: first, faults: links}})
			daemons := []*Claims{first, second}
			var calls sync.WaitGroup
			for i, a := range arrivals {
				calls.Go(func() { service.arrive(t.Context(), daemons[a.daemon], a) })
				time.Sleep(time.Duration(gaps[i]) * time.Second / 2)
			}
			calls.Wait()
			time.Sleep(time.Minute)
			cancel()
			require.NoError(t, first.Wait())
			require.NoError(t, second.Wait())
		})
		require.LessOrEqual(t, service.runs, 1)
		if service.told[code.RunYes] > 0 {
			require.Equal(t, 1, service.runs)
		}
	})
}

// TestOneFaultOfTheLinkCostsNoCall claims and closes a call over a link with one
// fault; a repeat gets the outcome.
func TestOneFaultOfTheLinkCostsNoCall(t *testing.T) {
	for fault := linkWorks; fault < linkFaults; fault++ {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			inBubble(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
				daemons[1].deps.Gatherers = &link{to: daemons[0], faults: []linkFault{fault}}
				c, err := daemons[1].Claim(t.Context(), callOf("k"))
				require.NoError(t, err)
				require.NotNil(t, c.Hold)
				c.Hold.Close(t.Context(), Outcome{Status: 201})
				time.Sleep(10 * time.Second)
				again, err := daemons[0].Claim(t.Context(), callOf("k"))
				require.NoError(t, err)
				require.NotNil(t, again.Stored)
				require.Equal(t, 201, again.Stored.Status)
			})
		})
	}
}

func TestOnlyClaimsAreGathered(t *testing.T) {
	inBubble(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		_, err := daemons[0].Gather(t.Context(), Write{Key: "test/lease/a"})
		require.Equal(t, code.BadParameter, code.Of(err))
	})
}

// Size of a data centre at which claims are to fit into the table.
const (
	sizeDaemons = 52
	sizeCentres = 7
	// sizeCalls is the calls a second of a data centre, all of them keyed.
	sizeCalls   = 271
	sizeSeconds = 20
)

// callsOfADataCentre has keyed calls come in at random daemons and returns the
// transactions that they take, and how long claims took in all.
func callsOfADataCentre(t *testing.T, gathered bool) (transactions int, waited time.Duration) {
	table := &fakes.Table{}
	var total atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		config := Config{Environment: "test", KeepFor: keepFor, SweepEvery: time.Hour}
		links := []*link{{}}
		daemons := []*Claims{New(ctx, config, Deps{Table: slowTable{table, 5 * time.Millisecond}, Gatherers: links[0]})}
		for len(daemons) < sizeDaemons {
			l := &link{}
			if gathered {
				l.to = daemons[0]
			}
			daemons = append(daemons, New(ctx, config, Deps{Table: slowTable{table, 5 * time.Millisecond}, Gatherers: l}))
		}
		random := rand.New(rand.NewPCG(1, 1))
		var calls sync.WaitGroup
		for i := range sizeCalls * sizeSeconds {
			s := daemons[random.IntN(len(daemons))]
			calls.Go(func() {
				began := time.Now()
				c, err := s.Claim(ctx, callOf(fmt.Sprint(i)))
				require.NoError(t, err)
				total.Add(int64(time.Since(began)))
				time.Sleep(50 * time.Millisecond)
				c.Hold.Close(ctx, Outcome{Status: 200})
			})
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / sizeCalls))
		}
		calls.Wait()
		require.Zero(t, daemons[0].open.Load(), "all claims are closed in time")
		cancel()
		for _, s := range daemons {
			require.NoError(t, s.Wait())
		}
	})
	return table.Transactions(), time.Duration(total.Load())
}

// TestKeyedCallsOfADataCentreFitIntoTheTable has every call of a data centre of
// the size to design for be a keyed one.
func TestKeyedCallsOfADataCentreFitIntoTheTable(t *testing.T) {
	for _, gathered := range []bool{false, true} {
		transactions, waited := callsOfADataCentre(t, gathered)
		t.Logf("gathered %v: %.1f transactions a second, a claim takes %v", gathered, float64(transactions)/sizeSeconds, waited/(sizeCalls*sizeSeconds))
		if gathered {
			require.LessOrEqual(t, transactions, commitsPerSecond/sizeCentres*(sizeSeconds+2)+commitBurst)
		}
	}
}
