// Package claim makes calls with an idempotency key run at most once.
//
// A row is inserted in the table before the call is dispatched and closed with
// its outcome. A repeat of the call finds the row: it gets the outcome, learns
// that the first call is in progress, or that its outcome is unknown, which
// stays so for ever. It is never dispatched a second time, unless the first
// call is known not to have run. While the table cannot be reached a keyed call
// is refused as not run.
//
// Rows with an outcome are kept for a configured time and then swept; within it
// a key stands for its first call. Rows without a known outcome are not swept.
//
// # Usage
//
//	claims := claim.New(ctx, claim.Config{...}, claim.Deps{Table: table})
//	c, err := claims.Claim(ctx, claim.Call{Caller: "app", Key: key, Digest: claim.Digest(...)})
//	if err != nil { ... }              // refused; code.RunOf(err) tells whether it ran
//	if c.Stored != nil { ... }         // the outcome of the first call
//	c.Hold.Close(ctx, outcome)         // or NotRun, or Unknown
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// MaxKeyBytes is the largest idempotency key.
const MaxKeyBytes = 128

// State is the state of a claim.
type State string

// The states of a claim. A claim in StateNotRun may be taken again. One in
// StateUnknown was dispatched and has no known outcome.
const (
	StateOpen    State = "open"
	StateDone    State = "done"
	StateNotRun  State = "not_run"
	StateUnknown State = "unknown"
)

// Record is the value of a claim's row.
type Record struct {
	State State `json:"state"`
	// Token identifies the arrival that made the claim.
	Token string `json:"token"`
	// Digest identifies the call that the key was used for.
	Digest string `json:"digest"`
	// Request is the id of the request that made the claim.
	Request string `json:"request"`
	// Until is the time up to which an open claim counts as in progress.
	Until time.Time `json:"until"`
	// Closed is the time of the closing.
	Closed  time.Time `json:"closed,omitzero"`
	Outcome *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the kept answer of a call.
type Outcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// TooLong tells that the answer was longer than is kept.
	TooLong bool `json:"too_long,omitempty"`
}

// Call identifies a keyed call.
type Call struct {
	Caller string
	// Key is the caller's idempotency key.
	Key string
	// Digest identifies the content of the call; see Digest.
	Digest string
	// Request is the request id.
	Request string
}

// Digest returns the digest of a call's content.
func Digest(method, path, query string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, path, query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey returns the key of the row of a claim.
func rowKey(environment, caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return prefix(environment) + hex.EncodeToString(sum[:])
}

// prefix begins the keys of all claims of an environment.
func prefix(environment string) string {
	return "claim/" + environment + "/"
}

// Verdict is what a found row means for an arriving call.
type Verdict int

const (
	// VerdictTake means that the call may claim the row.
	VerdictTake Verdict = iota
	// VerdictOurs means that the row is the claim of this very arrival.
	VerdictOurs
	// VerdictStored means that the first call is done.
	VerdictStored
	// VerdictInProgress means that the first call has not ended.
	VerdictInProgress
	// VerdictUnknown means that it is not known whether the first call ran.
	VerdictUnknown
	// VerdictMismatch means that the key was used for another call.
	VerdictMismatch
)

// Decide tells what a found record means at time now for an arrival with a
// token. A nil record is a missing row.
func Decide(found *Record, digest, token string, now time.Time) Verdict {
	switch {
	case found == nil:
		return VerdictTake
	case found.Token == token:
		return VerdictOurs
	case found.Digest != digest:
		return VerdictMismatch
	case found.State == StateNotRun:
		return VerdictTake
	case found.State == StateDone:
		return VerdictStored
	case found.State == StateOpen && now.Before(found.Until):
		return VerdictInProgress
	}
	return VerdictUnknown
}

// Expired tells whether a record may be swept at time now.
func Expired(r Record, keep time.Duration, now time.Time) bool {
	final := r.State == StateDone || r.State == StateNotRun
	return final && now.Sub(r.Closed) > keep
}

// refusal is the error of a verdict.
func refusal(v Verdict, found *Record) error {
	switch v {
	case VerdictInProgress:
		return code.Errorf(code.ClaimInProgress, "request %s with this key is in progress", found.Request)
	case VerdictUnknown:
		return code.Errorf(code.ClaimUnknown, "the outcome of request %s with this key is not known", found.Request)
	case VerdictMismatch:
		return code.Errorf(code.ClaimMismatch, "the key was used for another call in request %s", found.Request)
	}
	return nil
}
