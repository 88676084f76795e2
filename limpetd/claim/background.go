package claim

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// closeRetryInterval is the time between two attempts to close a claim in the
	// background.
	closeRetryInterval = time.Second
	// maxReleaseTries is the number of failed attempts to release a claim whose
	// insertion was not confirmed, while its row is missing or cannot be read. The
	// claim is given up when one more attempt fails.
	maxReleaseTries = 60
	// sweepPageSize is the maximum number of rows that a sweep reads.
	sweepPageSize = 100
	// sweepStartBytes is the number of random bytes in the table key at which a sweep
	// starts.
	sweepStartBytes = 4
)

// unclosedClaim is a claim that closeLoop is to close.
type unclosedClaim struct {
	*Hold
	// tries is the number of attempts so far.
	tries int
}

// closeLoop closes claims that could not be closed at once, and releases claims
// whose insertion was not confirmed. It tries each of them every
// closeRetryInterval.
func (s *Claims) closeLoop(ctx context.Context) error {
	var waiting []*unclosedClaim
	var tick <-chan time.Time
	for {
		arrivals := s.closeQueue
		if len(waiting) >= closeQueueSize {
			arrivals = nil
		}
		if len(waiting) > 0 && tick == nil {
			tick = time.After(closeRetryInterval)
		}
		select {
		case <-s.tomb.Dying():
			return nil
		case h := <-arrivals:
			waiting = append(waiting, &unclosedClaim{Hold: h})
		case <-tick:
			tick = nil
			waiting = s.retryCloses(ctx, waiting)
		}
	}
}

// retryCloses tries to close or release each claim once and returns the claims to
// try again.
func (s *Claims) retryCloses(ctx context.Context, waiting []*unclosedClaim) []*unclosedClaim {
	var remaining []*unclosedClaim
	for _, c := range waiting {
		c.tries++
		if !s.retryClose(ctx, c) {
			remaining = append(remaining, c)
			continue
		}
		s.unclosed.Add(-1)
	}
	return remaining
}

// retryClose tries to close or release one claim. It reports whether the claim needs
// no further attempt, also because maxReleaseTries is exceeded.
func (s *Claims) retryClose(ctx context.Context, c *unclosedClaim) bool {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if c.record.State == StateOpen {
		return s.release(ctx, c.Hold) || c.tries > maxReleaseTries
	}
	return c.tryClose(ctx)
}

// release closes a claim whose insertion was not confirmed in StateNotRun, and
// reports whether nothing is left to do. If the row is missing, the insertion may
// still take effect, so release must be tried again.
func (s *Claims) release(ctx context.Context, h *Hold) bool {
	rows, err := s.deps.Table.Get(ctx, h.key)
	if err != nil || len(rows) == 0 {
		return false
	}
	found, err := decode(rows[0])
	if err != nil || found.Token != h.record.Token {
		return true
	}
	h.version = rows[0].Version
	h.record.State = StateNotRun
	h.record.Closed = s.now()
	return h.tryClose(ctx)
}

// sweepLoop deletes claims that have been kept for Retention. Each sweep reads one page
// of rows at a random position (or two, if there are no rows after that position)
// and writes at most one transaction, so that the cost of a sweep does not depend
// on the number of claims.
func (s *Claims) sweepLoop(ctx context.Context) error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-time.After(random.Jitter(s.random, s.config.SweepInterval)):
			if err := s.sweep(ctx); err != nil {
				s.deps.Log.Info("claim_sweep_failed", zap.Int("code", int(code.Of(err))), zap.Error(err))
			}
		}
	}
}

// sweep deletes the expired claims of one page of rows, maxGroupSize at most.
func (s *Claims) sweep(ctx context.Context) error {
	start := make([]byte, sweepStartBytes)
	for i := range start {
		start[i] = byte(s.random.IntN(256))
	}
	prefix := keyPrefix(s.config.Environment)
	rows, err := s.deps.Table.Scan(ctx, prefix, prefix+hex.EncodeToString(start), sweepPageSize)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		rows, err = s.deps.Table.Scan(ctx, prefix, "", sweepPageSize)
		if err != nil {
			return err
		}
	}
	tx := store.Tx{ID: store.NewID()}
	for _, row := range rows {
		if len(tx.Writes) < maxGroupSize && s.expired(row) {
			tx.Require(row.Key, row.Version)
			tx.Delete(row.Key)
		}
	}
	if len(tx.Writes) == 0 {
		return nil
	}
	if err := s.apply(ctx, tx); err != nil {
		return err
	}
	s.rowsSwept.Inc(int64(len(tx.Writes)))
	return nil
}

// expired reports whether the claim of a row may be deleted. A row that cannot be
// decoded may not.
func (s *Claims) expired(row store.Row) bool {
	var r Record
	if json.Unmarshal(row.Value, &r) != nil {
		return false
	}
	return Expired(r, s.config.Retention, s.now())
}
