package conns

import (
	"errors"
	"io"
)

// ErrBodyTooLarge means that the body of a response is larger than the limit of its reader.
var ErrBodyTooLarge = errors.New("response body over the limit")

// ReadBody reads a body to its end. If the body has more than limit bytes, ReadBody returns the
// first limit bytes and ErrBodyTooLarge.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(read)) > limit {
		return read[:limit], ErrBodyTooLarge
	}
	return read, err
}
