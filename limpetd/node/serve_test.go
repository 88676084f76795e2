package node

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/abort"
	"github.com/limpetlb/limpetlb/limpetd/guard"
)

// TestResponseOverTLSOfClosedServerIsNotComplete guards against a response that looks complete to a caller that uses
// HTTP/1.0 because the server closed its connection with the alert of a proper end.
func TestResponseOverTLSOfClosedServerIsNotComplete(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		ended := make(chan struct{})
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer abort.End(r)
			abort.Begin(r)
			_, _ = io.WriteString(w, "part") // fails if the caller has gone
			_ = http.NewResponseController(w).Flush()
			<-ended
		}))
		door := guard.Unlimited().Door(s.Listener, guard.DoorConfig{})
		s.Listener, s.Config.ConnState = door, guard.ConnState
		s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return abort.ConnContext(guard.ConnContext(ctx, c), c)
		}
		s.StartTLS()
		c, err := tls.Dial("tcp4", s.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "GET / %s\r\nHost: x\r\n\r\n", protocol)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, len("part")))
		require.NoError(t, err)
		require.NoError(t, closeServer(s.Config, door))
		_, err = io.ReadAll(response.Body)
		require.Error(t, err, protocol)
		_ = response.Body.Close()
		close(ended)
		_ = c.Close() // fails after a reset
		s.Close()
	}
}
