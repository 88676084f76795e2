package telem

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/life"
)

const (
	// lineBytes bounds the lines that wait to be written, and so the memory.
	lineBytes = 256 << 10
	// linesPerPeriod bounds the lines taken in a period: at 600 a second logging
	// takes about a hundredth of a core.
	linesPerPeriod = 60
	// linePeriod is the time between writes.
	linePeriod = 100 * time.Millisecond
	// lineBurst is how many periods' lines may come at once.
	lineBurst = 10
)

// Lines is a writer of log lines that never blocks its callers: lines wait in a bounded
// buffer, and those beyond the bound or the rate are dropped and counted.
type Lines struct {
	tomb *tomb.Tomb
	w    io.Writer

	mu      sync.Mutex
	buffer  bytes.Buffer
	left    int
	dropped int
	wake    chan struct{}
}

// NewLines returns a writer to w. When ctx ends it writes what waits and stops.
func NewLines(ctx context.Context, w io.Writer) *Lines {
	t, ctx := life.WithContext(ctx)
	l := &Lines{tomb: t, w: w, left: linesPerPeriod * lineBurst, wake: make(chan struct{}, 1)}
	t.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				l.flush()
				return nil
			case <-l.wake:
			}
			life.Sleep(ctx, linePeriod)
			l.flush()
		}
	})
	return l
}

// Wait returns when all lines are written; nil if the context ended the writer.
func (l *Lines) Wait() error {
	if err := l.tomb.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Write implements io.Writer for one line. It always takes the line.
func (l *Lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left <= 0 || l.buffer.Len()+len(line) > lineBytes {
		l.dropped++
		return len(line), nil
	}
	l.left--
	// A buffer takes every write, so there is no error.
	_, _ = l.buffer.Write(line)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// flush writes what waits.
func (l *Lines) flush() {
	l.mu.Lock()
	l.left = min(l.left+linesPerPeriod, linesPerPeriod*lineBurst)
	if l.dropped > 0 {
		fmt.Fprintf(&l.buffer, "event=lines_dropped count=%d\n", l.dropped)
		l.dropped = 0
	}
	raw := bytes.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	l.mu.Unlock()
	// There is no other place to report a failure to log.
	_, _ = l.w.Write(raw)
}
