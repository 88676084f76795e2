package guard

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/code"
)

const (
	// firstBuffer is the size of the first buffer of a body. Most bodies of callers are shorter.
	firstBuffer = 4 << 10
	// quickGrowth is the size up to which a buffer grows to four times its size, so that ordinary bodies are
	// copied once. Larger ones double.
	quickGrowth = 64 << 10
	// framingSlack is how many bytes of a connection beyond those of the body are not charged: what the server has
	// read ahead, and the framing of ordinary chunks.
	framingSlack = 4 << 10
	// endDelay is how long a client may go on sending a body that is not read.
	endDelay = 500 * time.Millisecond
)

// reader reads one body.
type reader struct {
	guard  *Guard
	writer http.ResponseWriter
	id     budget.ID
	// reason is why the body was ended for others; none if it was not.
	reason atomic.Int32
	buffer []byte
	conn   *conn
	// factor is what a byte of the body is charged with.
	factor int64
	// attached is what becomes free when the call ends.
	attached int64
	// from is how many bytes of the connection had been read before, framing how many were charged that are not
	// part of the body.
	from, framing int64
}

// end implements part: the read that is blocked fails.
func (b *reader) end(r reason) {
	b.reason.Store(int32(r))
	// Without deadlines, as in tests, the body ends at its next part.
	_ = http.NewResponseController(b.writer).SetReadDeadline(time.Unix(1, 0))
}

// BodyOption configures how a body is read.
type BodyOption func(*reader)

// WithFactor sets what a byte of the body is charged with, for a body whose processing takes a multiple of its size. What
// is incomplete can be dropped, so that complete bodies don't wait for each other.
func WithFactor(n int64) BodyOption {
	return func(b *reader) { b.factor = n }
}

// ReadBody reads the body of a request, of at most limit bytes, within the memory of the process. The capacity of
// the result, times the factor, is charged as a body of a waiting call: the caller releases it. An error has the code BodyTooLarge,
// MemoryShort, SlowCaller or CallerGone, and the connection is then closed after the response.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, opts ...BodyOption) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		closeAfter(w)
		return nil, tooLarge(limit)
	}
	b := &reader{guard: g, writer: w, factor: 1}
	for _, o := range opts {
		o(b)
	}
	if b.conn, _ = r.Context().Value(contextKey{}).(*conn); b.conn != nil {
		b.from = b.conn.bytes.Load()
		b.conn.beginBody(r.ContentLength)
	}
	g.mu.Lock()
	b.id = g.begin(b, budget.Reading, r.ContentLength >= 0, time.Now())
	if b.conn != nil {
		b.attached = b.conn.headerBytes + budget.CallBytes
		g.account.Attach(b.id, b.attached)
	}
	g.mu.Unlock()
	err := b.readAll(r.Body, r.ContentLength, limit)
	// Trailers are parsed, too. Nothing uses them.
	r.Trailer = nil
	b.conn.closeIfReadAhead(w)
	g.mu.Lock()
	kept := g.finish(b.id)
	if kept && err == nil {
		g.account.Charge(budget.Waiting, b.factor*int64(cap(b.buffer)))
	}
	g.mu.Unlock()
	if kept && err == nil {
		return b.buffer, nil
	}
	closeAfter(w)
	return nil, b.describe(err, limit)
}

// errNoMemory means that the body may hold no more memory.
var errNoMemory = errors.New("the body has no more memory")

// errTooLarge means that the body is longer than its limit.
var errTooLarge = errors.New("the body is longer than the limit")

