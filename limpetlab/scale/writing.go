package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// tableTime is what the table takes for a transaction.
	tableTime = 5 * time.Millisecond
	// claimsEach is the number of calls that a caller makes.
	claimsEach = 40
)

// writing measures claims.
func writing() []measure {
	callers := []int{1, 8, 32, 128}
	return []measure{
		{"claims", "transactions a call", "transactions", "calls at once", callers, callers[0], claimed},
		{"claims", "a claimed and closed call", "us", "calls at once", callers, callers[0], claimTime},
	}
}

// slowTable is a table that takes its time to write.
type slowTable struct {
	store.Table
}

// Apply implements store.Table.
func (t slowTable) Apply(ctx context.Context, tx store.Tx) error {
	time.Sleep(tableTime)
	return t.Table.Apply(ctx, tx)
}

func claimed(ctx context.Context, callers int) (float64, error) {
	transactions, _, err := claimAll(ctx, callers)
	return transactions, err
}

func claimTime(ctx context.Context, callers int) (float64, error) {
	_, spent, err := claimAll(ctx, callers)
	return spent, err
}

// claimAll lets callers claim and close calls, and returns the transactions and
// the microseconds of processor time of a call.
func claimAll(ctx context.Context, callers int) (transactions, spent float64, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	table := &fakes.Table{}
	s := claim.New(ctx, claim.Config{Environment: "measured"}, claim.Deps{Table: slowTable{table}})
	failed := make([]error, callers)
	before := processor()
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { failed[i] = claimSome(ctx, s, i) })
	}
	all.Wait()
	n := float64(callers * claimsEach)
	transactions = float64(table.Transactions()) / n
	spent = float64(processor()-before) / n / float64(time.Microsecond)
	stop()
	return transactions, spent, errors.Join(errors.Join(failed...), s.Wait())
}

// claimSome claims and closes the calls of a caller.
func claimSome(ctx context.Context, s *claim.Claims, caller int) error {
	for i := range claimsEach {
		c, err := s.Claim(ctx, claim.Call{Caller: "app", Key: fmt.Sprintf("%d-%d", caller, i), Digest: "d", Request: "r"})
		if err != nil {
			return err
		}
		c.Hold.Close(ctx, claim.Outcome{Status: 200})
	}
	return nil
}
