// Package batch runs batches: lists of requests whose answers may be deferred.
//
// A batch is accepted once its input is in the object store and its job in the table.
// Each daemon can take the lease on a job, which expires unless the daemon renews it.
// The lease holder writes the result to the object store and publishes it by a
// transaction that requires the version of the job's row that the holder wrote last.
// So a daemon that has lost its lease can't end the job. The lease holder saves the
// answers from time to time; if the daemon fails, at most the generations since the
// last save are repeated.
//
// # Usage
//
//	m := batch.New(ctx, batch.Config{...}, batch.Deps{...})
//	job, err := m.Submit(ctx, batch.Submission{Caller: "app", Items: items})
//	job, err = m.Get(ctx, "app", job.ID)
//	lines, err := m.Result(ctx, "app", job.ID)
package batch

import (
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// State is the state of a job.
type State string

// The states of a job. A job in one of the last three has ended.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Job is the stored state of a batch: the value of a row of the table.
type Job struct {
	ID       string `json:"id"`
	Caller   string `json:"caller"`
	Priority string `json:"priority"`
	State    State  `json:"state"`
	// SubmittedAt is the time of the submission, Deadline the time by which the batch is due,
	// EndedAt the time at which the batch ended.
	SubmittedAt time.Time `json:"submitted_at"`
	Deadline    time.Time `json:"deadline"`
	EndedAt     time.Time `json:"ended_at,omitzero"`
	// Requests is the number of items, FailedItems the number of items that ended in an
	// error.
	Requests    int `json:"requests"`
	FailedItems int `json:"failed"`
	// InputKey, SavedKey and ResultKey are the keys of the objects that hold the items, the
	// lines so far and the lines of a job that is done.
	InputKey string `json:"input"`
	// Digest is the SHA-256 of the input in hexadecimal.
	Digest    string `json:"digest,omitempty"`
	SavedKey  string `json:"saved,omitempty"`
	ResultKey string `json:"result,omitempty"`
	// Error is the reason for which the job failed.
	Error string `json:"error,omitempty"`
	// LeaseHolder is the instance id of the daemon that holds the lease, LeaseHolderVM the
	// VM of the daemon. LeaseExpiry is when the lease expires, LeaseCount how often the
	// lease was taken.
	LeaseHolder   string    `json:"holder,omitempty"`
	LeaseHolderVM string    `json:"holder_vm,omitempty"`
	LeaseExpiry   time.Time `json:"held_until,omitzero"`
	LeaseCount    int       `json:"holds"`
}

// HasEnded reports whether the job has ended.
func (j Job) HasEnded() bool {
	return j.State == StateDone || j.State == StateFailed || j.State == StateCancelled
}

// CanLease reports whether a daemon can take the lease on the job at time now.
func (j Job) CanLease(now time.Time) bool {
	return !j.HasEnded() && (j.LeaseHolder == "" || now.After(j.LeaseExpiry))
}

// WithLease returns the job running, with a new lease of the daemon until the given time.
func (j Job) WithLease(vm, instance string, until time.Time) Job {
	j.State = StateRunning
	j.LeaseHolder = instance
	j.LeaseHolderVM = vm
	j.LeaseExpiry = until
	j.LeaseCount++
	return j
}

// WithRenewedLease returns the job with its lease extended until the given time.
func (j Job) WithRenewedLease(until time.Time) Job {
	j.LeaseExpiry = until
	return j
}

// WithoutLease returns the job queued, without a lease.
func (j Job) WithoutLease() Job {
	j.State = StateQueued
	j.LeaseHolder = ""
	j.LeaseHolderVM = ""
	j.LeaseExpiry = time.Time{}
	return j
}

// AsEnded returns the job ended at time now in the state s, without a lease.
func (j Job) AsEnded(s State, now time.Time) Job {
	j.State = s
	j.EndedAt = now
	j.LeaseHolder = ""
	j.LeaseHolderVM = ""
	j.LeaseExpiry = time.Time{}
	return j
}

// Item is one request of a batch.
type Item struct {
	// CustomID is the id that the caller gave the item.
	CustomID string `json:"custom_id"`
	Method   string `json:"method,omitempty"`
	// URL is /v1/chat/completions or /v1/completions.
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// Paths of the requests that a batch can contain.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// Generation decodes the request of the item. An error has code MalformedBody
// or BadParameter.
func (i Item) Generation() (wire.Generation, error) {
	switch i.URL {
	case PathChat:
		return wire.DecodeChat(i.Body)
	case PathCompletion:
		return wire.DecodeCompletion(i.Body)
	}
	return wire.Generation{}, code.Errorf(code.BadParameter, "url: %q is neither %s nor %s", i.URL, PathChat, PathCompletion)
}

// ItemResult is the result of one item. It has either a Response or an Error.
type ItemResult struct {
	// Index is the position of the item in the batch, from 0.
	Index    int         `json:"index"`
	CustomID string      `json:"custom_id"`
	Response *Response   `json:"response"`
	Error    *wire.Error `json:"error"`
}

// Response is the HTTP response that answers an item.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// The functions below return the keys of rows and objects.

// jobPrefix returns the common prefix of the keys of a caller's job rows.
func jobPrefix(environment, caller string) string {
	return "batch/" + environment + "/job/" + url.PathEscape(caller) + "/"
}

// jobKey returns the key of a job's row.
func jobKey(environment, caller, id string) string {
	return jobPrefix(environment, caller) + id
}

// openPrefix returns the common prefix of the keys of the rows that list the open
// jobs, which are those that have not ended, in the order of their deadlines.
func openPrefix(environment string) string {
	return "batch/" + environment + "/open/"
}

// endedPrefix returns the common prefix of the keys of the rows that list the ended
// jobs, in the order of the times at which they ended.
func endedPrefix(environment string) string {
	return "batch/" + environment + "/ended/"
}

// endedKey returns the key of the row that lists a job that ended at the given time.
func endedKey(environment string, at time.Time, id string) string {
	return endedPrefix(environment) + at.UTC().Format(keyTime) + "/" + id
}

// keyTime is the layout of times in keys. Times in this layout sort chronologically.
const keyTime = "20060102T150405"

// openKey returns the key of the row that lists an open job.
func openKey(environment string, j Job) string {
	return openPrefix(environment) + j.Deadline.UTC().Format(keyTime) + "/" + j.ID
}

// objectPrefix returns the common prefix of the keys of the objects of one kind that
// belong to one job only.
func objectPrefix(environment, kind, id string) string {
	return "batch/" + environment + "/" + kind + "/" + id + "/"
}

// ownedObjects returns the keys of the objects that belong to this job only. The
// objects of jobs that were submitted before keys contained the job id are not
// returned, since several jobs may share them.
func (j Job) ownedObjects(environment string) []string {
	var keys []string
	add := func(kind, key string) {
		if strings.HasPrefix(key, objectPrefix(environment, kind, j.ID)) {
			keys = append(keys, key)
		}
	}
	add("input", j.InputKey)
	add("saved", j.SavedKey)
	add("result", j.ResultKey)
	return keys
}
