package abort_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/abort"
)

// startServer starts a server whose response to /part is aborted after its first bytes, and
// before them otherwise.
func startServer(t *testing.T, secure bool) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/part" {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		abort.Response(w, r)
	}))
	if secure {
		s.EnableHTTP2 = true
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return s
}

func TestAbortedHTTP10ResponseEndsWithError(t *testing.T) {
	for _, secure := range []bool{false, true} {
		for _, path := range []string{"/part", "/"} {
			s := startServer(t, secure)
			c, err := net.Dial("tcp4", s.Listener.Addr().String())
			require.NoError(t, err)
			if secure {
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			_, err = fmt.Fprintf(c, "GET %s HTTP/1.0\r\n\r\n", path)
			require.NoError(t, err)
			received, err := io.ReadAll(c)
			require.ErrorIs(t, err, syscall.ECONNRESET, "%s", received)
			require.Equal(t, path == "/part", len(received) > 0)
			_ = c.Close() // fails: the connection was reset
		}
	}
}

func TestAbortedResponseIsIncomplete(t *testing.T) {
	for _, version := range []int{1, 2} {
		s := startServer(t, version == 2)
		response, err := s.Client().Get(s.URL + "/part")
		require.NoError(t, err)
		require.Equal(t, version, response.ProtoMajor)
		body, err := io.ReadAll(response.Body)
		require.Error(t, err)
		require.Equal(t, "part", string(body))
		require.NoError(t, response.Body.Close())
	}
}
