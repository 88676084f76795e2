package batch

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// runLoop takes one job after the other.
func (d *Duty) runLoop(ctx context.Context, own *rand.Rand) error {
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.leaving:
			return nil
		case <-time.After(random.Around(own, d.config.PollEvery)):
		}
		for ctx.Err() == nil && d.runNext(ctx, own) {
		}
	}
}

// runNext takes and runs a job; false when none ran to its end.
func (d *Duty) runNext(ctx context.Context, own *rand.Rand) bool {
	select {
	case <-d.leaving:
		return false
	default:
	}
	h, err := d.take(ctx, own)
	if err != nil {
		d.deps.Log.Info("batch_take_failed", zap.Int("code", int(code.Of(err))), zap.Error(err))
	}
	if h == nil {
		return false
	}
	d.taken.Inc(1)
	d.event(event.BatchHeld, h.job)
	return d.run(ctx, h)
}

// take takes one of the open jobs. It begins at a random one, so that daemons
// seldom try for the same.
func (d *Duty) take(ctx context.Context, own *rand.Rand) (*hold, error) {
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
	first := own.IntN(len(rows))
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
		h := newHold(j, row.Version)
		err = d.update(ctx, h, j.Taken(d.config.VM, d.config.Instance, d.now().Add(d.config.HoldFor)))
		if err == nil {
			h.task = h.job
			return h, nil
		}
		if code.Of(err) != code.StoreConflict {
			return nil, err
		}
	}
	return nil, nil
}

// update writes a job under the version that the hold knows. An error has code
// StoreConflict when another writer was first, StoreUnknown when that is not
// known.
func (d *Duty) update(ctx context.Context, h *hold, j Job) error {
	if err := store.Commit(ctx, d.deps.Table, d.jobTx(j, h.version)); err != nil {
		return err
	}
	former := h.job
	h.job = j
	h.version++
	if former.Saved != j.Saved {
		former.Input, former.Result = "", ""
		d.discard(ctx, former.owned(d.config.Environment)...)
	}
	return nil
}

// Causes for which the work on a job ends early.
var (
	errStopped = code.Errorf(code.Stopping, "the job is stopped")
	errLost    = code.Errorf(code.BatchHoldLost, "another daemon took the job over, or it was cancelled")
)

// run runs a held job to its end, or until the hold is lost or handed over. It
// tells whether the job has ended.
func (d *Duty) run(ctx context.Context, h *hold) bool {
	if err := d.load(ctx, h); err != nil {
		d.deps.Log.Warn("batch_load_failed", zap.String("batch", h.task.ID), zap.Error(err))
		if code.Of(err) == code.StoreCorrupt || code.Of(err) == code.StoreNotFound {
			d.finish(ctx, h, StateFailed, err.Error())
			return true
		}
		d.handOver(h)
		return false
	}
	work, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		d.renewLoop(work, h, stop)
	}()
	d.answerAll(work, h)
	whole := h.whole()
	stop(errStopped)
	<-renewed
	switch {
	case whole:
		d.finish(ctx, h, StateDone, "")
		return true
	case code.Of(context.Cause(work)) == code.BatchHoldLost:
		d.lost.Inc(1)
		d.deps.Log.Info("batch_hold_lost", zap.String("batch", h.task.ID))
	default:
		d.handOver(h)
	}
	return false
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
			j.Saved = d.save(work, h)
		}
		err := d.update(work, h, j.Renewed(d.now().Add(d.config.HoldFor)))
		if code.Of(err) == code.StoreConflict && d.takenOver(work, h) {
			stop(errLost)
			return
		}
	}
}

// takenOver tells whether a conflict means that the hold is lost. A late write
// of this hold is no loss.
func (d *Duty) takenOver(ctx context.Context, h *hold) bool {
	j, version, err := d.read(ctx, h.task.Caller, h.task.ID)
	if code.Of(err) == code.BatchStoreDown {
		return false
	}
	if err == nil && !j.Final() && j.Holder == d.config.Instance && j.Holds == h.task.Holds {
		h.job = j
		h.version = version
		return false
	}
	// No write of this hold takes effect any more, so that the row names its
	// objects now or never.
	for _, key := range h.objects {
		if key != j.Saved && key != j.Result {
			d.discard(ctx, key)
		}
	}
	return true
}

// finish ends a job: first the result, then the row. It tries until it is
// written, the hold is lost or ctx ends.
func (d *Duty) finish(ctx context.Context, h *hold, s State, reason string) {
	result := ""
	for ctx.Err() == nil {
		var err error
		if s == StateDone && result == "" {
			result, err = d.put(ctx, h, "result")
		}
		if err == nil {
			done := h.job.End(s, d.now().UTC())
			done.Result = result
			done.Error = reason
			done.Failed = h.failed()
			err = d.update(ctx, h, done)
			if err == nil {
				d.ended.Inc(1)
				d.event(event.BatchEnded, done)
				return
			}
		}
		if code.Of(err) == code.StoreConflict && d.takenOver(ctx, h) {
			d.lost.Inc(1)
			d.deps.Log.Info("batch_hold_lost", zap.String("batch", h.task.ID))
			return
		}
		select {
		case <-time.After(random.Around(d.random, storeRetry)):
		case <-ctx.Done():
		}
	}
}

// handOver saves the answers and releases the hold, so that another daemon
// takes the job at once and not when the hold expires.
func (d *Duty) handOver(h *hold) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*store.CallTimeout)
	defer cancel()
	j := h.job
	j.Saved = d.save(ctx, h)
	if err := d.update(ctx, h, j.Released()); err != nil {
		d.deps.Log.Info("batch_release_failed", zap.String("batch", j.ID), zap.Error(err))
	}
}
