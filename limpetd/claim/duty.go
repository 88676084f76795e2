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
	// lateEvery is the time between two tries to close a claim late.
	lateEvery = time.Second
	// lateTries bounds the tries for a claim whose row is missing.
	lateTries = 60
	// sweepPage is the number of rows read by a sweep.
	sweepPage = 100
	// sweepStartBytes is the length of the random place where a sweep begins.
	sweepStartBytes = 4
)

// lateClaim is a claim that is to be closed.
type lateClaim struct {
	*Hold
	tries int
}

// lateLoop closes claims that could not be closed at once, and frees those
// whose insertion was never confirmed. It tries all of them in turn.
func (s *Claims) lateLoop(ctx context.Context) error {
	var waiting []*lateClaim
	var tick <-chan time.Time
	for {
		arrivals := s.late
		if len(waiting) >= lateSize {
			arrivals = nil
		}
		if len(waiting) > 0 && tick == nil {
			tick = time.After(lateEvery)
		}
		select {
		case <-s.tomb.Dying():
			return nil
		case h := <-arrivals:
			waiting = append(waiting, &lateClaim{Hold: h})
		case <-tick:
			tick = nil
			waiting = s.closeLate(ctx, waiting)
		}
	}
}

// closeLate tries each claim once and returns those that are left.
func (s *Claims) closeLate(ctx context.Context, waiting []*lateClaim) []*lateClaim {
	var left []*lateClaim
	for _, c := range waiting {
		c.tries++
		if !s.closeOne(ctx, c) {
			left = append(left, c)
			continue
		}
		s.open.Add(-1)
	}
	return left
}

// closeOne tries one claim; true when nothing is left to do.
func (s *Claims) closeOne(ctx context.Context, c *lateClaim) bool {
	ctx, cancel := context.WithTimeout(ctx, closeWait)
	defer cancel()
	if c.record.State == StateOpen {
		return s.free(ctx, c.Hold) || c.tries > lateTries
	}
	return c.tryClose(ctx)
}

// free closes an insertion that was not confirmed as not run. A missing row may
// still be written by the table, so it is looked for again.
func (s *Claims) free(ctx context.Context, h *Hold) bool {
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

// sweepLoop deletes claims that are kept no longer. A sweep reads one page at a
// random place and writes at most one transaction, so that the cost does not
// depend on the number of claims.
func (s *Claims) sweepLoop(ctx context.Context) error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-time.After(random.Around(s.random, s.config.SweepEvery)):
			if err := s.sweep(ctx); err != nil {
				s.deps.Log.Info("claim_sweep_failed", zap.Int("code", int(code.Of(err))), zap.Error(err))
			}
		}
	}
}

// sweep deletes the expired claims of one page.
func (s *Claims) sweep(ctx context.Context) error {
	start := make([]byte, sweepStartBytes)
	for i := range start {
		start[i] = byte(s.random.IntN(256))
	}
	p := prefix(s.config.Environment)
	rows, err := s.deps.Table.Scan(ctx, p, p+hex.EncodeToString(start), sweepPage)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		rows, err = s.deps.Table.Scan(ctx, p, "", sweepPage)
		if err != nil {
			return err
		}
	}
	tx := store.Tx{ID: store.NewID()}
	for _, row := range rows {
		if len(tx.Writes) < groupSize && s.expired(row) {
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
	s.swept.Inc(int64(len(tx.Writes)))
	return nil
}

func (s *Claims) expired(row store.Row) bool {
	var r Record
	if json.Unmarshal(row.Value, &r) != nil {
		return false
	}
	return Expired(r, s.config.KeepFor, s.now())
}
