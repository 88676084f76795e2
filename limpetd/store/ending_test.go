package store

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/code"
)

// TestResetThatAWriteMeetsIsNoEnd guards against an object that looks complete because a write took the error of the
// reset that ended its connection.
func TestResetThatAWriteMeetsIsNoEnd(t *testing.T) {
	c := NewClient("")
	require.NotNil(t, c.transport.DialContext)
	require.ErrorIs(t, broken.ReadAfterReset(t.Context(), c.transport.DialContext), syscall.ECONNRESET)
}

// TestObjectOfEndedStoreIsNotCorrupt guards against a part of an object that counts as a corrupt object, for which a batch
// fails, because the process of the store was killed.
func TestObjectOfEndedStoreIsNotCorrupt(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		for _, killed := range []bool{false, true} {
			var s *httptest.Server
			s = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n[1,2]")
				if killed {
					_ = s.Listener.Close()
				}
				if secure, ok := c.(*tls.Conn); ok && killed {
					c = secure.NetConn()
				}
				_ = c.Close()
			}))
			var options []Option
			if withTLS {
				s.StartTLS()
				options = append(options, WithTLS(s.Client().Transport.(*http.Transport).TLSClientConfig))
			} else {
				s.Start()
			}
			c := NewClient(s.URL, options...)
			body, err := c.Objects().Get(t.Context(), "key")
			if killed {
				require.Equal(t, code.StoreDown, code.Of(err), "TLS %v: %v", withTLS, err)
			} else {
				require.NoError(t, err, "TLS %v", withTLS)
				require.Equal(t, "[1,2]", string(body))
			}
			c.Close()
			s.Close()
		}
	}
}
