package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// backend accepts connections and hands each to serve with its number from 1 on.
func backend(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) (conns.Target, *atomic.Int64) {
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

// read takes a request off a connection and returns its id; empty at the end.
func read(r *bufio.Reader) string {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Request-Id")
}

func call(id string) conns.Request {
	return conns.Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("body"),
		Header:  http.Header{"Request-Id": {id}},
		Belongs: func(h http.Header) bool { return h.Get("Request-Id") == id },
	}
}

// exchange sends a call and returns the body of its answer.
func exchange(t *testing.T, p *conns.Pool, to conns.Target, id string) (string, error) {
	t.Helper()
	c, err := p.Take(t.Context(), to, time.Second)
	if err != nil {
		return "", err
	}
	if err := c.Write(call(id)); err != nil {
		return "", err
	}
	a, err := c.Head(call(id))
	if err != nil {
		c.Close()
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		c.Close()
		return "", err
	}
	c.Release(a)
	return string(body), nil
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func TestCallIsNeverSentAgainOnItsOwn(t *testing.T) {
	var got atomic.Int64
	to, _ := backend(t, func(n int, c net.Conn, r *bufio.Reader) {
		for i := 1; ; i++ {
			id := read(r)
			if id == "" {
				return
			}
			got.Add(1)
			if n == 1 && i == 2 {
				return // closes a reused connection after the call was read
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := conns.New(t.Context())
	body, err := exchange(t, p, to, "a")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	_, err = exchange(t, p, to, "b")
	require.Error(t, err)
	var failed *conns.Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, conns.Maybe, failed.Sent)
	require.EqualValues(t, 2, got.Load())
}

func TestConnectionsAreReused(t *testing.T) {
	to, accepted := backend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := conns.New(t.Context())
	for range 5 {
		_, err := exchange(t, p, to, "a")
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, accepted.Load())
}

func TestConnectionWithSurplusAnswerIsNotReused(t *testing.T) {
	to, accepted := backend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			_, _ = io.WriteString(c, answer(id, "ok")+answer(id, "again"))
		}
	})
	p := conns.New(t.Context())
	for _, id := range []string{"a", "b"} {
		body, err := exchange(t, p, to, id)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 2, accepted.Load())
}

func TestLateAnswerToAnEarlierCallIsPassedOver(t *testing.T) {
	to, _ := backend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := read(r)
		_, _ = io.WriteString(c, answer("earlier", "wrong")+answer(id, "right"))
	})
	body, err := exchange(t, conns.New(t.Context()), to, "a")
	require.NoError(t, err)
	require.Equal(t, "right", body)
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	to, accepted := backend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := read(r)
		_, _ = io.WriteString(c, answer(id, "ok"))
	})
	p := conns.New(t.Context())
	_, err := exchange(t, p, to, "a")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := exchange(t, p, to, "b")
		return err == nil && accepted.Load() >= 2
	}, 5*time.Second, 10*time.Millisecond)
}

func TestAnswerBeforeALongRequestWasReadEndsTheConnection(t *testing.T) {
	to, accepted := backend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		line, err := r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "POST") {
			return
		}
		_, _ = io.WriteString(c, answer("a", "no"))
		time.Sleep(200 * time.Millisecond) // reads nothing more
	})
	p := conns.New(t.Context())
	for range 2 {
		c, err := p.Take(t.Context(), to, time.Second)
		require.NoError(t, err)
		r := call("a")
		r.Body = make([]byte, 32<<20)
		require.NoError(t, c.Write(r))
		a, err := c.Head(r)
		require.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		c.Release(a)
	}
	require.EqualValues(t, 2, accepted.Load())
}

func TestBindClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	to, _ := backend(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	p := conns.New(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	c, err := p.Take(ctx, to, time.Second)
	require.NoError(t, err)
	stop := c.Bind(ctx)
	require.NoError(t, c.Write(call("a")))
	cancel()
	<-closed
	require.False(t, stop())
	require.True(t, c.Await(time.Now().Add(time.Minute)), "a closed connection does not wait")
}

func TestConnectionsToAServerAreBounded(t *testing.T) {
	to, _ := backend(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	p := conns.New(t.Context())
	p.Bound(to, 2)
	for range 2 {
		_, err := p.Take(t.Context(), to, time.Second)
		require.NoError(t, err)
	}
	_, err := p.Take(t.Context(), to, time.Second)
	require.ErrorIs(t, err, conns.ErrTooMany)
}
