package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// startUnframed starts a server that reads the head of a request, sends the head of a response without a length and a
// part of its body, and resets the connection when reset is closed.
func startUnframed(t *testing.T, id, part string, reset <-chan struct{}) conns.Target {
	t.Helper()
	target, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n\r\n"+part)
		<-reset
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	return target
}

// openUnframed sends a request and reads the part of its response. It returns the connection and the rest of the body.
func openUnframed(t *testing.T, r conns.Request, part string, reset <-chan struct{}) (*conns.Conn, io.Reader) {
	t.Helper()
	c, err := conns.New(t.Context()).Get(t.Context(), startUnframed(t, "a", part, reset), time.Second)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	require.NoError(t, c.Write(r))
	response, err := c.ReadHead(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	got := make([]byte, len(part))
	_, err = io.ReadFull(response.Body, got)
	require.NoError(t, err)
	require.Equal(t, part, string(got))
	return c, response.Body
}

// TestResetThatAWaitMeetsIsNoEnd guards against a response that looks complete because the process stood still while
// the server reset the connection.
func TestResetThatAWaitMeetsIsNoEnd(t *testing.T) {
	reset := make(chan struct{})
	c, body := openUnframed(t, newRequest("a"), "part", reset)
	close(reset)
	require.Eventually(t, func() bool { return c.WaitReadable(time.Now().Add(-time.Second)) }, 5*time.Second, time.Millisecond)
	_, err := io.ReadAll(body)
	require.Error(t, err)
}

// TestResetThatAWriteMeetsIsNoEnd guards against a response that looks complete because the request was still being
// written when the server reset the connection.
func TestResetThatAWriteMeetsIsNoEnd(t *testing.T) {
	reset := make(chan struct{})
	r := newRequest("a")
	r.Body = make([]byte, 32<<20)
	c, body := openUnframed(t, r, "part", reset)
	close(reset)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.True(t, c.AwaitWritten(ctx))
	_, err := io.ReadAll(body)
	require.Error(t, err)
}

// TestEndCheckOfStoppedProcessIsRepeated guards against a response that looks complete because the process stood still
// until the check of its end had timed out.
func TestEndCheckOfStoppedProcessIsRepeated(t *testing.T) {
	for name, answers := range map[string][]conns.Reach{"dial": {conns.Silent, conns.Refuses}, "pause": {conns.Accepts, conns.Silent, conns.Refuses}} {
		r := &http.Response{Body: io.NopCloser(strings.NewReader("part")), ContentLength: -1}
		n := 0
		conns.CheckEnd(t.Context(), r, func(ctx context.Context) conns.Reach {
			n++
			if answers[n-1] == conns.Silent {
				<-ctx.Done()
			}
			return answers[n-1]
		})
		_, err := io.ReadAll(r.Body)
		require.ErrorIs(t, err, conns.ErrServerEnded, name)
	}
}
