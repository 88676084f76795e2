package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
)

// closingServer is a backend server that answers a limited number of requests on each
// connection, then reads one more request and closes the connection without an answer.
type closingServer struct {
	address string
	// requests counts the requests that arrived completely.
	requests atomic.Int64
	// answersPerConn is the number of requests answered on each connection.
	answersPerConn int64
}

func newClosingServer(t *testing.T, answersPerConn int64) *closingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	b := &closingServer{address: l.Addr().String(), answersPerConn: answersPerConn}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *closingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := int64(0); ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		b.requests.Add(1)
		if n >= b.answersPerConn {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func serviceCall(method, body string) ServiceCall {
	h := http.Header{}
	h.Set("Idempotency-Key", "k")
	return ServiceCall{
		Admission: admit.ServiceRequest{ID: "r"},
		Method:    method,
		Path:      "/bookings",
		Header:    h,
		Body:      []byte(body),
	}
}

func forward(ctx context.Context, r *Relay, c ServiceCall) (int, error) {
	a, err := r.Forward(ctx, c)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return a.Status, err
}

// TestNetHTTPReplaysOnDeadReusedConnection demonstrates the behaviour of net/http that
// serviceClient avoids: a request with an idempotency key is sent again when the
// server closes a reused connection without an answer. The test fails if net/http no
// longer does so.
func TestNetHTTPReplaysOnDeadReusedConnection(t *testing.T) {
	b := newClosingServer(t, 1)
	client := &http.Client{Transport: &http.Transport{}}
	send := func() {
		q, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+b.address+"/bookings", bytes.NewReader([]byte("seat 7")))
		require.NoError(t, err)
		q.Header.Set("Idempotency-Key", "k")
		a, err := client.Do(q)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, a.Body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
	}
	send()
	send()
	require.EqualValues(t, 3, b.requests.Load(), "net/http must send one of the two calls twice")
}

func TestForwardDoesNotReplayOnDeadReusedConnection(t *testing.T) {
	cases := []struct{ name, method, body string }{
		{"POST with a key and a body", "POST", "seat 7"},
		{"POST with a key and no body", "POST", ""},
		{"PUT", "PUT", "seat 7"},
		{"DELETE", "DELETE", ""},
		{"GET", "GET", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newClosingServer(t, 1)
			other := newClosingServer(t, 9)
			r := New(Deps{Admitter: &fakes.Admitter{VMs: []string{b.address, other.address}}})
			status, err := forward(t.Context(), r, serviceCall(c.method, c.body))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			_, err = forward(t.Context(), r, serviceCall(c.method, c.body))
			require.Equal(t, code.BackendLost, code.Of(err))
			require.Equal(t, code.RunUnknown, code.RunOf(err))
			require.EqualValues(t, 2, b.requests.Load())
			require.Zero(t, other.requests.Load())
		})
	}
}

func TestForwardRetriesRepeatablePath(t *testing.T) {
	broken := newClosingServer(t, 0)
	working := newClosingServer(t, 9)
	r := New(Deps{Admitter: &fakes.Admitter{VMs: []string{broken.address, working.address}}})
	c := serviceCall("GET", "")
	c.Repeatable = true
	status, err := forward(t.Context(), r, c)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, working.requests.Load())
}

func TestForwardReportsNotRunOnlyIfNoByteArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := l.Addr().String()
	require.NoError(t, l.Close())

	t.Run("backend server unreachable", func(t *testing.T) {
		admitter := &fakes.Admitter{VMs: []string{unreachable}}
		_, err := forward(t.Context(), New(Deps{Admitter: admitter}), serviceCall("POST", "x"))
		require.Equal(t, code.RunNo, code.RunOf(err))
		require.Zero(t, admitter.Open())
	})
	t.Run("first backend server unreachable", func(t *testing.T) {
		working := newClosingServer(t, 9)
		r := New(Deps{Admitter: &fakes.Admitter{VMs: []string{unreachable, working.address}}})
		_, err := forward(t.Context(), r, serviceCall("POST", "x"))
		require.NoError(t, err)
		require.EqualValues(t, 1, working.requests.Load())
	})
	t.Run("connection closed without an answer", func(t *testing.T) {
		b := newClosingServer(t, 0)
		admitter := &fakes.Admitter{VMs: []string{b.address}}
		_, err := forward(t.Context(), New(Deps{Admitter: admitter}), serviceCall("POST", "x"))
		require.Equal(t, code.BackendLost, code.Of(err))
		require.Equal(t, code.RunUnknown, code.RunOf(err))
		require.Zero(t, admitter.Open())
	})
	t.Run("no answer before the timeout", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		r := New(Deps{Admitter: &fakes.Admitter{VMs: []string{l.Addr().String()}}}, WithServiceTimeout(20*time.Millisecond))
		_, err = forward(t.Context(), r, serviceCall("POST", "x"))
		require.Equal(t, code.RunUnknown, code.RunOf(err))
	})
	t.Run("run state stays unknown after a retry that was not sent", func(t *testing.T) {
		b := newClosingServer(t, 0)
		r := New(Deps{Admitter: &fakes.Admitter{VMs: []string{b.address, unreachable}}})
		c := serviceCall("GET", "")
		c.Repeatable = true
		_, err := forward(t.Context(), r, c)
		require.Equal(t, code.RunUnknown, code.RunOf(err))
	})
}

func TestForwardSendsWholeBody(t *testing.T) {
	var got string
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		got = string(body)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	r := New(Deps{Admitter: &fakes.Admitter{VMs: []string{l.Addr().String()}}})
	body := strings.Repeat("0123456789", 50000)
	_, err = forward(t.Context(), r, serviceCall("POST", body))
	require.NoError(t, err)
	require.Equal(t, body, got)
}

// TestAnswerToOtherRequestIsRejected covers a service that returns the answer to
// another request.
func TestAnswerToOtherRequestIsRejected(t *testing.T) {
	names := []string{"r", "other", "", "r"}
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if names[calls] != "" {
			w.Header().Set(RequestIDHeader, names[calls])
		}
		calls++
	}))
	defer server.Close()
	admitter := &fakes.Admitter{VMs: []string{strings.TrimPrefix(server.URL, "http://")}}
	r := New(Deps{Admitter: admitter})
	for i, name := range names {
		_, err := forward(t.Context(), r, serviceCall("POST", "x"))
		if name == "other" {
			require.Equal(t, code.BackendLost, code.Of(err), i)
			require.Equal(t, code.RunUnknown, code.RunOf(err), i)
			continue
		}
		require.NoError(t, err, i)
	}
	require.Equal(t, len(names), calls)
	require.Zero(t, admitter.Open())
}
