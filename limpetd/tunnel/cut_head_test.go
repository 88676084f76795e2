package tunnel_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/tunnel"
)

// TestHeadCutBehindATunnelIsNoAnswer guards against a head that a server cuts off and that looks whole to the daemon
// that reaches the server through another one.
func TestHeadCutBehindATunnelIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: 1\r\nContent-Length: 0\r\n\r\n"
	var sent, resets atomic.Int64
	server := startServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 512))
		_, _ = io.WriteString(c, head[:sent.Load()])
		if resets.Load() > 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	a, b := startDaemon(t, "a", server), startDaemon(t, "b", server)
	a.dialer.SetPeers([]tunnel.Peer{b.peer})
	a.direct.refuses.Store(true)
	pool := conns.New(t.Context(), conns.WithDialer(a.dialer))
	request := conns.Request{Method: http.MethodGet, Target: "/x", Host: "h"}
	for i := range len(head) + 1 {
		sent.Store(int64(i))
		resets.Store(int64(i % 2))
		c, err := pool.Get(t.Context(), conns.Target{Address: server}, time.Second)
		require.NoError(t, err)
		vm, _ := c.Tunnel()
		require.Equal(t, "b", vm)
		require.NoError(t, c.Write(request))
		response, err := c.ReadHead(request)
		require.Equal(t, i == len(head) && resets.Load() == 0, err == nil, "%d bytes, %v", i, err)
		if err == nil {
			require.NoError(t, response.Body.Close())
		}
		c.Close()
	}
}
