package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// startBroken starts a server that breaks off the response to its first request.
func startBroken(t *testing.T, b broken.Response, contentType string) string {
	t.Helper()
	s := broken.Server{Response: b, Requests: &atomic.Int64{}}
	s.Header = func(*http.Request) http.Header { return http.Header{"Content-Type": {contentType}} }
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go s.Serve(l)
	return l.Addr().String()
}

// openRaw sends a call with a body of the given size in the given version of HTTP and reads the head of the response.
func (g *testGate) openRaw(t *testing.T, protocol, call string, size int) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(g.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(c, "%s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", call, protocol, appKey, size, strings.Repeat("x", size))
	require.NoError(t, err)
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// receivesComplete sends a call as openRaw does and reports whether the response
// has status 200 and is complete by its framing.
func (g *testGate) receivesComplete(t *testing.T, protocol, call string, size int) bool {
	t.Helper()
	response, err := g.openRaw(t, protocol, call, size)
	if err != nil {
		return false
	}
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	return err == nil && response.StatusCode == http.StatusOK
}

// TestBrokenServiceResponseLooksBroken breaks off responses of plain services of each framing
// at each point. A response that ends with its connection is complete if the service closes
// the connection and, in a stream of events, the last event is complete.
func TestBrokenServiceResponseLooksBroken(t *testing.T) {
	const events = "data: a\n\ndata: b\n\n"
	calls := map[string]string{"repeatable": "GET /services/app/schedule/x", "keyed": "POST /services/app/bookings"}
	for _, contentType := range []string{"text/plain", "text/event-stream; charset=utf-8"} {
		for _, b := range broken.Responses(events, 0, 5, 8, 9, len(events)-1) {
			for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for name, call := range calls {
					t.Run(fmt.Sprintf("%s/%s/%s/%s", name, contentType, b, protocol), func(t *testing.T) {
						t.Parallel()
						c := testConfig{doc: testDocument(), services: []string{startBroken(t, b, contentType)}}
						if b.Ending == broken.Silent {
							c.serviceTimeout = 200 * time.Millisecond
						}
						complete := b.LooksComplete(contentType != "text/plain")
						require.Equal(t, complete, startGate(t, c).receivesComplete(t, protocol, call, 0))
					})
				}
			}
		}
	}
}

// TestResponseOfEndedDaemonIsNotComplete guards against a response of a plain service that looks
// complete because the daemon ended, which closes its connections.
func TestResponseOfEndedDaemonIsNotComplete(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		s := broken.Response{Framing: conns.UntilClose, Body: "body", Sent: 2, Ending: broken.Silent}
		g := startGate(t, testConfig{doc: testDocument(), services: []string{startBroken(t, s, "text/plain")}})
		response, err := g.openRaw(t, protocol, "GET /services/app/schedule/x", 0)
		require.NoError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, s.Sent))
		require.NoError(t, err)
		g.server.CloseClientConnections()
		_, err = io.ReadAll(response.Body)
		require.Error(t, err, protocol)
		_ = response.Body.Close()
	}
}
