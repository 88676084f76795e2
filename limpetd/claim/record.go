// Package claim ensures that a call with an idempotency key (a keyed call) runs at
// most once.
//
// Before a keyed call is dispatched, a claim on its key is inserted as a row of
// the table. The claim is closed with the outcome of the call. A repeat of the
// call finds the row and is answered with the outcome of the first call, or with
// an error which reports that the first call is in progress or that its outcome
// is unknown. An unknown outcome stays unknown for good. A repeat is dispatched
// only if the first call is known not to have run. While the table cannot be
// reached, keyed calls are refused as not run.
//
// Claims with a known outcome are kept for a configured time and then deleted by
// a sweep; during that time a key identifies its first call. Claims that are open
// or have an unknown outcome are never deleted.
//
// # Usage
//
//	claims := claim.New(ctx, claim.Config{...}, claim.Deps{Table: table})
//	c, err := claims.Claim(ctx, claim.Call{Caller: "app", Key: key, Digest: claim.Digest(...)})
//	if err != nil { ... }              // refused; code.RunOf(err) reports whether the call ran
//	if c.Stored != nil { ... }         // the outcome of the first call
//	c.Hold.Close(ctx, outcome)         // or NotRun or Unknown, after the dispatch
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// MaxKeyBytes is the maximum length of an idempotency key, in bytes.
const MaxKeyBytes = 128

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StateOpen means that the call may be in progress.
	StateOpen State = "open"
	// StateDone means that the call ran and its outcome is known.
	StateDone State = "done"
	// StateNotRun means that the call did not run. A repeat may take the claim over.
	StateNotRun State = "not_run"
	// StateUnknown means that the call was dispatched and its outcome is unknown.
	StateUnknown State = "unknown"
)

// Record is the value of a claim's row in the table.
type Record struct {
	State State `json:"state"`
	// Token identifies the call of Claims.Claim that made the claim.
	Token string `json:"token"`
	// Digest identifies the content of the call that the key was first used for.
	Digest string `json:"digest"`
	// Request is the request id of the call that made the claim.
	Request string `json:"request"`
	// Until is when a claim that is still open no longer counts as in progress.
	Until time.Time `json:"until"`
	// Closed is when the claim was closed.
	Closed  time.Time `json:"closed,omitzero"`
	Outcome *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the stored answer to a call, an HTTP response.
type Outcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// TooLong reports whether the answer was too long to be stored. Header and Body
	// are then empty.
	TooLong bool `json:"too_long,omitempty"`
}

// Call identifies a keyed call.
type Call struct {
	// Caller is the name of the caller. Keys of different callers are independent.
	Caller string
	// Key is the caller's idempotency key.
	Key string
	// Digest identifies the content of the call; see the function Digest.
	Digest string
	// Request is the request id.
	Request string
}

// Digest returns the digest of a call's content. Two calls count as the same call
// if their digests are equal.
func Digest(method, path, query string, body []byte) string {
	h := sha256.New()
	for _, field := range []string{method, path, query} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey returns the table key of the claim of a caller on an idempotency key.
func rowKey(environment, caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return keyPrefix(environment) + hex.EncodeToString(sum[:])
}

// keyPrefix returns the common prefix of the table keys of an environment's claims.
func keyPrefix(environment string) string {
	return "claim/" + environment + "/"
}

// Verdict is what an existing claim on the key means for an arriving call.
type Verdict int

// The verdicts.
const (
	// VerdictTake means that the call may insert the claim or take it over.
	VerdictTake Verdict = iota
	// VerdictOwn means that this call of Claims.Claim made the claim: an earlier
	// insertion without a known result has taken effect.
	VerdictOwn
	// VerdictStored means that the first call is done and its outcome is stored.
	VerdictStored
	// VerdictInProgress means that the first call is in progress.
	VerdictInProgress
	// VerdictUnknown means that the outcome of the first call is unknown.
	VerdictUnknown
	// VerdictMismatch means that the key was first used for a different call.
	VerdictMismatch
)

// Decide returns the verdict, at the time now, on the claim that was found for a
// call whose content has the given digest. token is the token of the call of
// Claims.Claim. A nil record stands for a missing row.
func Decide(found *Record, digest, token string, now time.Time) Verdict {
	switch {
	case found == nil:
		return VerdictTake
	case found.Token == token:
		return VerdictOwn
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

// Expired reports whether a claim may be deleted at the time now: its outcome is
// known and it was closed more than keep ago.
func Expired(r Record, keep time.Duration, now time.Time) bool {
	final := r.State == StateDone || r.State == StateNotRun
	return final && now.Sub(r.Closed) > keep
}

// verdictError returns the error for a call that a verdict refuses, or nil if the
// verdict does not refuse the call.
func verdictError(v Verdict, found *Record) error {
	switch v {
	case VerdictInProgress:
		return code.Errorf(code.ClaimInProgress, "request %s with this key is in progress", found.Request)
	case VerdictUnknown:
		return code.Errorf(code.ClaimUnknown, "the outcome of request %s with this key is unknown", found.Request)
	case VerdictMismatch:
		return code.Errorf(code.ClaimMismatch, "the key was used for a different call in request %s", found.Request)
	}
	return nil
}
