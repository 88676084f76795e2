// Package random creates random number generators that are safe for concurrent use.
//
// # Usage
//
//	r := random.New()
//	pause := random.Jitter(r, period)
//	r = random.Seeded(seed, "batch") // the same sequence for the same seed and name
package random

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// New returns a generator with a different sequence in each process. It is safe for
// concurrent use.
func New() *rand.Rand {
	return rand.New(globalSource{})
}

// Seeded returns a generator whose sequence is determined by seed and name. It is safe for
// concurrent use.
func Seeded(seed uint64, name string) *rand.Rand {
	return rand.New(&lockedSource{source: rand.NewPCG(seed, xxhash.Sum64String(name))})
}

// Jitter returns a random duration of at least d/2 and less than 3d/2. It panics if d is not
// positive.
func Jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d)))
}

// globalSource is the global source of math/rand/v2.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// lockedSource is a source that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 implements rand.Source.
func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64()
}
