package conns

import (
	"errors"
	"io"
	"os"
)

// trackingReader reads from a connection and returns its first error, except timeouts, again
// from each later read. The operating system reports a reset only once; the next read of the
// socket returns the end of the stream.
//
// It also bounds the bytes of a head: http.ReadResponse reads a line, and lines, of any length.
type trackingReader struct {
	source io.Reader
	err    error
	// bounded is whether a head is being read, left how many bytes may still be read for it.
	bounded bool
	left    int
	// total is how many bytes have been read.
	total int64
}

// errHeadTooLarge means that the head of a response, with the interim responses before it, is larger
// than maxHeadBytes.
var errHeadTooLarge = errors.New("the head of the response is over the limit")

// bound begins to read a head, of which buffered bytes have been read.
func (r *trackingReader) bound(buffered int) { r.bounded, r.left = true, maxHeadBytes-buffered }

// unbound ends the reading of a head.
func (r *trackingReader) unbound() { r.bounded = false }

// Read implements io.Reader.
func (r *trackingReader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if r.bounded {
		if r.left <= 0 {
			r.err = errHeadTooLarge
			return 0, r.err
		}
		b = b[:min(len(b), r.left)]
	}
	n, err := r.source.Read(b)
	r.left -= n
	r.total += int64(n)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}
	return n, err
}
