package conns

import (
	"errors"
	"io"
	"net/http"

	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// ErrBodyTooLarge means that the body of a response is larger than the limit of its reader.
var ErrBodyTooLarge = errors.New("response body over the limit")

// BodyReader returns a reader of the body of a response. If the body is a stream of events that
// only the end of its connection ends, the reader checks that it is complete. Any other stream
// ends as its framing says, and a compressed one can't be checked.
func BodyReader(r *http.Response) io.Reader {
	if FramingOf(r) != UntilClose || !wire.IsEventStream(r.Header.Get("Content-Type")) || r.Header.Get("Content-Encoding") != "" {
		return r.Body
	}
	return wire.NewEventReader(r.Body)
}

// ReadBody reads a body to its end. If the body has more than limit bytes, ReadBody returns the
// first limit bytes and ErrBodyTooLarge.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(read)) > limit {
		return read[:limit], ErrBodyTooLarge
	}
	return read, err
}
