package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// jitter returns a time between half of d and one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// runLoop takes one job after the other.
func (d *Duty) runLoop(ctx context.Context) error {
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.leaving:
			return nil
		case <-time.After(jitter(d.config.PollEvery)):
		}
		for d.runNext(ctx) {
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// runNext takes and runs a job; false when there is none.
func (d *Duty) runNext(ctx context.Context) bool {
	select {
	case <-d.leaving:
		return false
	default:
	}
	h, err := d.take(ctx)
	if err != nil {
		d.deps.Log.Info("batch_take_failed", zap.Int("code", int(code.Of(err))), zap.Error(err))
	}
	if h == nil {
		return false
	}
	d.taken.Inc(1)
	d.event(event.BatchHeld, h.job)
	d.run(ctx, h)
	return true
}

// hold is a job that this daemon runs.
type hold struct {
	mu      sync.Mutex
	job     Job
	version int64
	items   []Item
	lines   map[int]Line
	saved   int
}

// take takes one of the open jobs. It begins at a random one, so that daemons
// seldom try for the same.
func (d *Duty) take(ctx context.Context) (*hold, error) {
	open, err := d.deps.Table.Scan(ctx, openPrefix(d.config.Environment), "", openPage)
	if err != nil || len(open) == 0 {
		return nil, err
	}
	keys := make([]string, len(open))
	for i, row := range open {
		keys[i] = string(row.Value)
	}
	rows, err := d.deps.Table.Get(ctx, keys...)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	first := rand.IntN(len(rows))
	for i := range rows {
		row := rows[(first+i)%len(rows)]
		j, err := decodeJob(row)
		if err != nil {
			d.deps.Log.Error("batch_row_corrupt", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		if !j.Takeable(d.now()) {
			continue
		}
		h := &hold{job: j, version: row.Version, lines: make(map[int]Line)}
		err = d.update(ctx, h, j.Held(d.config.VM, d.config.Instance, d.now().Add(d.config.HoldFor)))
		if err == nil {
			return h, nil
		}
		if code.Of(err) != code.StoreConflict {
			return nil, err
		}
	}
	return nil, nil
}

// update writes a job under the version that the hold knows. An error has code StoreConflict when another
// writer was first, StoreUnknown when that is not known.
func (d *Duty) update(ctx context.Context, h *hold, j Job) error {
	key := jobKey(d.config.Environment, j.Caller, j.ID)
	tx := store.Tx{ID: store.NewID()}
	tx.Require(key, h.version)
	tx.Put(key, encode(j))
	if j.Final() {
		tx.Delete(openKey(d.config.Environment, j))
	}
	if err := store.Commit(ctx, d.deps.Table, tx); err != nil {
		return err
	}
	h.job = j
	h.version++
	return nil
}

// run runs a held job to its end, or until the hold is lost or handed over.
func (d *Duty) run(ctx context.Context, h *hold) {
	if err := d.load(ctx, h); err != nil {
		d.deps.Log.Warn("batch_load_failed", zap.String("batch", h.job.ID), zap.Error(err))
		if code.Of(err) == code.StoreCorrupt || code.Of(err) == code.StoreNotFound {
			d.finish(ctx, h, StateFailed, err.Error())
		}
		return
	}
	work, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		d.renewLoop(work, h, stop)
	}()
	d.answerAll(work, h)
	whole := work.Err() == nil
	stop(errStopped)
	<-renewed
	switch {
	case whole:
		d.finish(ctx, h, StateDone, "")
	case code.Of(context.Cause(work)) == code.BatchHoldLost:
		d.lost.Inc(1)
		d.deps.Log.Info("batch_hold_lost", zap.String("batch", h.job.ID))
	default:
		d.handOver(h)
	}
}

var (
	errStopped = code.Errorf(code.Stopping, "the job is stopped")
	errLost    = code.Errorf(code.BatchHoldLost, "another daemon took the job over, or it was cancelled")
)

// load reads the items and the answers that an earlier holder saved.
func (d *Duty) load(ctx context.Context, h *hold) error {
	body, err := d.deps.Objects.Get(ctx, h.job.Input)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, &h.items); err != nil {
		return code.Errorf(code.StoreCorrupt, "object %s: %w", h.job.Input, err)
	}
	if h.job.Saved == "" {
		return nil
	}
	lines, err := d.lines(ctx, h.job.Saved)
	if err != nil {
		// The answers are generated again.
		d.deps.Log.Info("batch_saved_unread", zap.String("batch", h.job.ID), zap.Error(err))
		return nil
	}
	for _, l := range lines {
		h.lines[l.Index] = l
	}
	h.saved = len(lines)
	return nil
}

// renewLoop renews the hold until work ends, and stops work when the hold is
// lost or the daemon leaves.
func (d *Duty) renewLoop(work context.Context, h *hold, stop context.CancelCauseFunc) {
	tick := time.NewTicker(d.config.HoldFor / renewals)
	defer tick.Stop()
	saved := d.now()
	for {
		select {
		case <-work.Done():
			return
		case <-d.leaving:
			stop(errStopped)
			return
		case <-tick.C:
		}
		j := h.job
		if d.now().Sub(saved) >= d.config.SaveEvery {
			saved = d.now()
			j.Saved = d.save(work, h, "saved")
		}
		err := d.update(work, h, j.Held(d.config.VM, d.config.Instance, d.now().Add(d.config.HoldFor)))
		if code.Of(err) == code.StoreConflict && d.takenOver(work, h) {
			stop(errLost)
			return
		}
	}
}

// takenOver tells whether a conflict means that the hold is lost. A late write
// of this daemon is no loss.
func (d *Duty) takenOver(ctx context.Context, h *hold) bool {
	j, version, err := d.read(ctx, h.job.Caller, h.job.ID)
	if code.Of(err) == code.BatchStoreDown {
		return false
	}
	if err == nil && j.Holder == d.config.Instance && j.Holds == h.job.Holds {
		h.version = version
		return false
	}
	return true
}

// save writes the answers so far to the object store and returns their key; the
// former key when that fails or nothing is new.
func (d *Duty) save(ctx context.Context, h *hold, kind string) string {
	h.mu.Lock()
	lines := make([]Line, 0, len(h.lines))
	for i := range h.items {
		if l, ok := h.lines[i]; ok {
			lines = append(lines, l)
		}
	}
	h.mu.Unlock()
	if kind == "saved" && len(lines) == h.saved {
		return h.job.Saved
	}
	body, err := json.Marshal(lines)
	if err != nil {
		return h.job.Saved
	}
	digest := sha256.Sum256(body)
	key := objectKey(d.config.Environment, kind, hex.EncodeToString(digest[:]))
	if err := d.deps.Objects.Put(ctx, key, body); err != nil {
		return h.job.Saved
	}
	h.saved = len(lines)
	return key
}

// finish ends a job: first the result, then the row. It tries until it is
// written, the hold is lost or ctx ends.
func (d *Duty) finish(ctx context.Context, h *hold, s State, reason string) {
	result := ""
	for ctx.Err() == nil {
		if s == StateDone && result == "" {
			result = d.save(ctx, h, "result")
			if result == h.job.Saved {
				result = ""
			}
		}
		if s != StateDone || result != "" {
			done := h.job.End(s, d.now().UTC())
			done.Result = result
			done.Error = reason
			done.Failed = h.failed()
			err := d.update(ctx, h, done)
			if err == nil {
				d.ended.Inc(1)
				d.event(event.BatchEnded, done)
				return
			}
			if code.Of(err) == code.StoreConflict && d.takenOver(ctx, h) {
				d.lost.Inc(1)
				return
			}
		}
		select {
		case <-time.After(jitter(storeRetry)):
		case <-ctx.Done():
		}
	}
}

// failed counts the items that ended in an error.
func (h *hold) failed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, l := range h.lines {
		if l.Error != nil {
			n++
		}
	}
	return n
}

// handOver saves the answers and releases the hold, so that another daemon
// takes the job at once and not when the hold expires.
func (d *Duty) handOver(h *hold) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*store.CallTimeout)
	defer cancel()
	j := h.job
	j.Saved = d.save(ctx, h, "saved")
	if err := d.update(ctx, h, j.Released()); err != nil {
		d.deps.Log.Info("batch_release_failed", zap.String("batch", j.ID), zap.Error(err))
	}
}
