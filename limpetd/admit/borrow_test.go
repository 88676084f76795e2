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

// keeping is a keeper that takes a time to answer.
type keeping struct {
	vm    string
	delay time.Duration
	loan  member.Loan

	mu    sync.Mutex
	wants []int
}

func (k *keeping) Lenders() ([]string, bool) { return []string{k.vm}, true }

func (k *keeping) Borrow(ctx context.Context, _, _ string, want int) (member.Loan, error) {
	k.mu.Lock()
	k.wants = append(k.wants, want)
	k.mu.Unlock()
	select {
	case <-ctx.Done():
		return member.Loan{}, ctx.Err()
	case <-time.After(k.delay):
		return k.loan, nil
	}
}

// admitLimited sends requests of the limited caller at once, and returns how many
// were taken. The others must be over the limit.
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
	taken := 0
	for range n {
		err := <-errs
		if err == nil {
			taken++
			continue
		}
		require.Equal(t, code.CallerLimit, code.Of(err))
		require.Equal(t, code.RunNo, code.RunOf(err))
		require.Positive(t, RetryAfter(err))
	}
	return taken
}

func TestRequestsThatArriveTogetherAskOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		k := &keeping{vm: "other", delay: 100 * time.Millisecond, loan: member.Loan{Granted: 3}}
		deps := newFixture(time.Now(), 100).deps()
		deps.Lenders = k
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, deps)
		synctest.Wait()
		// Each request waits for up to maxBorrows loans of 3 requests.
		require.Equal(t, 3*maxBorrows, admitLimited(ctx, t, q, 20))
		require.Len(t, k.wants, maxBorrows)
	})
}

func TestKeeperThatDoesNotAnswerLeavesTheSafeShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		k := &keeping{vm: "other", delay: time.Hour}
		deps := newFixture(time.Now(), 100).deps()
		deps.Lenders = k
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, deps)
		synctest.Wait()
		taken := 0
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			taken += admitLimited(ctx, t, q, 3)
			time.Sleep(100 * time.Millisecond)
		}
		// A quarter of 2 requests a second.
		require.InDelta(t, 10, taken, 2)
	})
}

func TestCallerThatGoesDoesNotEndTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		k := &keeping{vm: "other", delay: 100 * time.Millisecond, loan: member.Loan{Granted: 2}}
		deps := newFixture(time.Now(), 100).deps()
		deps.Lenders = k
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, deps)
		synctest.Wait()
		gone, leave := context.WithCancelCause(ctx)
		time.AfterFunc(50*time.Millisecond, func() { leave(errors.New("gone")) })
		go func() { _ = q.leave(gone, "limited") }()
		synctest.Wait()
		require.NoError(t, q.leave(ctx, "limited"))
		require.Len(t, k.wants, 1)
	})
}
