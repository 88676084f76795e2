// Package batch runs deferred work: lists of requests whose answers may wait.
//
// A batch is accepted once its job is in the table and its input in the object
// store. Any daemon may take a job under a hold that expires and is renewed.
// The result is written to the object store and made known by a transaction on
// the version of the job's row that the holder wrote last, so a daemon that
// lost its hold cannot end the job. Answers are saved from time to time; the
// death of a daemon costs at most the repeat of generations since.
//
// # Usage
//
//	d := batch.New(ctx, batch.Config{...}, batch.Deps{...})
//	job, err := d.Submit(ctx, batch.Submission{Caller: "app", Items: items})
//	job, err = d.Get(ctx, "app", job.ID)
//	lines, err := d.Result(ctx, "app", job.ID)
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

// The states of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Job is the value of a job's row.
type Job struct {
	ID       string    `json:"id"`
	Caller   string    `json:"caller"`
	Priority string    `json:"priority"`
	State    State     `json:"state"`
	At       time.Time `json:"submitted_at"`
	Deadline time.Time `json:"deadline"`
	Ended    time.Time `json:"ended_at,omitzero"`
	// Requests counts the items, Failed those that ended in an error.
	Requests int `json:"requests"`
	Failed   int `json:"failed"`
	// Input, Saved and Result are keys in the object store.
	Input string `json:"input"`
	// Digest names the content of the input.
	Digest string `json:"digest,omitempty"`
	Saved  string `json:"saved,omitempty"`
	Result string `json:"result,omitempty"`
	// Error says why the job failed.
	Error string `json:"error,omitempty"`
	// Holder is the instance id of the daemon that runs the job, HolderVM its
	// VM, HeldUntil when the hold expires and Holds how often it was taken.
	Holder    string    `json:"holder,omitempty"`
	HolderVM  string    `json:"holder_vm,omitempty"`
	HeldUntil time.Time `json:"held_until,omitzero"`
	Holds     int       `json:"holds"`
}

// Final tells whether the job has ended.
func (j Job) Final() bool {
	return j.State == StateDone || j.State == StateFailed || j.State == StateCancelled
}

// Takeable tells whether a daemon may take the job at time now.
func (j Job) Takeable(now time.Time) bool {
	return !j.Final() && (j.Holder == "" || now.After(j.HeldUntil))
}

// Taken returns the job under a new hold until a time.
func (j Job) Taken(vm, instance string, until time.Time) Job {
	j.State = StateRunning
	j.Holder = instance
	j.HolderVM = vm
	j.HeldUntil = until
	j.Holds++
	return j
}

// Renewed returns the job under the same hold until a later time.
func (j Job) Renewed(until time.Time) Job {
	j.HeldUntil = until
	return j
}

// Released returns the job without a hold.
func (j Job) Released() Job {
	j.State = StateQueued
	j.Holder = ""
	j.HolderVM = ""
	j.HeldUntil = time.Time{}
	return j
}

// End returns the job in a final state.
func (j Job) End(s State, now time.Time) Job {
	j.State = s
	j.Ended = now
	j.Holder = ""
	j.HolderVM = ""
	j.HeldUntil = time.Time{}
	return j
}

// Item is one request of a batch.
type Item struct {
	// CustomID is the caller's name for the item.
	CustomID string `json:"custom_id"`
	Method   string `json:"method,omitempty"`
	// URL is /v1/chat/completions or /v1/completions.
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// Paths of the requests that a batch may hold.
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
	return wire.Generation{}, code.Errorf(code.BadParameter, "url: %q is not %s or %s", i.URL, PathChat, PathCompletion)
}

// Line is the result of one item.
type Line struct {
	// Index is the place of the item in the batch.
	Index    int         `json:"index"`
	CustomID string      `json:"custom_id"`
	Response *Response   `json:"response"`
	Error    *wire.Error `json:"error"`
}

// Response is the answer to an item.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// Keys of rows and objects.

func jobPrefix(environment, caller string) string {
	return "batch/" + environment + "/job/" + url.PathEscape(caller) + "/"
}

func jobKey(environment, caller, id string) string {
	return jobPrefix(environment, caller) + id
}

// openPrefix begins the rows that list the jobs which have not ended, in the
// order of their deadlines.
func openPrefix(environment string) string {
	return "batch/" + environment + "/open/"
}

// endedPrefix begins the rows that list the jobs which have ended, in the order
// of their ends.
func endedPrefix(environment string) string {
	return "batch/" + environment + "/ended/"
}

func endedKey(environment string, at time.Time, id string) string {
	return endedPrefix(environment) + at.UTC().Format(keyTime) + "/" + id
}

// keyTime is the form of times in keys; its order is that of the times.
const keyTime = "20060102T150405"

func openKey(environment string, j Job) string {
	return openPrefix(environment) + j.Deadline.UTC().Format(keyTime) + "/" + j.ID
}

// objectPrefix begins the keys of the objects that belong to one job alone.
func objectPrefix(environment, kind, id string) string {
	return "batch/" + environment + "/" + kind + "/" + id + "/"
}

// owned returns the objects that belong to the job alone. Those of jobs that were
// handed in before keys held the id may be shared, and stay.
func (j Job) owned(environment string) []string {
	var keys []string
	add := func(kind, key string) {
		if strings.HasPrefix(key, objectPrefix(environment, kind, j.ID)) {
			keys = append(keys, key)
		}
	}
	add("input", j.Input)
	add("saved", j.Saved)
	add("result", j.Result)
	return keys
}
