// Package route chooses the backend server for a call.
package route

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// Request is what the choice of an engine depends on.
type Request struct {
	// Model and Adapter name what is asked for; Adapter may be empty.
	Model   string
	Adapter string
	// Version is the declared version. Another resident version is used
	// only while no engine holds this one.
	Version string
	// Pinned allows no other version: the answer continues one begun.
	Pinned bool
	// Rank is the rank of the priority; 0 is the most urgent.
	Rank int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Prefixes is the chain of prompt block hashes, the shortest prefix first.
	Prefixes []uint64
	// Expected is the time by which the first token is expected.
	Expected time.Time
	// Exclude lists VMs that failed this call already.
	Exclude []string
}

// Safe tells whether an estimate of the first token leaves enough time to the
// expectation, since estimates err.
func (r *Request) Safe(estimate time.Duration, now time.Time) bool {
	return r.Expected.IsZero() || estimate < r.Expected.Sub(now)/safeShare
}

// Choice is a chosen backend server.
type Choice struct {
	VM         string
	Address    string
	DataCentre string
	// Slot is what the engine holds, with the version that will answer.
	Slot envdoc.Slot
	// Estimate is the expected time to the first token.
	Estimate time.Duration
	// CachedTokens is the part of the prompt expected in the cache.
	CachedTokens int
}
