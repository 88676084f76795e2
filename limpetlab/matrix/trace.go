package matrix

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxLag bounds the transit time of a message.
const maxLag = time.Millisecond

// trace records the events of a cell with their fake times: the steps of
// daemons, the messages that reached the stand-ins, and the answers to callers.
type trace struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

// newTrace returns an empty trace that starts now.
func newTrace() *trace {
	return &trace{start: time.Now()}
}

// delayMessage waits for a transit time of at most maxLag, which is determined
// by the seed and the names of a message. Without it several messages would
// arrive at the same moment of fake time, and the order in which goroutines
// run, which no seed determines, would decide which comes first.
func (r *rig) delayMessage(names ...any) {
	hash := xxhash.Sum64String(fmt.Sprint(append(names, r.seed)...))
	time.Sleep(1 + time.Duration(hash%uint64(maxLag)))
}

// staggerStart lets the next component of the rig start at a different time, so
// that its periods never end at the same moment as those of another component.
func staggerStart() { time.Sleep(time.Nanosecond) }

// addf adds a line.
func (t *trace) addf(format string, args ...any) {
	line := fmt.Sprintf("%12d ", time.Since(t.start)) + fmt.Sprintf(format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, line)
}

// sortedLines returns the lines sorted by time. Lines of the same moment are
// sorted by their text, since goroutines that wake at the same moment run in
// any order.
func (t *trace) sortedLines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := slices.Clone(t.lines)
	slices.Sort(lines)
	return lines
}
