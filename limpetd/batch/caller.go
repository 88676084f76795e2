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

// Submission is a batch that a caller submits.
type Submission struct {
	Caller *envdoc.Caller
	// Key is the idempotency key; a repeated submission with the same key and items
	// returns the job of the first one while that job is kept. Empty for none.
	Key string
	// Priority is the name of a deferred priority; empty for the least urgent
	// deferred priority of the caller.
	Priority string
	Items    []Item
}

// maxCancelAttempts is the maximum number of attempts to cancel a job that other
// daemons write at the same time.
const maxCancelAttempts = 3

// Submit stores a batch and returns its job. If the error is nil, the job is durable.
// An error has code NoDocument, BadParameter, MalformedBody, UnknownModel,
// UnknownPriority, Forbidden, ClaimMismatch or BatchStoreDown.
func (d *Manager) Submit(ctx context.Context, s Submission) (Job, error) {
	priority, err := d.validate(s)
	if err != nil {
		return Job{}, err
	}
	body, err := json.Marshal(s.Items)
	if err != nil {
		return Job{}, code.Errorf(code.MalformedBody, "encode the requests: %w", err)
	}
	now := d.now().UTC()
	digest := sha256.Sum256(body)
	id := submissionID(s)
	j := Job{
		ID:          id,
		Caller:      s.Caller.Name,
		Priority:    priority.Name,
		State:       StateQueued,
		SubmittedAt: now,
		Deadline:    now.Add(time.Duration(priority.Deadline)),
		Requests:    len(s.Items),
		InputKey:    d.newObjectKey("input", id),
		Digest:      hex.EncodeToString(digest[:]),
	}
	if err := d.deps.Objects.Put(ctx, j.InputKey, body); err != nil {
		return Job{}, code.Errorf(code.BatchStoreDown, "the input of the batch could not be stored: %w", err)
	}
	stored, err := d.insertJob(ctx, j)
	if code.RunOf(err) == code.RunNo || err == nil && stored.InputKey != j.InputKey {
		d.discardObjects(ctx, j.InputKey)
	}
	if err != nil {
		return Job{}, err
	}
	d.jobsAccepted.Inc(1)
	d.deps.Events.Add(event.Event{Kind: event.BatchAccepted, Request: j.ID, Text: j.Caller})
	return stored, nil
}

// submissionID returns the id of the job of s: a hash of the caller's name and the
// idempotency key, or a new id if there is no key.
func submissionID(s Submission) string {
	if s.Key == "" {
		return "batch_" + store.NewID()
	}
	sum := sha256.Sum256([]byte(s.Caller.Name + "\x00" + s.Key))
	return "batch_" + hex.EncodeToString(sum[:16])
}

