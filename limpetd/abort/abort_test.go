package abort_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/abort"
)

// startServer starts a server. It aborts the response to /part after the first bytes, panics at this
// point of the response to /panic, returns there in the response to /returned, closes all connections there in the response to /closed, completes the response to /whole,
// and aborts other responses before they begin. After the first bytes of a response it waits
// for a value from the returned channel.
func startServer(t *testing.T, secure bool) (*httptest.Server, chan<- struct{}) {
	t.Helper()
	received := make(chan struct{}, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer abort.End(r)
		abort.Begin(r)
		if r.URL.Path == "/" {
			abort.Response(r)
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-received
		switch r.URL.Path {
		case "/part":
			abort.Response(r)
		case "/panic":
			panic("broken")
		case "/returned":
			return
		case "/closed":
			// As at the end of a process, the TCP connection is closed without TLS.
			_ = abort.ConnOf(r).Close()
		default:
			_, _ = io.WriteString(w, " whole")
			abort.Complete(w, r)
		}
	}))
	s.Config.ConnContext = abort.ConnContext
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	if secure {
		s.EnableHTTP2 = true
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return s, received
}

// getHTTP10 requests a path in HTTP/1.0. It returns what was received, and the error that ended it.
func getHTTP10(t *testing.T, secure bool, path string) (string, error) {
	t.Helper()
	s, received := startServer(t, secure)
	c, err := net.Dial("tcp4", s.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }() // fails if the connection was reset
	if secure {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
	}
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.0\r\n\r\n", path)
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	var text strings.Builder
	for path != "/" && !strings.HasSuffix(text.String(), "part") {
		b, err := reader.ReadByte()
		require.NoError(t, err)
		text.WriteByte(b)
	}
	received <- struct{}{}
	rest, err := io.ReadAll(reader)
	return text.String() + string(rest), err
}

func TestAbortedHTTP10ResponseEndsWithError(t *testing.T) {
	for _, secure := range []bool{false, true} {
		for _, path := range []string{"/part", "/panic", "/returned", "/closed", "/"} {
			_, err := getHTTP10(t, secure, path)
			require.ErrorIs(t, err, syscall.ECONNRESET, "%s %v", path, secure)
		}
	}
}

func TestCompletedHTTP10ResponseEndsProperly(t *testing.T) {
	for _, secure := range []bool{false, true} {
		text, err := getHTTP10(t, secure, "/whole")
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(text, "part whole"), text)
	}
}

func TestAbortedResponseIsIncomplete(t *testing.T) {
	for _, version := range []int{1, 2} {
		for _, path := range []string{"/part", "/panic"} {
			s, received := startServer(t, version == 2)
			response, err := s.Client().Get(s.URL + path)
			require.NoError(t, err)
			require.Equal(t, version, response.ProtoMajor)
			received <- struct{}{}
			body, err := io.ReadAll(response.Body)
			require.Error(t, err, "%d %s", version, path)
			require.Equal(t, "part", string(body))
			require.NoError(t, response.Body.Close())
		}
	}
}
