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
	// tableLatency is the time that the table takes for a transaction.
	tableLatency = 5 * time.Millisecond
	// callsPerCaller is the number of calls that each caller makes.
	callsPerCaller = 40
)

// claimMeasures measures claims of keyed calls.
func claimMeasures() []measure {
	callers := []int{1, 8, 32, 128}
	return []measure{
		{"claims", "transactions a call", "transactions", "calls at once", callers, callers[0], claimTransactions},
		{"claims", "a claimed and closed call", "us", "calls at once", callers, callers[0], claimTime},
	}
}

// slowTable delays each write by tableLatency.
type slowTable struct {
	store.Table
}

// Apply implements store.Table.
func (t slowTable) Apply(ctx context.Context, tx store.Tx) error {
	time.Sleep(tableLatency)
	return t.Table.Apply(ctx, tx)
}

// claimTransactions returns the number of transactions for each call.
func claimTransactions(ctx context.Context, callers int) (float64, error) {
	transactions, _, err := measureClaims(ctx, callers)
	return transactions, err
}

// claimTime returns the processor time of claiming and closing a call.
func claimTime(ctx context.Context, callers int) (float64, error) {
	_, cpuTime, err := measureClaims(ctx, callers)
	return cpuTime, err
}

// measureClaims claims and closes the calls of concurrent callers. It returns the
// transactions and the microseconds of processor time for each call.
func measureClaims(ctx context.Context, callers int) (transactions, cpuTime float64, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	table := &fakes.Table{}
	s := claim.New(ctx, claim.Config{Environment: "measured"}, claim.Deps{Table: slowTable{table}})
	errs := make([]error, callers)
	before := processCPUTime()
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { errs[i] = claimCalls(ctx, s, i) })
	}
	all.Wait()
	n := float64(callers * callsPerCaller)
	transactions = float64(table.Transactions()) / n
	cpuTime = float64(processCPUTime()-before) / n / float64(time.Microsecond)
	stop()
	return transactions, cpuTime, errors.Join(errors.Join(errs...), s.Wait())
}

// claimCalls claims and closes the calls of one caller.
func claimCalls(ctx context.Context, s *claim.Claims, caller int) error {
	for i := range callsPerCaller {
		c, err := s.Claim(ctx, claim.Call{Caller: "app", Key: fmt.Sprintf("%d-%d", caller, i), Digest: "d", Request: "r"})
		if err != nil {
			return err
		}
		c.Hold.Close(ctx, claim.Outcome{Status: 200})
	}
	return nil
}
