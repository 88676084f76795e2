package admin_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// TestBrokenResponseIsAnError breaks off the response to an operator at each byte.
func TestBrokenResponseIsAnError(t *testing.T) {
	const body = `{"events":[{"kind":"x"}]}`
	for _, framing := range []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose} {
		for _, end := range []broken.Ending{broken.Closed, broken.Reset} {
			for sent := range len(body) + 1 {
				s := broken.Server{Requests: &atomic.Int64{}, Response: broken.Response{Framing: framing, Body: body, Sent: sent, Ending: end}}
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				require.NoError(t, err)
				go s.Serve(l)
				_, err = admin.NewClient("http://"+l.Addr().String(), "token").Plan(t.Context())
				require.Equal(t, sent < len(body), err != nil, "%s %s %d: %v", framing, end, sent, err)
				require.NoError(t, l.Close())
			}
		}
	}
}
