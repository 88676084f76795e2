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
	// maxBuffered limits the size of the buffered lines in bytes, and so the memory.
	maxBuffered = 256 << 10
	// linesPerFlush is the number of lines that each flush allows: at 600 a second, logging
	// takes about a hundredth of a core.
	linesPerFlush = 60
	// flushDelay is the time from a flush request to the flush, in which lines are
	// collected.
	flushDelay = 100 * time.Millisecond
	// maxBurst limits a burst of lines to the lines of this number of flushes.
	maxBurst = 10
)

// LineWriter is a writer of log lines that never blocks its callers. It collects the lines in a
// buffer; lines over the limit of the buffer or of the rate are dropped and counted.
type LineWriter struct {
	tomb *tomb.Tomb
	w    io.Writer

	mu     sync.Mutex
	buffer bytes.Buffer
	// allowed is the number of lines that may be written before the next flush.
	allowed int
	// dropped counts the lines dropped since the last flush.
	dropped int
	// flushRequested receives a value to request a flush.
	flushRequested chan struct{}
}

// NewLineWriter returns a writer to w. When ctx ends, it writes the buffered lines to w and
// stops.
func NewLineWriter(ctx context.Context, w io.Writer) *LineWriter {
	t, ctx := life.WithContext(ctx)
	l := &LineWriter{tomb: t, w: w, allowed: linesPerFlush * maxBurst, flushRequested: make(chan struct{}, 1)}
	t.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				l.flush()
				return nil
			case <-l.flushRequested:
			}
			life.Sleep(ctx, flushDelay)
			l.flush()
		}
	})
	return l
}

// Wait returns when the writer has stopped, after the last flush. It returns nil if the
// writer stopped because its context ended.
func (l *LineWriter) Wait() error {
	if err := l.tomb.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Write implements io.Writer; line is one line. It returns no error, also if the line is
// dropped.
func (l *LineWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed <= 0 || l.buffer.Len()+len(line) > maxBuffered {
		l.dropped++
		return len(line), nil
	}
	l.allowed--
	// Writes to a bytes.Buffer return no error.
	_, _ = l.buffer.Write(line)
	select {
	case l.flushRequested <- struct{}{}:
	default:
	}
	return len(line), nil
}

// flush writes the buffered lines and, if lines were dropped, a line with their number.
func (l *LineWriter) flush() {
	l.mu.Lock()
	l.allowed = min(l.allowed+linesPerFlush, linesPerFlush*maxBurst)
	if l.dropped > 0 {
		fmt.Fprintf(&l.buffer, "event=lines_dropped count=%d\n", l.dropped)
		l.dropped = 0
	}
	raw := bytes.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	l.mu.Unlock()
	// The error is ignored because it could be reported only to the same log.
	_, _ = l.w.Write(raw)
}
