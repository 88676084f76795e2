package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// TestLeavingDaemonRefusesCallWhoseBodyArrivesLate guards against calls that are passed on late in the grace period
// and cut at its end, because their head arrived before the daemon stopped to accept calls.
func TestLeavingDaemonRefusesCallWhoseBodyArrivesLate(t *testing.T) {
	var got atomic.Int64
	fx := newFixture(t, layout.Route{Kind: layout.Unsafe, MaxAttempts: 1}, func(http.ResponseWriter, *http.Request) { got.Add(1) })
	c, err := net.Dial("tcp4", fx.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	_, err = io.WriteString(c, "POST /r/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: x1\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return fx.front.InFlight() == 1 }, 5*time.Second, time.Millisecond)
	fx.front.Leave(time.Now())
	_, err = io.WriteString(c, "dy")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.Zero(t, got.Load())
}
