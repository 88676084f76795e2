// Package random makes sources of random numbers that goroutines may share.
//
// # Usage
//
//	r := random.New()
//	pause := period/2 + time.Duration(r.Int64N(int64(period)))
//	r = random.Seeded(seed, "batch")    // repeats its numbers
package random

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// New returns a source that is different in each process. It is safe for
// concurrent use.
func New() *rand.Rand {
	return rand.New(global{})
}

// Seeded returns a source that repeats its numbers for a seed and a name. It is
// safe for concurrent use.
func Seeded(seed uint64, name string) *rand.Rand {
	return rand.New(&locked{source: rand.NewPCG(seed, xxhash.Sum64String(name))})
}

// Around returns a time between half of d and one and a half of d. It panics if
// d is not positive.
func Around(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d)))
}

// global draws from the source of the process.
type global struct{}

// Uint64 implements rand.Source.
func (global) Uint64() uint64 { return rand.Uint64() }

// locked is a source that goroutines share.
type locked struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 implements rand.Source.
func (l *locked) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64()
}
