package conns

import (
	"errors"
	"io"
	"os"
)

// trackingReader reads from a connection and returns its first error, except timeouts, again
// from each later read. The operating system reports a reset only once; the next read of the
// socket returns the end of the stream.
type trackingReader struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (r *trackingReader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}
	return n, err
}
