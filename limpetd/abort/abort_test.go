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

// startServer starts a server. It aborts the response to /part after the first bytes, closes
// all connections at this point of the response to /closed, completes the response to /whole,
// and aborts other responses before they begin.
func startServer(t *testing.T, secure bool) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		abort.Begin(r)
		if r.URL.Path == "/" {
			abort.Response(r)
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		switch r.URL.Path {
		case "/part":
			abort.Response(r)
		case "/closed":
			// As at the end of a process, the TCP connection is closed without TLS.
			_ = abort.ConnOf(r).Close()
		default:
			_, _ = io.WriteString(w, " whole")
			abort.Complete(w, r)
		}
	}))
	s.Config.ConnContext = abort.ConnContext
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
		for _, path := range []string{"/part", "/closed", "/"} {
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
			require.Equal(t, path != "/", len(received) > 0)
			_ = c.Close() // fails: the connection was reset
		}
	}
}

func TestCompletedHTTP10ResponseEndsProperly(t *testing.T) {
	for _, secure := range []bool{false, true} {
		s := startServer(t, secure)
		c, err := net.Dial("tcp4", s.Listener.Addr().String())
		require.NoError(t, err)
		if secure {
			c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
		}
		_, err = fmt.Fprintf(c, "GET /whole HTTP/1.0\r\n\r\n")
		require.NoError(t, err)
		received, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(received), "part whole")
		require.NoError(t, c.Close())
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
