package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Submission is a batch that a caller hands in.
type Submission struct {
	Caller *envdoc.Caller
	// Key is the idempotency key; a repeat with it finds the same job.
	Key string
	// Priority must be a deferred one; empty for the caller's least urgent.
	Priority string
	Items    []Item
}

// cancelTries bounds the tries to cancel a job that others write.
const cancelTries = 3

// Submit stores a batch. The job is durable when the error is nil. An error has
// code NoDocument, BadParameter, MalformedBody, UnknownModel, UnknownPriority,
// Forbidden, ClaimMismatch or BatchStoreDown.
func (d *Duty) Submit(ctx context.Context, s Submission) (Job, error) {
	priority, err := d.check(s)
	if err != nil {
		return Job{}, err
	}
	body, err := json.Marshal(s.Items)
	if err != nil {
		return Job{}, code.Errorf(code.MalformedBody, "batch: %w", err)
	}
	now := d.now().UTC()
	digest := sha256.Sum256(body)
	id := submissionID(s)
	j := Job{
		ID:       id,
		Caller:   s.Caller.Name,
		Priority: priority.Name,
		State:    StateQueued,
		At:       now,
		Deadline: now.Add(time.Duration(priority.Deadline)),
		Requests: len(s.Items),
		Input:    d.newObject("input", id),
		Digest:   hex.EncodeToString(digest[:]),
	}
	if err := d.deps.Objects.Put(ctx, j.Input, body); err != nil {
		return Job{}, code.Errorf(code.BatchStoreDown, "the input could not be stored: %w", err)
	}
	stored, err := d.insert(ctx, j)
	if code.RunOf(err) == code.RunNo || err == nil && stored.Input != j.Input {
		d.discard(ctx, j.Input)
	}
	if err != nil {
		return Job{}, err
	}
	d.accepted.Inc(1)
	d.deps.Events.Add(event.Event{Kind: event.BatchAccepted, Request: j.ID, Text: j.Caller})
	return stored, nil
}

// submissionID is fresh, or follows from the idempotency key.
func submissionID(s Submission) string {
	if s.Key == "" {
		return "batch_" + store.NewID()
	}
	sum := sha256.Sum256([]byte(s.Caller.Name + "\x00" + s.Key))
	return "batch_" + hex.EncodeToString(sum[:16])
}

// check refuses a batch whose requests could not be run.
func (d *Duty) check(s Submission) (*envdoc.Priority, error) {
	catalog, err := d.catalogs.Catalog()
	if err != nil {
		return nil, err
	}
	if len(s.Items) == 0 || len(s.Items) > MaxItems {
		return nil, code.Errorf(code.BadParameter, "requests: %d is not from 1 to %d", len(s.Items), MaxItems)
	}
	if s.Priority == "" {
		p, ok := catalog.Deferred(s.Caller)
		if !ok {
			return nil, code.Errorf(code.Forbidden, "caller %q has no deferred priority", s.Caller.Name)
		}
		s.Priority = p.Name
	}
	p, err := catalog.Priority(s.Caller, s.Priority)
	if err != nil {
		return nil, err
	}
	if !p.Deferred {
		return nil, code.Errorf(code.BadParameter, "priority %q is not a deferred one", p.Name)
	}
	for n, i := range s.Items {
		if len(i.CustomID) > maxCustomID {
			return nil, code.Errorf(code.BadParameter, "requests[%d].custom_id: longer than %d bytes", n, maxCustomID)
		}
		g, err := i.Generation()
		if err != nil {
			return nil, code.Errorf(code.Of(err), "requests[%d]: %w", n, err)
		}
		g.Priority = p.Name
		if _, err := catalog.Call(s.Caller, g, "", d.now()); err != nil {
			return nil, code.Errorf(code.Of(err), "requests[%d]: %w", n, err)
		}
	}
	return p, nil
}

// insert writes the row of a new job. The id is fresh or belongs to the key, so
// a row that is found under it is this job's.
func (d *Duty) insert(ctx context.Context, j Job) (Job, error) {
	key := jobKey(d.config.Environment, j.Caller, j.ID)
	tx := store.Tx{ID: store.NewID()}
	tx.Require(key, 0)
	tx.Put(key, encode(j))
	tx.Put(openKey(d.config.Environment, j), []byte(key))
	err := store.Commit(ctx, d.deps.Table, tx)
	if err == nil {
		return j, nil
	}
	unsure := code.Of(err) == code.StoreUnknown
	if unsure || code.Of(err) == code.StoreConflict {
		found, _, readErr := d.read(ctx, j.Caller, j.ID)
		if readErr == nil {
			return sameJob(found, j)
		}
	}
	err = code.Errorf(code.BatchStoreDown, "the job could not be stored: %w", err)
	if unsure {
		err = code.WithRun(err, code.RunUnknown)
	}
	return Job{}, err
}

// sameJob returns the job that is stored already, if it has the same input.
func sameJob(found, j Job) (Job, error) {
	// The input of an older job is named by the digest.
	if found.Digest != j.Digest && !strings.HasSuffix(found.Input, "/"+j.Digest) {
		return Job{}, code.Errorf(code.ClaimMismatch, "the key was used for another batch")
	}
	return found, nil
}

