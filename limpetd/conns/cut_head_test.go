package conns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// TestCutHeadIsAnError cuts heads at each byte, by FIN and by RST.
func TestCutHeadIsAnError(t *testing.T) {
	for _, c := range []struct{ method, head string }{
		{http.MethodPost, encodeResponse("a", "")},
		{http.MethodPost, "HTTP/1.0 200 OK\r\nRequest-Id: a\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 200 OK\nRequest-Id: a\nTransfer-Encoding: chunked\n\n"},
		{http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nRequest-Id: a\r\n\r\n" + encodeResponse("a", "")},
		{http.MethodPost, encodeResponse("earlier", "") + encodeResponse("a", "")},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 204 No Content\r\nRequest-Id: a\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 304 Not Modified\r\nRequest-Id: a\r\n\r\n"},
	} {
		var sent atomic.Int64
		target, _ := startServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
			_ = readRequest(r)
			_, _ = io.WriteString(conn, c.head[:sent.Load()])
			if n%2 == 0 {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		pool := conns.New(t.Context())
		request := newRequest("a")
		request.Method = c.method
		for i := range len(c.head) {
			sent.Store(int64(i))
			for range 2 {
				conn, err := pool.Get(t.Context(), target, time.Second)
				require.NoError(t, err)
				require.NoError(t, conn.Write(request))
				response, err := conn.ReadHead(request)
				if err == nil {
					_ = response.Body.Close()
				}
				require.Error(t, err, "%d bytes of %q", i, c.head)
				conn.Close()
			}
		}
	}
}
