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

// keepFor is how long closed claims are kept in tests.
const keepFor = time.Hour

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	open := Record{State: StateOpen, Token: "t1", Digest: "d", Until: now}
	done := Record{State: StateDone, Token: "t1", Digest: "d"}
	lost := Record{State: StateUnknown, Token: "t1", Digest: "d", Until: now}
	free := Record{State: StateNotRun, Token: "t1", Digest: "d"}
	cases := []struct {
		name   string
		found  *Record
		digest string
		token  string
		at     time.Time
		want   Verdict
	}{
		{"missing", nil, "d", "t2", now, VerdictTake},
		{"own", &open, "d", "t1", now.Add(time.Hour), VerdictOurs},
		{"open", &open, "d", "t2", now.Add(-1), VerdictInProgress},
		{"open too long", &open, "d", "t2", now, VerdictUnknown},
		{"open for ever", &open, "d", "t2", now.Add(10000 * time.Hour), VerdictUnknown},
		{"lost", &lost, "d", "t2", now.Add(-1), VerdictUnknown},
		{"done", &done, "d", "t2", now, VerdictStored},
		{"not run", &free, "d", "t2", now, VerdictTake},
		{"other call, open", &open, "e", "t2", now, VerdictMismatch},
		{"other call, done", &done, "e", "t2", now, VerdictMismatch},
		{"other call, not run", &free, "e", "t2", now, VerdictMismatch},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Decide(c.found, c.digest, c.token, c.at), c.name)
	}
}

func TestOpenClaimsNeverExpire(t *testing.T) {
	late := now.Add(10000 * time.Hour)
	require.False(t, Expired(Record{State: StateOpen, Until: now}, time.Hour, late))
	require.False(t, Expired(Record{State: StateUnknown, Closed: now}, time.Hour, late))
	require.True(t, Expired(Record{State: StateDone, Closed: now}, time.Hour, late))
	require.False(t, Expired(Record{State: StateDone, Closed: late}, time.Hour, late))
}

// inBubble runs f with claims on table in fake time.
func inBubble(t *testing.T, table store.Table, f func(t *testing.T, daemons []*Claims)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var daemons []*Claims
		for range 2 {
			daemons = append(daemons, New(ctx, Config{Environment: "test", KeepFor: keepFor}, Deps{Table: table}))
		}
		f(t, daemons)
		cancel()
		for _, s := range daemons {
			require.NoError(t, s.Wait())
		}
	})
}

func callOf(key string) Call {
	return Call{Caller: "app", Key: key, Digest: "d", Request: "r"}
}

func TestRepeatGetsOutcomeProgressOrUnknown(t *testing.T) {
	table := &fakes.Table{}
	inBubble(t, table, func(t *testing.T, daemons []*Claims) {
		first, second := daemons[0], daemons[1]
		c, err := first.Claim(t.Context(), callOf("k"))
		require.NoError(t, err)
		_, err = second.Claim(t.Context(), callOf("k"))
		require.Equal(t, code.ClaimInProgress, code.Of(err))
		c.Hold.Close(t.Context(), Outcome{Status: 201, Body: []byte("seat 7")})
		again, err := second.Claim(t.Context(), callOf("k"))
		require.NoError(t, err)
		require.Nil(t, again.Hold)
		require.Equal(t, "seat 7", string(again.Stored.Body))

		_, err = first.Claim(t.Context(), callOf("never closed"))
		require.NoError(t, err)
		time.Sleep(DefaultOpenFor)
		for range 3 {
			_, err = second.Claim(t.Context(), callOf("never closed"))
			require.Equal(t, code.ClaimUnknown, code.Of(err))
			require.Equal(t, code.RunUnknown, code.RunOf(err))
			time.Sleep(2 * keepFor)
		}
	})
}

func TestNotRunFreesTheKey(t *testing.T) {
	inBubble(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		c, err := daemons[0].Claim(t.Context(), callOf("k"))
		require.NoError(t, err)
		c.Hold.NotRun(t.Context())
		c, err = daemons[1].Claim(t.Context(), callOf("k"))
		require.NoError(t, err)
		require.NotNil(t, c.Hold)
	})
}

func TestLongAnswerIsNotKept(t *testing.T) {
	inBubble(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		c, err := daemons[0].Claim(t.Context(), callOf("k"))
		require.NoError(t, err)
		c.Hold.Close(t.Context(), Outcome{Status: 200, Body: make([]byte, DefaultMaxOutcomeBytes+1)})
		_, err = daemons[0].Claim(t.Context(), callOf("k"))
		require.Equal(t, code.ClaimNoAnswer, code.Of(err))
		require.Equal(t, code.RunYes, code.RunOf(err))
	})
}

// outage is how long the table stays away after the faults of a case.
const outage = 10 * time.Second

