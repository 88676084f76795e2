package admit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

// fakeLimitOwner is a LimitOwnerProvider with another daemon that owns all limits and answers
// after a delay.
type fakeLimitOwner struct {
	vm    string
	delay time.Duration
	loan  member.Loan

	mu    sync.Mutex
	wants []int
}

func (l *fakeLimitOwner) LimitOwners() ([]string, bool) { return []string{l.vm}, true }

func (l *fakeLimitOwner) RequestLoan(ctx context.Context, _, _ string, want int) (member.Loan, error) {
	l.mu.Lock()
	l.wants = append(l.wants, want)
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return member.Loan{}, ctx.Err()
	case <-time.After(l.delay):
		return l.loan, nil
	}
}

// admitLimited sends n concurrent requests of the limited caller and returns how many
// were admitted. The others must be refused as over the limit.
func admitLimited(ctx context.Context, t *testing.T, q *Queue, n int) int {
	errs := make(chan error, n)
	for range n {
		go func() {
			r := request(time.Now(), "live", 0, time.Minute)
			r.Caller = "limited"
			_, err := q.Admit(ctx, r)
			errs <- err
		}()
	}
	admitted := 0
	for range n {
		err := <-errs
		if err == nil {
			admitted++
			continue
		}
		require.Equal(t, code.CallerLimit, code.Of(err))
		require.Equal(t, code.RunNo, code.RunOf(err))
		require.Positive(t, RetryAfter(err))
	}
	return admitted
}

func TestConcurrentRequestsShareLoanRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		owner := &fakeLimitOwner{vm: "other", delay: 100 * time.Millisecond, loan: member.Loan{Granted: 3}}
		deps := newFixture(time.Now(), 100).deps()
		deps.LimitOwners = owner
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, deps)
		synctest.Wait()
		// Each request waits for up to maxLoanWaits loans of 3 requests.
		require.Equal(t, 3*maxLoanWaits, admitLimited(ctx, t, q, 20))
		require.Len(t, owner.wants, maxLoanWaits)
	})
}

func TestUnreachableOwnerLeavesFallbackShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		owner := &fakeLimitOwner{vm: "other", delay: time.Hour}
		deps := newFixture(time.Now(), 100).deps()
		deps.LimitOwners = owner
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, deps)
		synctest.Wait()
		admitted := 0
		started := time.Now()
		for time.Since(started) < 20*time.Second {
			admitted += admitLimited(ctx, t, q, 3)
			time.Sleep(100 * time.Millisecond)
		}
		// A quarter of 2 requests per second.
		require.InDelta(t, 10, admitted, 2)
	})
}

// TestLoanRequestOutlivesItsCaller guards against a loan request that ends with the
// request that started it, although another request waits for the same loan.
func TestLoanRequestOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		owner := &fakeLimitOwner{vm: "other", delay: 100 * time.Millisecond, loan: member.Loan{Granted: 2}}
		deps := newFixture(time.Now(), 100).deps()
		deps.LimitOwners = owner
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, deps)
		synctest.Wait()
		gone, cancelCaller := context.WithCancelCause(ctx)
		time.AfterFunc(50*time.Millisecond, func() { cancelCaller(errors.New("gone")) })
		go func() { _ = q.applyCallerLimit(gone, "limited") }()
		synctest.Wait()
		require.NoError(t, q.applyCallerLimit(ctx, "limited"))
		require.Len(t, owner.wants, 1)
	})
}
