package matrix

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxLag is the longest time on the way of a message.
const maxLag = time.Millisecond

// trace is what happened in a cell: the steps of daemons, what reached the
// stand-ins and what the callers were told, each with its fake time.
type trace struct {
	begin time.Time

	mu    sync.Mutex
	lines []string
}

// newTrace returns an empty trace that begins now.
func newTrace() *trace {
	return &trace{begin: time.Now()}
}

// lag waits for a time up to maxLag that follows from the seed and the names of a
// message. Without it messages would arrive in the same moment of fake time, and
// the order of goroutines, which no seed fixes, would decide what comes first.
func (r *rig) lag(names ...any) {
	h := xxhash.Sum64String(fmt.Sprint(append(names, r.seed)...))
	time.Sleep(1 + time.Duration(h%uint64(maxLag)))
}

// apart lets the next part of the rig start at a moment of its own, so that
// its periods never end together with those of another.
func apart() { time.Sleep(time.Nanosecond) }

// note adds a line.
func (t *trace) note(format string, args ...any) {
	line := fmt.Sprintf("%12d ", time.Since(t.begin)) + fmt.Sprintf(format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, line)
}

// sorted returns the lines in the order of their times; those of one moment in
// the order of their texts, since goroutines that wake at once run in any order.
func (t *trace) sorted() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := slices.Clone(t.lines)
	slices.Sort(lines)
	return lines
}
