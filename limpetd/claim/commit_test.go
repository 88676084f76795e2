package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// slowTable is a table whose transactions take some time.
type slowTable struct {
	store.Table
	delay time.Duration
}

func (s slowTable) Apply(ctx context.Context, tx store.Tx) error {
	time.Sleep(s.delay)
	return s.Table.Apply(ctx, tx)
}

// TestClaimsAreCommittedInGroups makes 200 claims at once. Their writes must share
// transactions: full groups, except for the first group of each committer and the
// last group.
func TestClaimsAreCommittedInGroups(t *testing.T) {
	const calls = 200
	table := &fakes.Table{}
	withDaemons(t, slowTable{table, 10 * time.Millisecond}, func(t *testing.T, daemons []*Claims) {
		var wait sync.WaitGroup
		for i := range calls {
			wait.Go(func() {
				c, err := daemons[0].Claim(t.Context(), testCall(fmt.Sprint(i)))
				require.NoError(t, err)
				require.NotNil(t, c.Hold)
			})
		}
		wait.Wait()
		require.LessOrEqual(t, table.Transactions(), calls/maxGroupSize+1+committers)
	})
}

// TestConflictDoesNotFailItsGroup mixes claims on a key that is already claimed with claims
// on free keys. A conflict of the first kind must not fail the other claims of its
// transaction.
func TestConflictDoesNotFailItsGroup(t *testing.T) {
	table := &fakes.Table{}
	withDaemons(t, slowTable{table, 10 * time.Millisecond}, func(t *testing.T, daemons []*Claims) {
		_, err := daemons[1].Claim(t.Context(), testCall("taken"))
		require.NoError(t, err)
		var wait sync.WaitGroup
		for i := range 3 * committers {
			wait.Go(func() {
				_, err := daemons[0].Claim(t.Context(), testCall(fmt.Sprint(i)))
				require.NoError(t, err)
			})
			wait.Go(func() {
				_, err := daemons[0].Claim(t.Context(), testCall("taken"))
				require.Equal(t, code.ClaimInProgress, code.Of(err))
			})
		}
		wait.Wait()
	})
}

// TestSweepDeletesClosedClaimsWithinItsBudget checks that sweeps delete all expired claims
// but not an open one, with at most one transaction per sweep. Each of the two
// daemons makes at most 2*sweeps sweeps in the time, as the shortest time between
// two sweeps is half of the mean.
func TestSweepDeletesClosedClaimsWithinItsBudget(t *testing.T) {
	const calls = 300
	table := &fakes.Table{}
	withDaemons(t, table, func(t *testing.T, daemons []*Claims) {
		for i := range calls {
			c, err := daemons[0].Claim(t.Context(), testCall(fmt.Sprint(i)))
			require.NoError(t, err)
			if i > 0 {
				c.Hold.Close(t.Context(), Outcome{Status: 200})
			}
		}
		time.Sleep(keepFor)
		before := table.Transactions()
		sweeps := 60
		time.Sleep(time.Duration(sweeps) * DefaultSweepInterval)
		require.LessOrEqual(t, table.Transactions()-before, 2*2*sweeps)
		rows, err := table.Scan(t.Context(), "claim/", "", calls)
		require.NoError(t, err)
		require.Len(t, rows, 1, "only the claim that was never closed must be left")
	})
}

// TestKeyOfDeletedClaimClosesAtOnce uses a key again after a sweep deleted its claim. The
// new row continues the versions of the deleted row, so the claim can only be closed
// with the version that a first conflict returns.
func TestKeyOfDeletedClaimClosesAtOnce(t *testing.T) {
	withDaemons(t, &fakes.Table{}, func(t *testing.T, daemons []*Claims) {
		for _, seat := range []string{"seat 7", "seat 8"} {
			c, err := daemons[0].Claim(t.Context(), testCall("k"))
			require.NoError(t, err)
			require.NotNil(t, c.Hold)
			c.Hold.Close(t.Context(), Outcome{Status: 201, Body: []byte(seat)})
			again, err := daemons[1].Claim(t.Context(), testCall("k"))
			require.NoError(t, err)
			require.Equal(t, seat, string(again.Stored.Body))
			time.Sleep(keepFor + time.Minute)
		}
	})
}
