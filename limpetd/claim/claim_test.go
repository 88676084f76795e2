package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// keepFor is Config.Retention in tests.
const keepFor = time.Hour

// now is an arbitrary fixed time.
var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestDecide checks the verdict for each state of the claim that was found.
func TestDecide(t *testing.T) {
	open := Record{State: StateOpen, Token: "t1", Digest: "d", Until: now}
	done := Record{State: StateDone, Token: "t1", Digest: "d"}
	unknown := Record{State: StateUnknown, Token: "t1", Digest: "d", Until: now}
	notRun := Record{State: StateNotRun, Token: "t1", Digest: "d"}
	cases := []struct {
		name   string
		found  *Record
		digest string
		token  string
		at     time.Time
		want   Verdict
	}{
		{"missing", nil, "d", "t2", now, VerdictTake},
		{"own", &open, "d", "t1", now.Add(time.Hour), VerdictOwn},
		{"open", &open, "d", "t2", now.Add(-1), VerdictInProgress},
		{"open, no longer in progress", &open, "d", "t2", now, VerdictUnknown},
		{"open for 10000 h", &open, "d", "t2", now.Add(10000 * time.Hour), VerdictUnknown},
		{"unknown", &unknown, "d", "t2", now.Add(-1), VerdictUnknown},
		{"done", &done, "d", "t2", now, VerdictStored},
		{"not run", &notRun, "d", "t2", now, VerdictTake},
		{"other call, open", &open, "e", "t2", now, VerdictMismatch},
		{"other call, done", &done, "e", "t2", now, VerdictMismatch},
		{"other call, not run", &notRun, "e", "t2", now, VerdictMismatch},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Decide(c.found, c.digest, c.token, c.at), c.name)
	}
}

// TestOpenClaimsNeverExpire checks that claims that are open or have an unknown outcome
// are never deleted: a repeat of their call would otherwise be dispatched although
// the first call may have run.
func TestOpenClaimsNeverExpire(t *testing.T) {
	late := now.Add(10000 * time.Hour)
	require.False(t, Expired(Record{State: StateOpen, Until: now}, time.Hour, late))
	require.False(t, Expired(Record{State: StateUnknown, Closed: now}, time.Hour, late))
	require.True(t, Expired(Record{State: StateDone, Closed: now}, time.Hour, late))
	require.False(t, Expired(Record{State: StateDone, Closed: late}, time.Hour, late))
}

// withDaemons runs f in fake time, with the claims of two daemons that share a table.
func withDaemons(t *testing.T, table store.Table, f func(t *testing.T, daemons []*Claims)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var daemons []*Claims
		for range 2 {
			daemons = append(daemons, New(ctx, Config{Environment: "test", Retention: keepFor}, Deps{Table: table}))
		}
		f(t, daemons)
		cancel()
		for _, s := range daemons {
			require.NoError(t, s.Wait())
		}
	})
}

// testCall returns a call with a key. Calls with the same key are repeats.
func testCall(key string) Call {
	return Call{Caller: "app", Key: key, Digest: "d", Request: "r"}
}

// TestRepeatGetsOutcomeProgressOrUnknown sends repeats of a call through another daemon:
// while the first call is in progress, after it was closed, and after its claim was
// left open for longer than DefaultOpenTimeout.
func TestRepeatGetsOutcomeProgressOrUnknown(t *testing.T) {
	table := &fakes.Table{}
	withDaemons(t, table, func(t *testing.T, daemons []*Claims) {
		first, second := daemons[0], daemons[1]
		c, err := first.Claim(t.Context(), testCall("k"))
		require.NoError(t, err)
		_, err = second.Claim(t.Context(), testCall("k"))
		require.Equal(t, code.ClaimInProgress, code.Of(err))
		c.Hold.Close(t.Context(), Outcome{Status: 201, Body: []byte("seat 7")})
		again, err := second.Claim(t.Context(), testCall("k"))
		require.NoError(t, err)
		require.Nil(t, again.Hold)
		require.Equal(t, "seat 7", string(again.Stored.Body))

		_, err = first.Claim(t.Context(), testCall("never closed"))
		require.NoError(t, err)
		time.Sleep(DefaultOpenTimeout)
		for range 3 {
			_, err = second.Claim(t.Context(), testCall("never closed"))
			require.Equal(t, code.ClaimUnknown, code.Of(err))
			require.Equal(t, code.RunUnknown, code.RunOf(err))
			time.Sleep(2 * keepFor)
		}
	})
}

// TestNotRunFreesTheKey checks that a call may be dispatched again after it was found
// not to have run.
func TestNotRunFreesTheKey(t *testing.T) {
	withDaemons(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		c, err := daemons[0].Claim(t.Context(), testCall("k"))
		require.NoError(t, err)
		c.Hold.NotRun(t.Context())
		c, err = daemons[1].Claim(t.Context(), testCall("k"))
		require.NoError(t, err)
		require.NotNil(t, c.Hold)
	})
}

