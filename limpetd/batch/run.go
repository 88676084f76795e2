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

// runLoop polls for jobs and runs them one after another, until the daemon leaves or
// stops.
func (d *Manager) runLoop(ctx context.Context, rng *rand.Rand) error {
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.leaving:
			return nil
		case <-time.After(random.Jitter(rng, d.config.PollInterval)):
		}
		for ctx.Err() == nil && d.runNext(ctx, rng) {
		}
	}
}

// runNext takes a job and runs it. It reports whether a job ran to its end.
func (d *Manager) runNext(ctx context.Context, rng *rand.Rand) bool {
	select {
	case <-d.leaving:
		return false
	default:
	}
	r, err := d.takeJob(ctx, rng)
	if err != nil {
		d.deps.Log.Info("batch_take_failed", zap.Int("code", int(code.Of(err))), zap.Error(err))
	}
	if r == nil {
		return false
	}
	d.jobsTaken.Inc(1)
	d.recordEvent(event.BatchHeld, r.current)
	return d.runJob(ctx, r)
}

// takeJob takes the lease on an open job. It returns nil if there is no job to take.
// It tries the jobs in turn from a random one, so that daemons seldom compete for the
// same job.
func (d *Manager) takeJob(ctx context.Context, rng *rand.Rand) (*jobRun, error) {
	open, err := d.deps.Table.Scan(ctx, openPrefix(d.config.Environment), "", openPageSize)
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
	start := rng.IntN(len(rows))
	for i := range rows {
		row := rows[(start+i)%len(rows)]
		j, err := decodeJob(row)
		if err != nil {
			d.deps.Log.Error("batch_row_corrupt", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		if !j.CanLease(d.now()) {
			continue
		}
		r := newJobRun(j, row.Version)
		err = d.updateJob(ctx, r, j.WithLease(d.config.VM, d.config.Instance, d.now().Add(d.config.LeaseTTL)))
		if err == nil {
			r.initial = r.current
			return r, nil
		}
		if code.Of(err) != code.StoreConflict {
			return nil, err
		}
	}
	return nil, nil
}

// updateJob writes a job if its row still has the version of the run. Then updateJob
// deletes the object of saved lines that the row no longer refers to. An error has code
// StoreConflict if the row has another version, and StoreUnknown if it is unknown
// whether the write took effect.
func (d *Manager) updateJob(ctx context.Context, r *jobRun, j Job) error {
	if err := store.Commit(ctx, d.deps.Table, d.jobTx(j, r.version)); err != nil {
		return err
	}
	previous := r.current
	r.current = j
	r.version++
	if previous.SavedKey != j.SavedKey {
		previous.InputKey, previous.ResultKey = "", ""
		d.discardObjects(ctx, previous.ownedObjects(d.config.Environment)...)
	}
	return nil
}

// Causes for which the context of a run is cancelled.
var (
	errJobStopped = code.Errorf(code.Stopping, "this daemon stopped the job")
	errLeaseLost  = code.Errorf(code.BatchHoldLost, "another daemon took the job over, or the job was cancelled")
)

// runJob runs a job until it ends, its lease is lost or it is handed over. It reports
// whether the job ran to its end.
func (d *Manager) runJob(ctx context.Context, r *jobRun) bool {
	if err := d.loadInput(ctx, r); err != nil {
		d.deps.Log.Warn("batch_load_failed", zap.String("batch", r.initial.ID), zap.Error(err))
		if code.Of(err) == code.StoreCorrupt || code.Of(err) == code.StoreNotFound {
			d.finishJob(ctx, r, StateFailed, err.Error())
			return true
		}
		d.handOver(r)
		return false
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	renewalEnded := make(chan struct{})
	go func() {
		defer close(renewalEnded)
		d.renewLoop(runCtx, r, cancel)
	}()
	d.answerItems(runCtx, r)
	complete := r.complete()
	cancel(errJobStopped)
	<-renewalEnded
	switch {
	case complete:
		d.finishJob(ctx, r, StateDone, "")
		return true
	case code.Of(context.Cause(runCtx)) == code.BatchHoldLost:
		d.leasesLost.Inc(1)
		d.deps.Log.Info("batch_hold_lost", zap.String("batch", r.initial.ID))
	default:
		d.handOver(r)
	}
	return false
}

// renewLoop renews the lease and saves the lines from time to time, until ctx ends. It
// cancels ctx when the lease is lost or the daemon leaves.
func (d *Manager) renewLoop(ctx context.Context, r *jobRun, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(d.config.LeaseTTL / renewalsPerLease)
	defer ticker.Stop()
	lastSave := d.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.leaving:
			cancel(errJobStopped)
			return
		case <-ticker.C:
		}
		j := r.current
		if d.now().Sub(lastSave) >= d.config.SaveInterval {
			lastSave = d.now()
			j.SavedKey = d.saveLines(ctx, r)
		}
		err := d.updateJob(ctx, r, j.WithRenewedLease(d.now().Add(d.config.LeaseTTL)))
		if code.Of(err) == code.StoreConflict && d.leaseLostAfterConflict(ctx, r) {
			cancel(errLeaseLost)
			return
		}
	}
}

// leaseLostAfterConflict reports whether the lease is lost after a write that failed
// with StoreConflict. If the conflict is due to a write of this run that took effect
// late, the lease is not lost and the run continues from the stored row. If the lease
// is lost, the objects of this run that the row does not refer to are deleted.
func (d *Manager) leaseLostAfterConflict(ctx context.Context, r *jobRun) bool {
	j, version, err := d.readJob(ctx, r.initial.Caller, r.initial.ID)
	if code.Of(err) == code.BatchStoreDown {
		return false
	}
	if err == nil && !j.HasEnded() && j.LeaseHolder == d.config.Instance && j.LeaseCount == r.initial.LeaseCount {
		r.current = j
		r.version = version
		return false
	}
	// No write of this run can take effect from now on. Objects of this run that the
	// row does not refer to now are never referred to.
	for _, key := range r.writtenKeys {
		if key != j.SavedKey && key != j.ResultKey {
			d.discardObjects(ctx, key)
		}
	}
	return true
}

// finishJob ends a job: it writes the result to the object store and then the row. It
// repeats failed writes until the row is written, the lease is lost or ctx ends.
func (d *Manager) finishJob(ctx context.Context, r *jobRun, s State, reason string) {
	result := ""
	for ctx.Err() == nil {
		var err error
		if s == StateDone && result == "" {
			result, err = d.writeLines(ctx, r, "result")
		}
		if err == nil {
			done := r.current.AsEnded(s, d.now().UTC())
			done.ResultKey = result
			done.Error = reason
			done.FailedItems = r.countFailed()
			err = d.updateJob(ctx, r, done)
			if err == nil {
				d.jobsEnded.Inc(1)
				d.recordEvent(event.BatchEnded, done)
				return
			}
		}
		if code.Of(err) == code.StoreConflict && d.leaseLostAfterConflict(ctx, r) {
			d.leasesLost.Inc(1)
			d.deps.Log.Info("batch_hold_lost", zap.String("batch", r.initial.ID))
			return
		}
		select {
		case <-time.After(random.Jitter(d.random, storeRetryInterval)):
		case <-ctx.Done():
		}
	}
}

// handOver saves the lines so far and releases the lease, so that another daemon can
// take the job at once instead of when the lease expires.
func (d *Manager) handOver(r *jobRun) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*store.CallTimeout)
	defer cancel()
	j := r.current
	j.SavedKey = d.saveLines(ctx, r)
	if err := d.updateJob(ctx, r, j.WithoutLease()); err != nil {
		d.deps.Log.Info("batch_release_failed", zap.String("batch", j.ID), zap.Error(err))
	}
}
