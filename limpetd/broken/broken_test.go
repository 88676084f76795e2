package broken_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// TestServerWithoutRestBreaksOffAllResponses guards against a server that ends its process when
// another client has sent a request before, or after, the client of a test.
func TestServerWithoutRestBreaksOffAllResponses(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	s := broken.Server{Requests: &atomic.Int64{}, Response: broken.Response{
		Framing: conns.Length, Body: "body", Sent: 2, Ending: broken.Closed,
	}}
	go s.Serve(l)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		response, err := client.Get("http://" + l.Addr().String())
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Equal(t, "bo", string(body))
		require.NoError(t, response.Body.Close())
	}
}