// list gives the n-th call of Apply the n-th fault. A last fault of Down lasts
// for an outage.
func list(faults ...fakes.Fault) func(int) fakes.Fault {
	var began time.Time
	return func(n int) fakes.Fault {
		if n < len(faults) {
			began = time.Now()
			return faults[n]
		}
		if len(faults) > 0 && faults[len(faults)-1] == fakes.Down && time.Since(began) < outage {
			return fakes.Down
		}
		return fakes.None
	}
}

func TestClaimUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []fakes.Fault
		held   bool
	}{
		{"no fault", nil, true},
		{"answer of insertion lost", []fakes.Fault{fakes.LostAnswer}, true},
		{"insertion lost", []fakes.Fault{fakes.LostCall}, true},
		{"insertion late", []fakes.Fault{fakes.LateEffect}, true},
		{"insertion late twice", []fakes.Fault{fakes.LateEffect, fakes.LateEffect}, true},
		{"table down", []fakes.Fault{fakes.Down}, false},
		{"insertion lost, then down", []fakes.Fault{fakes.LostCall, fakes.Down}, false},
		{"insertion late, then down", []fakes.Fault{fakes.LateEffect, fakes.LateEffect, fakes.Down}, true},
		{"answer lost, then down", []fakes.Fault{fakes.LostAnswer, fakes.Down}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := &fakes.Table{Fault: list(c.faults...)}
			inBubble(t, table, func(t *testing.T, daemons []*Claims) {
				got, err := daemons[0].Claim(t.Context(), callOf("k"))
				if c.held {
					require.NoError(t, err)
					require.NotNil(t, got.Hold)
					time.Sleep(outage)
					_, err = daemons[1].Claim(t.Context(), callOf("k"))
					require.Equal(t, code.ClaimInProgress, code.Of(err))
					return
				}
				require.Equal(t, code.ClaimStoreDown, code.Of(err))
				require.Equal(t, code.RunNo, code.RunOf(err))
				time.Sleep(time.Minute)
				got, err = daemons[1].Claim(t.Context(), callOf("k"))
				require.NoError(t, err, "a call that was refused as not run may be sent again")
				require.NotNil(t, got.Hold)
			})
		})
	}
}

// TestUnconfirmedClaimIsFreed loses the answer of an insertion and all reads
// and writes after it for an outage.
func TestUnconfirmedClaimIsFreed(t *testing.T) {
	var began time.Time
	table := &fakes.Table{Fault: list(fakes.LostAnswer, fakes.Down)}
	table.ReadFault = func() fakes.Fault {
		if began.IsZero() {
			began = time.Now()
		}
		if time.Since(began) < outage {
			return fakes.Down
		}
		return fakes.None
	}
	inBubble(t, table, func(t *testing.T, daemons []*Claims) {
		_, err := daemons[0].Claim(t.Context(), callOf("k"))
		require.Equal(t, code.ClaimStoreDown, code.Of(err))
		require.Equal(t, code.RunNo, code.RunOf(err))
		time.Sleep(time.Minute)
		got, err := daemons[1].Claim(t.Context(), callOf("k"))
		require.NoError(t, err, "a call that was refused as not run may be sent again")
		require.NotNil(t, got.Hold)
	})
}

func TestClosingUnderStoreFaults(t *testing.T) {
	cases := [][]fakes.Fault{
		{fakes.None, fakes.LostAnswer},
		{fakes.None, fakes.LostCall},
		{fakes.None, fakes.LateEffect},
		{fakes.None, fakes.Down},
		{fakes.None, fakes.LostAnswer, fakes.Down},
		{fakes.None, fakes.LateEffect, fakes.Down},
	}
	for i, faults := range cases {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			table := &fakes.Table{Fault: list(faults...)}
			inBubble(t, table, func(t *testing.T, daemons []*Claims) {
				c, err := daemons[0].Claim(t.Context(), callOf("k"))
				require.NoError(t, err)
				c.Hold.Close(t.Context(), Outcome{Status: 201})
				require.NoError(t, daemons[0].Leave(t.Context()))
				time.Sleep(outage)
				again, err := daemons[1].Claim(t.Context(), callOf("k"))
				require.NoError(t, err)
				require.Equal(t, 201, again.Stored.Status)
			})
		})
	}
}

// arrival is one call with the key, at one daemon.
type arrival struct {
	daemon int
	// ending is what becomes of a call that may be dispatched: it is run and
	// closed, found not to have run, run without closing, run without a known
	// outcome, or its daemon dies before the dispatch.
	ending int
}

// service counts the executions of the call.
type service struct {
	mu   sync.Mutex
	runs int
	told map[code.Run]int
}

