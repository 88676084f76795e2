package conns

import (
	"errors"
	"io"
	"os"
)

// trackingReader reads from a connection and records the first error, except timeouts.
type trackingReader struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (r *trackingReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if err != nil && r.err == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}
	return n, err
}