// TestInvalidStatusIsNotAnswered guards against an answer with a status that is no HTTP status, which an earlier build has
// kept, and which a repeat of the call would get.
func TestInvalidStatusIsNotAnswered(t *testing.T) {
	withDaemons(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		for i, status := range []int{0, 1, 42, 99, 100, 101, 600, 999, 200, 599} {
			key := fmt.Sprint("k", i)
			first, err := daemons[0].Claim(t.Context(), testCall(key))
			require.NoError(t, err)
			first.Hold.Close(t.Context(), Outcome{Status: status})
			repeat, err := daemons[1].Claim(t.Context(), testCall(key))
			if status == 200 || status == 599 {
				require.NoError(t, err, status)
				require.Equal(t, status, repeat.Stored.Status)
				continue
			}
			require.Equal(t, code.ClaimNoAnswer, code.Of(err), status)
		}
	})
}

// TestLongAnswerIsNotKept checks that a repeat of a call whose answer exceeds the limit
// is refused, as a call that ran.
func TestLongAnswerIsNotKept(t *testing.T) {
	withDaemons(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		c, err := daemons[0].Claim(t.Context(), testCall("k"))
		require.NoError(t, err)
		c.Hold.Close(t.Context(), Outcome{Status: 200, Body: make([]byte, DefaultMaxOutcomeBytes+1)})
		_, err = daemons[0].Claim(t.Context(), testCall("k"))
		require.Equal(t, code.ClaimNoAnswer, code.Of(err))
		require.Equal(t, code.RunYes, code.RunOf(err))
	})
}

// outage is how long the table stays down after the faults of a test case.
const outage = 10 * time.Second

// faultSequence returns a function that gives the n-th call of Apply the n-th fault,
// and later calls none. If the last fault is Down, the table stays down for an
// outage.
func faultSequence(faults ...fakes.Fault) func(int) fakes.Fault {
	var lastFault time.Time
	return func(n int) fakes.Fault {
		if n < len(faults) {
			lastFault = time.Now()
			return faults[n]
		}
		if len(faults) > 0 && faults[len(faults)-1] == fakes.Unavailable && time.Since(lastFault) < outage {
			return fakes.Unavailable
		}
		return fakes.NoFault
	}
}

// TestClaimUnderStoreFaults injects faults of the table into the insertion of a claim.
// Either the call is held, and a repeat at another daemon is refused, or the call is
// refused as not run, and a repeat is held once the table is back.
func TestClaimUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []fakes.Fault
		held   bool
	}{
		{"no fault", nil, true},
		{"answer of insertion lost", []fakes.Fault{fakes.LostAnswer}, true},
		{"insertion lost", []fakes.Fault{fakes.LostRequest}, true},
		{"insertion takes effect late", []fakes.Fault{fakes.LateEffect}, true},
		{"insertion takes effect late twice", []fakes.Fault{fakes.LateEffect, fakes.LateEffect}, true},
		{"table down", []fakes.Fault{fakes.Unavailable}, false},
		{"insertion lost, then down", []fakes.Fault{fakes.LostRequest, fakes.Unavailable}, false},
		{"insertion takes effect late, then down", []fakes.Fault{fakes.LateEffect, fakes.LateEffect, fakes.Unavailable}, true},
		{"answer lost, then down", []fakes.Fault{fakes.LostAnswer, fakes.Unavailable}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := &fakes.Table{Fault: faultSequence(c.faults...)}
			withDaemons(t, table, func(t *testing.T, daemons []*Claims) {
				got, err := daemons[0].Claim(t.Context(), testCall("k"))
				if c.held {
					require.NoError(t, err)
					require.NotNil(t, got.Hold)
					time.Sleep(outage)
					_, err = daemons[1].Claim(t.Context(), testCall("k"))
					require.Equal(t, code.ClaimInProgress, code.Of(err))
					return
				}
				require.Equal(t, code.ClaimStoreDown, code.Of(err))
				require.Equal(t, code.RunNo, code.RunOf(err))
				time.Sleep(time.Minute)
				got, err = daemons[1].Claim(t.Context(), testCall("k"))
				require.NoError(t, err, "a call that was refused as not run must be accepted again")
				require.NotNil(t, got.Hold)
			})
		})
	}
}

