package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endings are the heads and parts of responses that only the end of their connections ends.
var endings = map[string]string{
	"part":   "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart",
	"events": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n",
}

// startEnding starts a service that answers each call with a part of a response, and then ends its connection.
func startEnding(t *testing.T, part string, end func(l net.Listener, c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, part)
					end(l, c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// forEachEnding runs a test for each part, version of HTTP and kind of call.
func forEachEnding(t *testing.T, run func(t *testing.T, part, protocol, call string)) {
	t.Helper()
	for name, part := range endings {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for kind, call := range map[string]string{"repeatable": "GET /services/app/schedule/x", "keyed": "POST /services/app/bookings"} {
				t.Run(name+"/"+protocol+"/"+kind, func(t *testing.T) { run(t, part, protocol, call) })
			}
		}
	}
}

// TestResponseOfEndedServiceIsNotComplete guards against a response that looks complete because the process of the service
// was killed, which closes its connections properly, and against keeping it for repeats of the call.
func TestResponseOfEndedServiceIsNotComplete(t *testing.T) {
	forEachEnding(t, func(t *testing.T, part, protocol, call string) {
		address := startEnding(t, part, func(l net.Listener, _ *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(10 * time.Millisecond)
			_ = l.Close()
		})
		g := startGate(t, testConfig{doc: testDocument(), services: []string{address}})
		for range 2 {
			require.False(t, g.receivesComplete(t, protocol, call, 0))
		}
	})
}

// TestResetBesideUploadLooksBroken guards against a response that looks complete because the call was still being written
// when the service reset the connection.
func TestResetBesideUploadLooksBroken(t *testing.T) {
	const runs = 10
	for _, size := range []int{900 << 10, 3 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			forEachEnding(t, func(t *testing.T, part, protocol, call string) {
				t.Parallel()
				var answered atomic.Int64
				address := startEnding(t, part, func(_ net.Listener, c *net.TCPConn, _ *http.Request) {
					time.Sleep(time.Duration(answered.Add(1)%runs) * 4 * time.Millisecond)
					_ = c.SetLinger(0)
				})
				complete := 0
				for range runs {
					g := startGate(t, testConfig{doc: testDocument(), services: []string{address}, config: Config{MaxBodyBytes: int64(size)}})
					if g.receivesComplete(t, protocol, call, size) {
						complete++
					}
				}
				require.Zero(t, complete, "of %d", runs)
				require.GreaterOrEqual(t, answered.Load(), int64(runs))
			})
		})
	}
}

// TestEarlyAnswerToUploadIsWhole guards against a whole answer that becomes a 502 because the service reset or closed the
// connection before it had read the call.
func TestEarlyAnswerToUploadIsWhole(t *testing.T) {
	const size = 3 << 20
	for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
		for _, resets := range []bool{true, false} {
			for _, pause := range []time.Duration{0, 4 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d/%v/%s", status, resets, pause), func(t *testing.T) {
					t.Parallel()
					part := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 4\r\n\r\nbody", status)
					address := startEnding(t, part, func(_ net.Listener, c *net.TCPConn, _ *http.Request) {
						time.Sleep(pause)
						if resets {
							_ = c.SetLinger(0)
						}
					})
					whole := 0
					for range 20 {
						g := startGate(t, testConfig{doc: testDocument(), services: []string{address}, config: Config{MaxBodyBytes: size}})
						response, err := g.openRaw(t, "HTTP/1.1", "POST /services/app/bookings", size)
						require.NoError(t, err)
						body, err := io.ReadAll(response.Body)
						if err == nil && response.StatusCode == status && string(body) == "body" {
							whole++
						}
						_ = response.Body.Close()
					}
					require.Equal(t, 20, whole)
				})
			}
		}
	}
}
