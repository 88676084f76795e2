package batch

import (
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// jobRun is a job that this daemon runs under a lease.
type jobRun struct {
	// initial is the job as stored when this daemon took the lease. It does not
	// change afterwards, so the workers read it without a lock.
	initial Job
	// current is the job as written last, version the version of its row. Only the
	// goroutine that renews the lease uses these two fields; after that goroutine
	// has ended, only the goroutine that ends or hands over the job.
	current Job
	version int64
	items   []Item
	// savedKey is the key of the object with the lines saved last, savedLines the
	// number of its lines. writtenKeys are the keys of all objects that this run
	// wrote.
	savedLines  int
	savedKey    string
	writtenKeys []string

	mu sync.Mutex
	// lines holds the lines by the index of their items; mu guards it.
	lines map[int]ItemResult
}

// newJobRun returns a run of job j, whose row has the given version. initial is set
// only when the lease is taken.
func newJobRun(j Job, version int64) *jobRun {
	return &jobRun{current: j, version: version, lines: make(map[int]ItemResult)}
}

// addLine records the line of an item.
func (r *jobRun) addLine(l ItemResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[l.Index] = l
}

// unanswered returns the indexes of the items that have no line yet, in order.
func (r *jobRun) unanswered() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var indexes []int
	for i := range r.items {
		if _, ok := r.lines[i]; !ok {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// complete reports whether each item has a line.
func (r *jobRun) complete() bool {
	return len(r.unanswered()) == 0
}

// countFailed returns the number of items whose line holds an error.
func (r *jobRun) countFailed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.lines {
		if l.Error != nil {
			n++
		}
	}
	return n
}

// sortedLines returns the lines in the order of their items.
func (r *jobRun) sortedLines() []ItemResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := make([]ItemResult, 0, len(r.lines))
	for i := range r.items {
		if l, ok := r.lines[i]; ok {
			lines = append(lines, l)
		}
	}
	return lines
}

// loadInput reads the items of the job and the lines that an earlier lease holder
// saved.
func (d *Manager) loadInput(ctx context.Context, r *jobRun) error {
	body, err := d.deps.Objects.Get(ctx, r.initial.InputKey)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, &r.items); err != nil {
		return code.Errorf(code.StoreCorrupt, "decode object %s: %w", r.initial.InputKey, err)
	}
	if r.initial.SavedKey == "" {
		return nil
	}
	lines, err := d.readLines(ctx, r.initial.SavedKey)
	if err != nil {
		// Without the saved lines, their answers are generated again.
		d.deps.Log.Info("batch_saved_unread", zap.String("batch", r.initial.ID), zap.Error(err))
		return nil
	}
	for _, l := range lines {
		r.addLine(l)
	}
	r.savedLines = len(lines)
	r.savedKey = r.initial.SavedKey
	return nil
}

// writeLines writes the lines so far to a new object and returns its key. If an error
// is returned, the key is empty.
func (d *Manager) writeLines(ctx context.Context, r *jobRun, kind string) (string, error) {
	body, err := json.Marshal(r.sortedLines())
	if err != nil {
		return "", code.Errorf(code.Internal, "encode the result lines: %w", err)
	}
	key := d.newObjectKey(kind, r.initial.ID)
	if err := d.deps.Objects.Put(ctx, key, body); err != nil {
		return "", err
	}
	r.writtenKeys = append(r.writtenKeys, key)
	return key, nil
}

// saveLines writes the lines so far to an object from which a later lease holder
// continues, and returns its key. It returns the key of the last save if there are no
// new lines, and the key in the job's row if the object store fails.
func (d *Manager) saveLines(ctx context.Context, r *jobRun) string {
	count := len(r.items) - len(r.unanswered())
	if count == r.savedLines {
		return r.savedKey
	}
	key, err := d.writeLines(ctx, r, "saved")
	if err != nil {
		return r.current.SavedKey
	}
	r.savedLines = count
	r.savedKey = key
	return key
}