// readAll reads the body. size is the announced size, negative if there is none.
func (b *reader) readAll(body io.Reader, size, limit int64) error {
	most := limit + 1
	if size >= 0 {
		most = size
	}
	for {
		if len(b.buffer) == cap(b.buffer) && int64(len(b.buffer)) < most {
			if !b.grow(most) {
				return errNoMemory
			}
		}
		free := b.buffer[len(b.buffer):cap(b.buffer)]
		if len(free) == 0 {
			// All of an announced body has arrived.
			return nil
		}
		n, err := body.Read(free)
		b.buffer = b.buffer[:len(b.buffer)+n]
		if int64(len(b.buffer)) > limit {
			return errTooLarge
		}
		if n > 0 && !b.record(int64(n)) {
			return errNoMemory
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow replaces the buffer by a larger one, of at most the given size.
func (b *reader) grow(most int64) bool {
	old := int64(cap(b.buffer))
	size := int64(firstBuffer)
	switch {
	case old >= quickGrowth:
		size = 2 * old
	case old > 0:
		size = 4 * old
	}
	size = min(size, most)
	// Both buffers are held while the bytes are copied. A factor covers that.
	more, free := size, old
	if b.factor > 1 {
		more, free = b.factor*(size-old), 0
	}
	if !b.guard.ask(b.id, more) {
		return false
	}
	buffer := make([]byte, len(b.buffer), size)
	copy(buffer, b.buffer)
	b.buffer = buffer
	if free > 0 {
		b.guard.mu.Lock()
		b.guard.account.Free(b.id, free)
		b.guard.mu.Unlock()
	}
	return true
}

// record records that n bytes have arrived, and charges the framing of tiny chunks.
func (b *reader) record(n int64) bool {
	b.guard.mu.Lock()
	b.guard.account.Arrive(b.id, n)
	b.guard.mu.Unlock()
	if b.conn == nil {
		return true
	}
	over := b.conn.bytes.Load() - b.from - int64(len(b.buffer)) - b.framing
	if over <= framingSlack {
		return true
	}
	b.framing += over
	return b.guard.ask(b.id, over)
}

// describe returns the error of a body that was not read to its end.
func (b *reader) describe(err error, limit int64) error {
	g := b.guard
	switch {
	case errors.Is(err, errTooLarge):
		return tooLarge(limit)
	case reason(b.reason.Load()) == slowBody:
		return code.Errorf(code.SlowCaller, "the body arrives at less than the minimum of %d bytes per second", g.config.MinBodyRate)
	case reason(b.reason.Load()) == shortMemory, errors.Is(err, errNoMemory), err == nil:
		return g.memoryShort()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return code.Errorf(code.SlowCaller, "the body was not received in time: %w", os.ErrDeadlineExceeded)
	}
	return code.WithRun(code.Errorf(code.CallerGone, "reading the request body: %w", err), code.RunNo)
}

// Reserve charges n bytes more for a request that was received. It waits while memory is short. An error has the code
// MemoryShort, and the connection is then closed after the response.
func (g *Guard) Reserve(w http.ResponseWriter, k budget.Kind, n int64) error {
	if !g.reserve(w, k, n, maxWait) {
		closeAfter(w)
		return g.memoryShort()
	}
	return nil
}

// reserve charges n bytes if they are free within a time, and reports whether they were.
func (g *Guard) reserve(w http.ResponseWriter, k budget.Kind, n int64, wait time.Duration) bool {
	b := &reader{guard: g, writer: w}
	g.mu.Lock()
	b.id = g.begin(b, k, true, time.Now())
	g.mu.Unlock()
	ok := g.askWithin(b.id, n, wait)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.finish(b.id) || !ok {
		return false
	}
	g.account.Charge(k, n)
	return true
}

// memoryShort returns the error for a call for which there is no memory.
func (g *Guard) memoryShort() error {
	g.metrics.refused.Inc(1)
	return code.Errorf(code.MemoryShort, "calls take the memory of %d bytes that memory_mb %d allows", g.account.Limit(), g.config.MemoryMB)
}

// tooLarge returns the error for a body of more than limit bytes.
func tooLarge(limit int64) error {
	return code.Errorf(code.BodyTooLarge, "the body exceeds the limit of %d bytes", limit)
}

// closeAfter makes the server close the connection after the response, without waiting for the rest of the body.
func closeAfter(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// A body over the limit of a MaxBytesReader makes the server read on for a moment before it closes the connection:
	// the response could be lost to a reset otherwise.
	var b [2]byte
	_, _ = http.MaxBytesReader(w, io.NopCloser(bytes.NewReader(b[:])), 1).Read(b[:])
	EndBody(w)
}

// EndBody limits the time in which a server discards a body that its handler does not read. Handlers call it before a
// response to such a request.
func EndBody(w http.ResponseWriter) {
	// Without deadlines, as in tests, there is no connection that could be held.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(endDelay))
}