// encode renders the value of a job's row.
func encode(j Job) []byte {
	value, err := json.Marshal(j)
	if err != nil {
		// A Job holds nothing that JSON refuses.
		panic(err)
	}
	return value
}

// read returns a job and the version of its row. An error has code
// BatchNotFound, BatchStoreDown or StoreCorrupt.
func (d *Duty) read(ctx context.Context, caller, id string) (Job, int64, error) {
	rows, err := d.deps.Table.Get(ctx, jobKey(d.config.Environment, caller, id))
	if err != nil {
		return Job{}, 0, code.Errorf(code.BatchStoreDown, "the batch could not be read: %w", err)
	}
	if len(rows) == 0 {
		return Job{}, 0, code.Errorf(code.BatchNotFound, "no batch %q", id)
	}
	j, err := decodeJob(rows[0])
	return j, rows[0].Version, err
}

func decodeJob(row store.Row) (Job, error) {
	var j Job
	if err := json.Unmarshal(row.Value, &j); err != nil {
		return Job{}, code.Errorf(code.StoreCorrupt, "batch %s: %w", row.Key, err)
	}
	return j, nil
}

// Get returns a batch of a caller. An error has code BatchNotFound or
// BatchStoreDown.
func (d *Duty) Get(ctx context.Context, caller, id string) (Job, error) {
	j, _, err := d.read(ctx, caller, id)
	return j, err
}

// List returns up to 100 batches of a caller whose ids come after after, in
// the order of ids, and whether there are more.
func (d *Duty) List(ctx context.Context, caller, after string) ([]Job, bool, error) {
	prefix := jobPrefix(d.config.Environment, caller)
	if after != "" {
		after = prefix + after
	}
	rows, err := d.deps.Table.Scan(ctx, prefix, after, listPage+1)
	if err != nil {
		return nil, false, code.Errorf(code.BatchStoreDown, "the batches could not be read: %w", err)
	}
	more := len(rows) > listPage
	if more {
		rows = rows[:listPage]
	}
	jobs := make([]Job, 0, len(rows))
	for _, row := range rows {
		j, err := decodeJob(row)
		if err != nil {
			return nil, false, err
		}
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].ID < jobs[k].ID })
	return jobs, more, nil
}

// Result returns the lines of a batch that is done, in the order of its
// requests. An error has code BatchNotFound, BatchFailed or BatchStoreDown; a
// nil list without an error means that the batch has not ended.
func (d *Duty) Result(ctx context.Context, caller, id string) ([]Line, error) {
	j, err := d.Get(ctx, caller, id)
	if err != nil {
		return nil, err
	}
	switch j.State {
	case StateDone:
		lines, err := d.lines(ctx, j.Result)
		if err != nil && !d.now().Before(j.Ended.Add(d.config.KeepFor)) {
			return nil, code.Errorf(code.BatchNotFound, "the result of batch %q is not kept any longer", id)
		}
		return lines, err
	case StateFailed, StateCancelled:
		return nil, code.Errorf(code.BatchFailed, "batch %s is %s: %s", id, j.State, j.Error)
	}
	return nil, nil
}

// lines reads result lines from the object store.
func (d *Duty) lines(ctx context.Context, key string) ([]Line, error) {
	body, err := d.deps.Objects.Get(ctx, key)
	if err != nil {
		return nil, code.Errorf(code.BatchStoreDown, "the result could not be read: %w", err)
	}
	var lines []Line
	if err := json.Unmarshal(body, &lines); err != nil {
		return nil, code.Errorf(code.StoreCorrupt, "object %s: %w", key, err)
	}
	return lines, nil
}

// Cancel ends a batch before it is done. An error has code BatchNotFound,
// BatchEnded or BatchStoreDown.
func (d *Duty) Cancel(ctx context.Context, caller, id string) (Job, error) {
	var last error
	for range cancelTries {
		j, version, err := d.read(ctx, caller, id)
		if err != nil {
			return Job{}, err
		}
		if j.State == StateCancelled {
			return j, nil
		}
		if j.Final() {
			return Job{}, code.Errorf(code.BatchEnded, "batch %s is %s", id, j.State)
		}
		j = j.End(StateCancelled, d.now().UTC())
		last = store.Commit(ctx, d.deps.Table, d.jobTx(j, version))
		if last == nil {
			d.event(event.BatchEnded, j)
			return j, nil
		}
	}
	return Job{}, code.WithRun(code.Errorf(code.BatchStoreDown, "the batch could not be cancelled: %w", last), code.RunUnknown)
}

// jobTx writes a job whose row has a version. A job that has ended goes from
// the open jobs to the ended ones.
func (d *Duty) jobTx(j Job, version int64) store.Tx {
	key := jobKey(d.config.Environment, j.Caller, j.ID)
	tx := store.Tx{ID: store.NewID()}
	tx.Require(key, version)
	tx.Put(key, encode(j))
	if j.Final() {
		tx.Delete(openKey(d.config.Environment, j))
		tx.Put(endedKey(d.config.Environment, j.Ended, j.ID), []byte(key))
	}
	return tx
}

func (d *Duty) event(k event.Kind, j Job) {
	d.deps.Events.Add(event.Event{Kind: k, Request: j.ID, Text: string(j.State)})
}
