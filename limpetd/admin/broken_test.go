package admin_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/broken"
)

// TestBrokenResponseIsAnError breaks off the response to an operator at each byte.
func TestBrokenResponseIsAnError(t *testing.T) {
	const body = `{"events":[{"kind":"x"}]}`
	var sent []int
	for n := range len(body) + 1 {
		sent = append(sent, n)
	}
	for _, b := range broken.Responses(body, sent...) {
		if b.Ending == broken.Silent {
			continue // The timeout of the client is too long for a test.
		}
		s := broken.Server{Requests: &atomic.Int64{}, Response: b}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		go s.Serve(l)
		_, err = admin.NewClient("http://"+l.Addr().String(), "token").Plan(t.Context())
		require.Equal(t, b.Sent < len(body), err != nil, "%s: %v", b, err)
		require.NoError(t, l.Close())
	}
}
