package front

import (
	"errors"
	"io"

	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// maxFramingBytes is how many bytes of a connection may be read for a buffered body beyond twice the
// size of the body. Chunks of one byte each take six.
const maxFramingBytes = 64 << 10

// bufferGrowth is how many bytes a buffer that grows takes at most for each byte that it holds.
const bufferGrowth = 2

// errBuffersFull means that the responses that are buffered at a time exceed maxBufferedTotal,
// errSmallChunks that a body has more framing than maxFramingBytes allows.
var (
	errBuffersFull = errors.New("the buffered responses are over the limit")
	errSmallChunks = errors.New("the chunks of the response are too small")
)

// bufferedBody reads a body that is buffered, and counts its bytes until free is called. A buffer that
// grows takes up to twice the bytes that it holds.
type bufferedBody struct {
	front  *Front
	conn   *conns.Conn
	source io.Reader
	// bytes is the size of the part that was read, from the number of bytes that had been read
	// from the connection before.
	bytes, from int64
}

// Read implements io.Reader.
func (b *bufferedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.bytes += int64(n)
	b.front.deps.Guard.Charge(budget.Responses, bufferGrowth*int64(n))
	switch {
	case b.front.buffered.Add(int64(n)) > maxBufferedTotal:
		return n, errBuffersFull
	case b.conn.BytesRead()-b.from > maxFramingBytes+2*b.bytes:
		return n, errSmallChunks
	}
	return n, err
}

// free ends the count of the bytes.
func (b *bufferedBody) free() {
	b.front.buffered.Add(-b.bytes)
	b.front.deps.Guard.Release(budget.Responses, bufferGrowth*b.bytes)
}
