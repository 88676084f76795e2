package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// startRaw starts a server that answers each request with text and ends the connection.
func startRaw(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestInvalidStatusOfServiceIsBroken guards against a status outside 200 to 599 that reaches a caller or is kept for repeats
// of a call with a key.
func TestInvalidStatusOfServiceIsBroken(t *testing.T) {
	calls := map[string]string{"repeatable": "GET /services/app/schedule/x", "keyed": "POST /services/app/bookings"}
	for _, status := range []string{"1.1 000", "1.1 001", "1.1 042", "1.1 099", "1.1 100", "1.1 101", "1.1 600", "1.1 700", "1.1 999", "1.1 0200", "1.1 20", "1.1 2x0", "1.1 -20", "1.0 000", "1.0 101", "1.0 600"} {
		for name, call := range calls {
			t.Run(status+"/"+name, func(t *testing.T) {
				t.Parallel()
				server := startRaw(t, "HTTP/"+status+" X\r\nContent-Length: 2\r\n\r\nok")
				g := startGate(t, testConfig{doc: testDocument(), services: []string{server}})
				tries := map[string]int{"repeatable": 1, "keyed": 2}[name]
				for range tries { // The second call with the key gets what was kept.
					response, err := g.openRaw(t, "HTTP/1.1", call, 0)
					require.NoError(t, err)
					// A repeatable call that no other server can take is answered as after any broken response.
					require.Contains(t, []int{http.StatusBadGateway, http.StatusConflict, http.StatusServiceUnavailable}, response.StatusCode)
					require.NotEqual(t, string(code.RunNo), response.Header.Get(headerRun), "the call may have run")
					require.NoError(t, response.Body.Close())
				}
			})
		}
	}
}
