package front

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/conns"
)

const (
	// maxFramingBytes is how many bytes of a connection may be read for a buffered body beyond twice the
	// size of the body. Chunks of one byte each take six.
	maxFramingBytes = 64 << 10
	// firstPartBytes is the size of the first part of a buffered body, maxPartBytes of the largest ones.
	firstPartBytes = 512
	maxPartBytes   = 32 << 10
)

// errBuffersFull means that the responses that are buffered at a time exceed maxBufferedTotal,
// errSmallChunks that a body has more framing than maxFramingBytes allows.
var (
	errBuffersFull = errors.New("the buffered responses are over the limit")
	errSmallChunks = errors.New("the chunks of the response are too small")
)

// largeParts holds unused parts of maxPartBytes. Without it, the parts of many rejected bodies would be garbage at
// the same time.
var largeParts = sync.Pool{New: func() any { return new([maxPartBytes]byte) }}

// bufferedResponse is a response whose body is read to its end before it is forwarded. Its memory is counted
// until free is called.
type bufferedResponse struct {
	front  *Front
	status int
	header http.Header
	// parts is the body. All parts but the last are full.
	parts [][]byte
	// size is the number of bytes of the body, held the capacity of all parts, which is charged.
	size, held int64
}

// read reads the body from a connection. Unless the error is nil, the body is incomplete.
func (b *bufferedResponse) read(body io.Reader, conn *conns.Conn) error {
	before := conn.BytesRead()
	for {
		if err := b.grow(); err != nil {
			return err
		}
		last := &b.parts[len(b.parts)-1]
		n, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.size += int64(n)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case b.size > maxBuffered:
			return conns.ErrBodyTooLarge
		case conn.BytesRead()-before > maxFramingBytes+2*b.size:
			return errSmallChunks
		}
	}
}

// grow makes room for at least one byte of the body.
func (b *bufferedResponse) grow() error {
	size := firstPartBytes
	if n := len(b.parts); n > 0 {
		last := b.parts[n-1]
		if len(last) < cap(last) {
			return nil
		}
		size = min(8*cap(last), maxPartBytes)
	}
	b.held += int64(size)
	b.front.deps.Guard.Charge(budget.Responses, int64(size))
	if b.front.buffered.Add(int64(size)) > maxBufferedTotal {
		return errBuffersFull
	}
	var part []byte
	if size == maxPartBytes {
		part = largeParts.Get().(*[maxPartBytes]byte)[:0]
	} else {
		part = make([]byte, 0, size)
	}
	b.parts = append(b.parts, part)
	return nil
}

// free drops the body. A nil bufferedResponse has none.
func (b *bufferedResponse) free() {
	if b == nil {
		return
	}
	for _, part := range b.parts {
		if cap(part) == maxPartBytes {
			largeParts.Put((*[maxPartBytes]byte)(part[:maxPartBytes]))
		}
	}
	b.front.buffered.Add(-b.held)
	b.front.deps.Guard.Release(budget.Responses, b.held)
	b.parts, b.size, b.held = nil, 0, 0
}
