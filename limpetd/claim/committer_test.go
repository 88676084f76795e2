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

// linkFault is what happens to a forwarded write.
type linkFault int

const (
	linkWorks linkFault = iota
	// linkRefuses refuses the call.
	linkRefuses
	// linkLosesCall loses the call; the write is never committed.
	linkLosesCall
	// linkLosesAnswer loses the answer; the write is committed.
	linkLosesAnswer
	// linkDelays loses the answer; the write is committed 2 s later.
	linkDelays
	// linkHangs does not answer until the deadline of the call; the write is never
	// committed.
	linkHangs
	// linkFaults is the number of the values above.
	linkFaults
)

// faultyLink connects a daemon to the daemon that commits its writes. The n-th call over
// the link has the n-th fault; calls after the last fault work.
type faultyLink struct {
	// to is the daemon that commits; nil for the daemon at this end of the link.
	to     *Claims
	faults []linkFault

	mu sync.Mutex
	// calls is the number of calls so far.
	calls int
}

var _ CommitterProvider = (*faultyLink)(nil)

func (l *faultyLink) Committer() Committer {
	if l.to == nil {
		return nil
	}
	return l
}

func (l *faultyLink) DataCentres() int { return 7 }

// next returns the fault of the next call.
func (l *faultyLink) next() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.calls > len(l.faults) {
		return linkWorks
	}
	return l.faults[l.calls-1]
}

func (l *faultyLink) CommitFor(ctx context.Context, w Write) (WriteResult, error) {
	lost := code.Errorf(code.PeerDown, "no answer")
	switch l.next() {
	case linkRefuses:
		return WriteResult{}, code.Errorf(code.PeerUntrusted, "unknown")
	case linkLosesCall:
		return WriteResult{}, lost
	case linkLosesAnswer:
		_, _ = l.to.CommitFor(ctx, w)
		return WriteResult{}, lost
	case linkDelays:
		go func() {
			time.Sleep(2 * time.Second)
			_, _ = l.to.CommitFor(context.WithoutCancel(ctx), w)
		}()
		return WriteResult{}, lost
	case linkHangs:
		<-ctx.Done()
		return WriteResult{}, lost
	}
	return l.to.CommitFor(ctx, w)
}

// TestForwardedCallsRunAtMostOnce combines random arrivals of a call at two daemons, of
// which one commits for both, with random faults of the link between them and of the
// table. The call must run at most once, and must have run if a repeat was reported
// to have run.
func TestForwardedCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakes.Fault{
			fakes.NoFault, fakes.NoFault, fakes.NoFault, fakes.Unavailable, fakes.LostAnswer, fakes.LostRequest, fakes.LateEffect,
		}), 0, 10).Draw(r, "faults")
		links := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) linkFault {
			return linkFault(rapid.IntRange(0, int(linkFaults)-1).Draw(r, "link"))
		}), 0, 20).Draw(r, "links")
		arrivals := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) arrival {
			return arrival{daemon: rapid.IntRange(0, 1).Draw(r, "daemon"), ending: rapid.IntRange(0, 4).Draw(r, "ending")}
		}), 1, 12).Draw(r, "arrivals")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 20), len(arrivals), len(arrivals)).Draw(r, "gaps")
		service := &service{reported: make(map[code.RunState]int)}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			table := &fakes.Table{Fault: faultSequence(faults...)}
			config := Config{Environment: "test", Retention: keepFor}
			first := New(ctx, config, Deps{Table: table})
			second := New(ctx, config, Deps{Table: table, Committers: &faultyLink{to: first, faults: links}})
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
		if service.reported[code.RunYes] > 0 {
			require.Equal(t, 1, service.runs)
		}
	})
}

// TestOneLinkFaultFailsNoCall makes and closes a claim over a link with one fault. Neither
// may fail, and a repeat must get the outcome.
func TestOneLinkFaultFailsNoCall(t *testing.T) {
	for fault := linkWorks; fault < linkFaults; fault++ {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withDaemons(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
				daemons[1].deps.Committers = &faultyLink{to: daemons[0], faults: []linkFault{fault}}
				c, err := daemons[1].Claim(t.Context(), testCall("k"))
				require.NoError(t, err)
				require.NotNil(t, c.Hold)
				c.Hold.Close(t.Context(), Outcome{Status: 201})
				time.Sleep(10 * time.Second)
				again, err := daemons[0].Claim(t.Context(), testCall("k"))
				require.NoError(t, err)
				require.NotNil(t, again.Stored)
				require.Equal(t, 201, again.Stored.Status)
			})
		})
	}
}

// TestOnlyClaimsAreCommitted checks that a daemon does not write rows other than claims for
// another daemon.
func TestOnlyClaimsAreCommitted(t *testing.T) {
	withDaemons(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		_, err := daemons[0].CommitFor(t.Context(), Write{Key: "test/lease/a"})
		require.Equal(t, code.BadParameter, code.Of(err))
	})
}

// The size of a data centre for which the claims are designed.
const (
	designDaemons = 52
	designCentres = 7
	// designCalls is the number of calls per second of a data centre, all of them
	// keyed.
	designCalls = 271
	// designSeconds is the time for which the load is applied.
	designSeconds = 20
)

// runDataCentre sends the keyed calls of a data centre to random daemons. It returns the
// number of transactions, and the sum of the times that claims took. gathered reports
// whether the first daemon commits the writes of all daemons.
func runDataCentre(t *testing.T, gathered bool) (transactions int, waited time.Duration) {
	table := &fakes.Table{}
	var total atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		config := Config{Environment: "test", Retention: keepFor, SweepInterval: time.Hour}
		links := []*faultyLink{{}}
		daemons := []*Claims{New(ctx, config, Deps{Table: slowTable{table, 5 * time.Millisecond}, Committers: links[0]})}
		for len(daemons) < designDaemons {
			l := &faultyLink{}
			if gathered {
				l.to = daemons[0]
			}
			daemons = append(daemons, New(ctx, config, Deps{Table: slowTable{table, 5 * time.Millisecond}, Committers: l}))
		}
		random := rand.New(rand.NewPCG(1, 1))
		var calls sync.WaitGroup
		for i := range designCalls * designSeconds {
			s := daemons[random.IntN(len(daemons))]
			calls.Go(func() {
				start := time.Now()
				c, err := s.Claim(ctx, testCall(fmt.Sprint(i)))
				require.NoError(t, err)
				total.Add(int64(time.Since(start)))
				time.Sleep(50 * time.Millisecond)
				c.Hold.Close(ctx, Outcome{Status: 200})
			})
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / designCalls))
		}
		calls.Wait()
		require.Zero(t, daemons[0].unclosed.Load(), "no claim must be left to the background closing")
		cancel()
		for _, s := range daemons {
			require.NoError(t, s.Wait())
		}
	})
	return table.Transactions(), time.Duration(total.Load())
}

// TestKeyedCallsOfADataCentreFitTheTable applies the load of a data centre of the design size,
// with all calls keyed. If one daemon commits for all, the claims must stay within
// the data centre's share of commitsPerSecond.
func TestKeyedCallsOfADataCentreFitTheTable(t *testing.T) {
	for _, gathered := range []bool{false, true} {
		transactions, waited := runDataCentre(t, gathered)
		t.Logf("gathered %v: %.1f transactions per second, %v per claim", gathered, float64(transactions)/designSeconds, waited/(designCalls*designSeconds))
		if gathered {
			require.LessOrEqual(t, transactions, commitsPerSecond/designCentres*(designSeconds+2)+commitBurst)
		}
	}
}