// TestUnconfirmedClaimIsReleased loses the answer to an insertion that took effect, and
// then fails all reads and writes for an outage. The call is refused as not run, so
// the claim must be released afterwards.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	var outageStart time.Time
	table := &fakes.Table{Fault: faultSequence(fakes.LostAnswer, fakes.Unavailable)}
	table.ReadFault = func() fakes.Fault {
		if outageStart.IsZero() {
			outageStart = time.Now()
		}
		if time.Since(outageStart) < outage {
			return fakes.Unavailable
		}
		return fakes.NoFault
	}
	withDaemons(t, table, func(t *testing.T, daemons []*Claims) {
		_, err := daemons[0].Claim(t.Context(), testCall("k"))
		require.Equal(t, code.ClaimStoreDown, code.Of(err))
		require.Equal(t, code.RunNo, code.RunOf(err))
		time.Sleep(time.Minute)
		got, err := daemons[1].Claim(t.Context(), testCall("k"))
		require.NoError(t, err, "a call that was refused as not run must be accepted again")
		require.NotNil(t, got.Hold)
	})
}

// TestClosingUnderStoreFaults injects faults of the table into the closing of a claim.
// Leave must return only after the claim was closed, and a repeat must then get the
// outcome.
func TestClosingUnderStoreFaults(t *testing.T) {
	cases := [][]fakes.Fault{
		{fakes.NoFault, fakes.LostAnswer},
		{fakes.NoFault, fakes.LostRequest},
		{fakes.NoFault, fakes.LateEffect},
		{fakes.NoFault, fakes.Unavailable},
		{fakes.NoFault, fakes.LostAnswer, fakes.Unavailable},
		{fakes.NoFault, fakes.LateEffect, fakes.Unavailable},
	}
	for i, faults := range cases {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			table := &fakes.Table{Fault: faultSequence(faults...)}
			withDaemons(t, table, func(t *testing.T, daemons []*Claims) {
				c, err := daemons[0].Claim(t.Context(), testCall("k"))
				require.NoError(t, err)
				c.Hold.Close(t.Context(), Outcome{Status: 201})
				require.NoError(t, daemons[0].Leave(t.Context()))
				time.Sleep(outage)
				again, err := daemons[1].Claim(t.Context(), testCall("k"))
				require.NoError(t, err)
				require.Equal(t, 201, again.Stored.Status)
			})
		})
	}
}

// arrival is the arrival of a call, always with the same key, at a daemon.
type arrival struct {
	daemon int
	// ending is what happens to a call that may be dispatched: 0: it runs and its
	// claim is closed, 1: it does not run, 2: it runs and its claim is left open,
	// 3: it runs and its outcome is unknown, 4: its daemon crashes before the
	// dispatch.
	ending int
}

// service counts the runs of the call.
type service struct {
	mu   sync.Mutex
	runs int
	// reported counts the calls that were not dispatched, by whether the call was
	// reported to have run.
	reported map[code.RunState]int
}

// arrive makes a claim on the call of an arrival and, if the call may be dispatched,
// runs and closes it according to the arrival's ending.
func (s *service) arrive(ctx context.Context, daemon *Claims, a arrival) {
	c, err := daemon.Claim(ctx, testCall("k"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || c.Hold == nil {
		s.reported[code.RunOf(err)]++
		return
	}
	switch a.ending {
	case 0:
		s.runs++
		go c.Hold.Close(ctx, Outcome{Status: 201})
	case 1:
		go c.Hold.NotRun(ctx)
	case 2:
		s.runs++
	case 3:
		s.runs++
		go c.Hold.Unknown(ctx)
	}
}

// TestRunsAtMostOnce combines random arrivals of a call at two daemons with random faults
// of the table. The call must run at most once, and must have run if a repeat was
// reported to have run.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakes.Fault{
			fakes.NoFault, fakes.NoFault, fakes.Unavailable, fakes.LostAnswer, fakes.LostRequest, fakes.LateEffect,
		}), 0, 30).Draw(r, "faults")
		arrivals := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) arrival {
			return arrival{daemon: rapid.IntRange(0, 1).Draw(r, "daemon"), ending: rapid.IntRange(0, 4).Draw(r, "ending")}
		}), 1, 12).Draw(r, "arrivals")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 200), len(arrivals), len(arrivals)).Draw(r, "gaps")
		service := &service{reported: make(map[code.RunState]int)}
		withDaemons(t, &fakes.Table{Fault: faultSequence(faults...)}, func(t *testing.T, daemons []*Claims) {
			var calls sync.WaitGroup
			for i, a := range arrivals {
				calls.Go(func() { service.arrive(t.Context(), daemons[a.daemon], a) })
				time.Sleep(time.Duration(gaps[i]) * time.Second / 2)
			}
			calls.Wait()
		})
		require.LessOrEqual(t, service.runs, 1)
		if service.reported[code.RunYes] > 0 {
			require.Equal(t, 1, service.runs)
		}
	})
}
