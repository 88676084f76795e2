package batch

import (
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// hold is a job that this daemon runs.
type hold struct {
	// task is the job as it was taken; the workers read it.
	task Job
	// job and version are the row as it was written last. They belong to the
	// duty that renews, and after it to the one that ends the job.
	job     Job
	version int64
	items   []Item
	// saved is the number of lines in stored, the object saved last; objects
	// are all that this hold wrote.
	saved   int
	stored  string
	objects []string

	mu    sync.Mutex
	lines map[int]Line
}

func newHold(j Job, version int64) *hold {
	return &hold{job: j, version: version, lines: make(map[int]Line)}
}

// keep keeps the line of an item.
func (h *hold) keep(l Line) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines[l.Index] = l
}

// open returns the items that have no line yet.
func (h *hold) open() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var open []int
	for i := range h.items {
		if _, ok := h.lines[i]; !ok {
			open = append(open, i)
		}
	}
	return open
}

// whole tells whether each item has a line.
func (h *hold) whole() bool {
	return len(h.open()) == 0
}

// failed counts the items that ended in an error.
func (h *hold) failed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, l := range h.lines {
		if l.Error != nil {
			n++
		}
	}
	return n
}

// sorted returns the lines in the order of the items.
func (h *hold) sorted() []Line {
	h.mu.Lock()
	defer h.mu.Unlock()
	lines := make([]Line, 0, len(h.lines))
	for i := range h.items {
		if l, ok := h.lines[i]; ok {
			lines = append(lines, l)
		}
	}
	return lines
}

// load reads the items and the answers that an earlier holder saved.
func (d *Duty) load(ctx context.Context, h *hold) error {
	body, err := d.deps.Objects.Get(ctx, h.task.Input)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, &h.items); err != nil {
		return code.Errorf(code.StoreCorrupt, "object %s: %w", h.task.Input, err)
	}
	if h.task.Saved == "" {
		return nil
	}
	lines, err := d.lines(ctx, h.task.Saved)
	if err != nil {
		// The answers are generated again.
		d.deps.Log.Info("batch_saved_unread", zap.String("batch", h.task.ID), zap.Error(err))
		return nil
	}
	for _, l := range lines {
		h.keep(l)
	}
	h.saved = len(lines)
	h.stored = h.task.Saved
	return nil
}

// put writes the lines so far to the object store and returns their key; none
// with an error.
func (d *Duty) put(ctx context.Context, h *hold, kind string) (string, error) {
	body, err := json.Marshal(h.sorted())
	if err != nil {
		return "", code.Errorf(code.Internal, "lines: %w", err)
	}
	key := d.newObject(kind, h.task.ID)
	if err := d.deps.Objects.Put(ctx, key, body); err != nil {
		return "", err
	}
	h.objects = append(h.objects, key)
	return key, nil
}

// save writes the lines so far, for a later holder, and returns their key; the
// key saved before when nothing is new, that of the row when the object store fails.
func (d *Duty) save(ctx context.Context, h *hold) string {
	count := len(h.items) - len(h.open())
	if count == h.saved {
		return h.stored
	}
	key, err := d.put(ctx, h, "saved")
	if err != nil {
		return h.job.Saved
	}
	h.saved = count
	h.stored = key
	return key
}
