package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectionsAreLimited opens one connection more than the limit; the gate accepts it when
// another one is closed.
func TestConnectionsAreLimited(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument(), config: Config{MaxConnections: 2}})
	address := strings.TrimPrefix(g.url, "http://")
	var open []net.Conn
	for range 3 {
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		open = append(open, c)
	}
	ask := func(c net.Conn, timeout time.Duration) error {
		require.NoError(t, c.SetDeadline(time.Now().Add(timeout)))
		_, err := io.WriteString(c, "GET /livez HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	require.NoError(t, ask(open[0], waitTimeout))
	require.NoError(t, ask(open[1], waitTimeout))
	require.ErrorIs(t, ask(open[2], 100*time.Millisecond), os.ErrDeadlineExceeded)
	require.NoError(t, open[0].Close())
	require.NoError(t, ask(open[2], waitTimeout))
}
