package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// startServer starts a backend server that runs serve for each connection; n is the number
// of the connection, from 1. It also returns the number of accepted connections.
func startServer(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) (conns.Target, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(accepted.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return conns.Target{Address: l.Addr().String(), Instance: "i"}, &accepted
}

// readRequest reads a request and returns its id; empty at the end of the connection.
func readRequest(r *bufio.Reader) string {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Request-Id")
}

// newRequest returns a POST request with the given id.
func newRequest(id string) conns.Request {
	return conns.Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("body"),
		Header:  http.Header{"Request-Id": {id}},
		Matches: func(h http.Header, _ bool) bool { return h.Get("Request-Id") == id },
	}
}

// exchange sends a request and returns the body of the response.
func exchange(t *testing.T, p *conns.Pool, target conns.Target, id string) (string, error) {
	t.Helper()
	c, err := p.Get(t.Context(), target, time.Second)
	if err != nil {
		return "", err
	}
	if err := c.Write(newRequest(id)); err != nil {
		return "", err
	}
	response, err := c.ReadHead(newRequest(id))
	if err != nil {
		c.Close()
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.Close()
		return "", err
	}
	c.Release(response)
	return string(body), nil
}

// encodeResponse returns a response to the request with the given id; body must be shorter
// than 10 bytes.
func encodeResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// itoa returns the decimal digit for n.
func itoa(n int) string { return string(rune('0' + n)) }

func TestRequestIsNotResent(t *testing.T) {
	var received atomic.Int64
	target, _ := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for i := 1; ; i++ {
			id := readRequest(r)
			if id == "" {
				return
			}
			received.Add(1)
			if n == 1 && i == 2 {
				return // closes a reused connection after the request was read
			}
			_, _ = io.WriteString(c, encodeResponse(id, "ok"))
		}
	})
	p := conns.New(t.Context())
	body, err := exchange(t, p, target, "a")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	_, err = exchange(t, p, target, "b")
	require.Error(t, err)
	var exchangeErr *conns.Error
	require.ErrorAs(t, err, &exchangeErr)
	require.Equal(t, conns.MaybeSent, exchangeErr.Sent)
	require.EqualValues(t, 2, received.Load())
}

func TestConnectionsAreReused(t *testing.T) {
	target, accepted := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = io.WriteString(c, encodeResponse(id, "ok"))
		}
	})
	p := conns.New(t.Context())
	for range 5 {
		_, err := exchange(t, p, target, "a")
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, accepted.Load())
}

func TestConnectionWithUnexpectedResponseIsNotReused(t *testing.T) {
	target, accepted := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = io.WriteString(c, encodeResponse(id, "ok")+encodeResponse(id, "again"))
		}
	})
	p := conns.New(t.Context())
	for _, id := range []string{"a", "b"} {
		body, err := exchange(t, p, target, id)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 2, accepted.Load())
}

func TestResponseToAnEarlierRequestIsSkipped(t *testing.T) {
	target, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, encodeResponse("earlier", "wrong")+encodeResponse(id, "right"))
	})
	body, err := exchange(t, conns.New(t.Context()), target, "a")
	require.NoError(t, err)
	require.Equal(t, "right", body)
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	target, accepted := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, encodeResponse(id, "ok"))
	})
	p := conns.New(t.Context())
	_, err := exchange(t, p, target, "a")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := exchange(t, p, target, "b")
		return err == nil && accepted.Load() >= 2
	}, 5*time.Second, 10*time.Millisecond)
}

func TestConnectionWithUnfinishedWriteIsNotReused(t *testing.T) {
	target, accepted := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		line, err := r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "POST") {
			return
		}
		_, _ = io.WriteString(c, encodeResponse("a", "no"))
		time.Sleep(200 * time.Millisecond) // reads nothing more
	})
	p := conns.New(t.Context())
	for range 2 {
		c, err := p.Get(t.Context(), target, time.Second)
		require.NoError(t, err)
		r := newRequest("a")
		r.Body = make([]byte, 32<<20)
		require.NoError(t, c.Write(r))
		response, err := c.ReadHead(r)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		c.Release(response)
	}
	require.EqualValues(t, 2, accepted.Load())
}

func TestBindClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	target, _ := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	p := conns.New(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	c, err := p.Get(ctx, target, time.Second)
	require.NoError(t, err)
	stop := c.Bind(ctx)
	require.NoError(t, c.Write(newRequest("a")))
	cancel()
	<-closed
	require.False(t, stop())
	require.True(t, c.WaitReadable(time.Now().Add(time.Minute)), "waiting on a closed connection returns immediately")
}

func TestConnectionsToAServerAreLimited(t *testing.T) {
	target, _ := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	p := conns.New(t.Context())
	p.SetLimit(target, 2)
	for range 2 {
		_, err := p.Get(t.Context(), target, time.Second)
		require.NoError(t, err)
	}
	_, err := p.Get(t.Context(), target, time.Second)
	require.ErrorIs(t, err, conns.ErrTooManyConns)
}

// TestResetIsReportedByEachRead guards against a reset that WaitReadable meets and that looks
// like the end of the response to the next read.
func TestResetIsReportedByEachRead(t *testing.T) {
	received := make(chan struct{})
	target, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n\r\npart")
		<-received
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	c, err := conns.New(t.Context()).Get(t.Context(), target, time.Second)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.Write(newRequest("a")))
	response, err := c.ReadHead(newRequest("a"))
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	buffer := make([]byte, 4)
	_, err = io.ReadFull(response.Body, buffer)
	require.NoError(t, err)
	close(received)
	require.True(t, c.WaitReadable(time.Now().Add(time.Minute)))
	for range 3 {
		require.True(t, c.WaitReadable(time.Now().Add(time.Minute)))
		_, err = response.Body.Read(buffer)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
	require.ErrorIs(t, c.ReadError(), syscall.ECONNRESET)
}

// TestClosedConnectionSendsNothingMore guards against a request that arrives after its call was abandoned, because it
// was held up by a partition.
func TestClosedConnectionSendsNothingMore(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	c, err := conns.New(t.Context()).Get(t.Context(), conns.Target{Address: l.Addr().String()}, time.Second)
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	defer func() { require.NoError(t, server.Close()) }()
	c.Close()
	_, err = server.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET, "not the end of what was sent")
}

// TestInputThatArrivedBeforeTheDeadlineIsFound guards against taking a server for silent whose answer arrived while this
// process stood still.
func TestInputThatArrivedBeforeTheDeadlineIsFound(t *testing.T) {
	target, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, encodeResponse(readRequest(r), ""))
		_ = readRequest(r)
	})
	c, err := conns.New(t.Context()).Get(t.Context(), target, time.Second)
	require.NoError(t, err)
	defer c.Close()
	require.False(t, c.WaitReadable(time.Now().Add(-time.Second)))
	require.NoError(t, c.Write(newRequest("a")))
	require.Eventually(t, func() bool { return c.WaitReadable(time.Now().Add(-time.Second)) }, 5*time.Second, time.Millisecond)
	response, err := c.ReadHead(newRequest("a"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}