func (s *service) arrive(ctx context.Context, daemon *Claims, a arrival) {
	c, err := daemon.Claim(ctx, callOf("k"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || c.Hold == nil {
		s.told[code.RunOf(err)]++
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

// TestRunsAtMostOnce lets any arrivals meet any faults of the table.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakes.Fault{
			fakes.None, fakes.None, fakes.Down, fakes.LostAnswer, fakes.LostCall, fakes.LateEffect,
		}), 0, 30).Draw(r, "faults")
		arrivals := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) arrival {
			return arrival{daemon: rapid.IntRange(0, 1).Draw(r, "daemon"), ending: rapid.IntRange(0, 4).Draw(r, "ending")}
		}), 1, 12).Draw(r, "arrivals")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 200), len(arrivals), len(arrivals)).Draw(r, "gaps")
		service := &service{told: make(map[code.Run]int)}
		inBubble(t, &fakes.Table{Fault: list(faults...)}, func(t *testing.T, daemons []*Claims) {
			var calls sync.WaitGroup
			for i, a := range arrivals {
				calls.Go(func() { service.arrive(t.Context(), daemons[a.daemon], a) })
				time.Sleep(time.Duration(gaps[i]) * time.Second / 2)
			}
			calls.Wait()
		})
		require.LessOrEqual(t, service.runs, 1)
		if service.told[code.RunYes] > 0 {
			require.Equal(t, 1, service.runs)
		}
	})
}

// slowTable takes a time for each transaction.
type slowTable struct {
	store.Table
	time time.Duration
}

func (s slowTable) Apply(ctx context.Context, tx store.Tx) error {
	time.Sleep(s.time)
	return s.Table.Apply(ctx, tx)
}

func TestClaimsAreCommittedInGroups(t *testing.T) {
	const calls = 200
	table := &fakes.Table{}
	inBubble(t, slowTable{table, 10 * time.Millisecond}, func(t *testing.T, daemons []*Claims) {
		var wait sync.WaitGroup
		for i := range calls {
			wait.Go(func() {
				c, err := daemons[0].Claim(t.Context(), callOf(fmt.Sprint(i)))
				require.NoError(t, err)
				require.NotNil(t, c.Hold)
			})
		}
		wait.Wait()
		require.LessOrEqual(t, table.Transactions(), calls/groupSize+1+committers)
	})
}

func TestOneConflictDoesNotHoldUpItsGroup(t *testing.T) {
	table := &fakes.Table{}
	inBubble(t, slowTable{table, 10 * time.Millisecond}, func(t *testing.T, daemons []*Claims) {
		_, err := daemons[1].Claim(t.Context(), callOf("taken"))
		require.NoError(t, err)
		var wait sync.WaitGroup
		for i := range 3 * committers {
			wait.Go(func() {
				_, err := daemons[0].Claim(t.Context(), callOf(fmt.Sprint(i)))
				require.NoError(t, err)
			})
			wait.Go(func() {
				_, err := daemons[0].Claim(t.Context(), callOf("taken"))
				require.Equal(t, code.ClaimInProgress, code.Of(err))
			})
		}
		wait.Wait()
	})
}

func TestSweepDeletesClosedClaimsWithinItsBudget(t *testing.T) {
	const calls = 300
	table := &fakes.Table{}
	inBubble(t, table, func(t *testing.T, daemons []*Claims) {
		for i := range calls {
			c, err := daemons[0].Claim(t.Context(), callOf(fmt.Sprint(i)))
			require.NoError(t, err)
			if i > 0 {
				c.Hold.Close(t.Context(), Outcome{Status: 200})
			}
		}
		time.Sleep(keepFor)
		before := table.Transactions()
		sweeps := 60
		time.Sleep(time.Duration(sweeps) * DefaultSweepEvery)
		require.LessOrEqual(t, table.Transactions()-before, 2*2*sweeps)
		rows, err := table.Scan(t.Context(), "claim/", "", calls)
		require.NoError(t, err)
		require.Len(t, rows, 1, "only the claim that was never closed is left")
	})
}

// TestKeyOfASweptClaimClosesAtOnce uses a key again whose row goes on with the
// versions of the one that was swept.
func TestKeyOfASweptClaimClosesAtOnce(t *testing.T) {
	inBubble(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		for _, seat := range []string{"seat 7", "seat 8"} {
			c, err := daemons[0].Claim(t.Context(), callOf("k"))
			require.NoError(t, err)
			require.NotNil(t, c.Hold)
			c.Hold.Close(t.Context(), Outcome{Status: 201, Body: []byte(seat)})
			again, err := daemons[1].Claim(t.Context(), callOf("k"))
			require.NoError(t, err)
			require.Equal(t, seat, string(again.Stored.Body))
			time.Sleep(keepFor + time.Minute)
		}
	})
}
