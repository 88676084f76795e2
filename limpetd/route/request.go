// Package route chooses the backend server for a request.
package route

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// Request holds the properties of a request that the choice of an engine depends on.
type Request struct {
	// Model and Adapter identify what the request needs; Adapter may be empty.
	Model   string
	Adapter string
	// Version is the declared version. Another loaded version is used only while no engine
	// holds this one.
	Version string
	// VersionPinned is whether only Version may answer, because the response continues one that
	// was begun.
	VersionPinned bool
	// Rank is the rank of the request's priority; 0 is the most urgent.
	Rank int
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Prefixes is the hash chain of the prompt's blocks, the shortest prefix first.
	Prefixes []uint64
	// ExpectedBy is the time by which the first token is expected; zero if there is none.
	ExpectedBy time.Time
	// Exclude lists the VMs on which the request has failed.
	Exclude []string
}

// LeavesMargin reports whether an estimate of the time to the first token is less than the
// time from now to ExpectedBy divided by safeDivisor. The margin allows for estimates that
// are wrong. Without ExpectedBy, every estimate is safe.
func (r *Request) LeavesMargin(estimate time.Duration, now time.Time) bool {
	return r.ExpectedBy.IsZero() || estimate < r.ExpectedBy.Sub(now)/safeDivisor
}

// Choice describes the chosen backend server.
type Choice struct {
	VM         string
	Address    string
	DataCentre string
	// Slot is the slot that the engine holds, with the version that will answer.
	Slot envdoc.Slot
	// Estimate is the expected time to the first token.
	Estimate time.Duration
	// CachedTokens is the number of prompt tokens expected in the engine's cache.
	CachedTokens int
}
