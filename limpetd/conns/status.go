package conns

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidStatus means that the status of a response is none with which a response may end. By RFC 9110, a status
// outside 100 to 599 is invalid, and one below 200 is interim.
var ErrInvalidStatus = errors.New("invalid status of a response")

// ValidStatus reports whether a response may end with a status.
func ValidStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// CheckStatus returns ErrInvalidStatus if a response may not end with its status. The response is then broken, and its
// headers are not believed.
func CheckStatus(r *http.Response) error {
	if ValidStatus(r.StatusCode) {
		return nil
	}
	return fmt.Errorf("%w: %s %q", ErrInvalidStatus, r.Proto, r.Status)
}

// isInterim reports whether another response to the same request follows. None follows a 101, which ends HTTP on the
// connection, and HTTP/1.0 has no interim responses.
func isInterim(r *http.Response) bool {
	return r.StatusCode >= http.StatusContinue && r.StatusCode < http.StatusOK &&
		r.StatusCode != http.StatusSwitchingProtocols && r.ProtoAtLeast(1, 1)
}