// validate returns the priority of s, or an error if the requests of s can't be run.
func (d *Manager) validate(s Submission) (*envdoc.Priority, error) {
	catalog, err := d.catalogs.Catalog()
	if err != nil {
		return nil, err
	}
	if len(s.Items) == 0 || len(s.Items) > MaxItems {
		return nil, code.Errorf(code.BadParameter, "requests: %d is not in the range 1 to %d", len(s.Items), MaxItems)
	}
	if s.Priority == "" {
		p, ok := catalog.LeastUrgentDeferred(s.Caller)
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
		return nil, code.Errorf(code.BadParameter, "priority %q is not deferred", p.Name)
	}
	for n, i := range s.Items {
		if len(i.CustomID) > maxCustomIDBytes {
			return nil, code.Errorf(code.BadParameter, "requests[%d].custom_id: longer than %d bytes", n, maxCustomIDBytes)
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

// insertJob writes the row of a new job and returns the stored job. The id is new or
// derived from the idempotency key, so a row that exists under the id holds this job or
// the job of an earlier submission with the same key.
func (d *Manager) insertJob(ctx context.Context, j Job) (Job, error) {
	key := jobKey(d.config.Environment, j.Caller, j.ID)
	tx := store.Tx{ID: store.NewID()}
	tx.Require(key, 0)
	tx.Put(key, encodeJob(j))
	tx.Put(openKey(d.config.Environment, j), []byte(key))
	err := store.Commit(ctx, d.deps.Table, tx)
	if err == nil {
		return j, nil
	}
	unknown := code.Of(err) == code.StoreUnknown
	if unknown || code.Of(err) == code.StoreConflict {
		found, _, readErr := d.readJob(ctx, j.Caller, j.ID)
		if readErr == nil {
			return matchExisting(found, j)
		}
	}
	err = code.Errorf(code.BatchStoreDown, "the job of the batch could not be stored: %w", err)
	if unknown {
		err = code.WithRun(err, code.RunUnknown)
	}
	return Job{}, err
}

// matchExisting returns found, the job that is stored under the id of j, if both have
// the same input. Otherwise it returns an error with code ClaimMismatch.
func matchExisting(found, j Job) (Job, error) {
	// Older jobs have no Digest; the key of their input object ends with the digest.
	if found.Digest != j.Digest && !strings.HasSuffix(found.InputKey, "/"+j.Digest) {
		return Job{}, code.Errorf(code.ClaimMismatch, "the idempotency key was used for a batch with other requests")
	}
	return found, nil
}

// encodeJob returns the value of a job's row.
func encodeJob(j Job) []byte {
	value, err := json.Marshal(j)
	if err != nil {
		// Each field of a Job can be encoded as JSON.
		panic(err)
	}
	return value
}

// readJob returns a job and the version of its row. An error has code
// BatchNotFound, BatchStoreDown or StoreCorrupt.
func (d *Manager) readJob(ctx context.Context, caller, id string) (Job, int64, error) {
	rows, err := d.deps.Table.Get(ctx, jobKey(d.config.Environment, caller, id))
	if err != nil {
		return Job{}, 0, code.Errorf(code.BatchStoreDown, "the batch could not be read: %w", err)
	}
	if len(rows) == 0 {
		return Job{}, 0, code.Errorf(code.BatchNotFound, "batch %q does not exist", id)
	}
	j, err := decodeJob(rows[0])
	return j, rows[0].Version, err
}

// decodeJob decodes the value of a job's row. An error has code StoreCorrupt.
func decodeJob(row store.Row) (Job, error) {
	var j Job
	if err := json.Unmarshal(row.Value, &j); err != nil {
		return Job{}, code.Errorf(code.StoreCorrupt, "decode job %s: %w", row.Key, err)
	}
	return j, nil
}

// Get returns the job of a caller's batch. An error has code BatchNotFound,
// BatchStoreDown or StoreCorrupt.
func (d *Manager) Get(ctx context.Context, caller, id string) (Job, error) {
	j, _, err := d.readJob(ctx, caller, id)
	return j, err
}

// List returns the jobs of up to 100 batches of a caller whose ids come after the id
// after, in the order of their ids, and whether there are more. An error has code
// BatchStoreDown or StoreCorrupt.
func (d *Manager) List(ctx context.Context, caller, after string) ([]Job, bool, error) {
	prefix := jobPrefix(d.config.Environment, caller)
	if after != "" {
		after = prefix + after
	}
	rows, err := d.deps.Table.Scan(ctx, prefix, after, listPageSize+1)
	if err != nil {
		return nil, false, code.Errorf(code.BatchStoreDown, "the batches could not be listed: %w", err)
	}
	more := len(rows) > listPageSize
	if more {
		rows = rows[:listPageSize]
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

// Result returns the lines of a batch that is done, in the order of its requests. It
// returns nil without an error if the batch has not ended. An error has code
// BatchNotFound, BatchFailed, BatchStoreDown or StoreCorrupt.
func (d *Manager) Result(ctx context.Context, caller, id string) ([]ItemResult, error) {
	j, err := d.Get(ctx, caller, id)
	if err != nil {
		return nil, err
	}
	switch j.State {
	case StateDone:
		lines, err := d.readLines(ctx, j.ResultKey)
		if err != nil && !d.now().Before(j.EndedAt.Add(d.config.Retention)) {
			return nil, code.Errorf(code.BatchNotFound, "the result of batch %q is no longer kept", id)
		}
		return lines, err
	case StateFailed, StateCancelled:
		return nil, code.Errorf(code.BatchFailed, "batch %s is %s: %s", id, j.State, j.Error)
	}
	return nil, nil
}

// readLines reads an object that holds result lines. An error has code BatchStoreDown
// or StoreCorrupt.
func (d *Manager) readLines(ctx context.Context, key string) ([]ItemResult, error) {
	body, err := d.deps.Objects.Get(ctx, key)
	if err != nil {
		return nil, code.Errorf(code.BatchStoreDown, "the result lines could not be read: %w", err)
	}
	var lines []ItemResult
	if err := json.Unmarshal(body, &lines); err != nil {
		return nil, code.Errorf(code.StoreCorrupt, "decode object %s: %w", key, err)
	}
	return lines, nil
}

// Cancel cancels a batch that has not ended and returns its job. An error has code
// BatchNotFound, BatchEnded, BatchStoreDown or StoreCorrupt.
func (d *Manager) Cancel(ctx context.Context, caller, id string) (Job, error) {
	var last error
	for range maxCancelAttempts {
		j, version, err := d.readJob(ctx, caller, id)
		if err != nil {
			return Job{}, err
		}
		if j.State == StateCancelled {
			return j, nil
		}
		if j.HasEnded() {
			return Job{}, code.Errorf(code.BatchEnded, "batch %s is %s", id, j.State)
		}
		j = j.AsEnded(StateCancelled, d.now().UTC())
		last = store.Commit(ctx, d.deps.Table, d.jobTx(j, version))
		if last == nil {
			d.recordEvent(event.BatchEnded, j)
			return j, nil
		}
	}
	return Job{}, code.WithRun(code.Errorf(code.BatchStoreDown, "the batch could not be cancelled: %w", last), code.RunUnknown)
}

// jobTx returns the transaction that writes the row of a job if the row has the
// version. For a job that has ended it also moves the job from the list of open jobs
// to the list of ended jobs.
func (d *Manager) jobTx(j Job, version int64) store.Tx {
	key := jobKey(d.config.Environment, j.Caller, j.ID)
	tx := store.Tx{ID: store.NewID()}
	tx.Require(key, version)
	tx.Put(key, encodeJob(j))
	if j.HasEnded() {
		tx.Delete(openKey(d.config.Environment, j))
		tx.Put(endedKey(d.config.Environment, j.EndedAt, j.ID), []byte(key))
	}
	return tx
}

// recordEvent records an event with the id and the state of a job.
func (d *Manager) recordEvent(k event.Kind, j Job) {
	d.deps.Events.Add(event.Event{Kind: k, Request: j.ID, Text: string(j.State)})
}
