package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// earlyAnswer is an answer that a server sends before it has read the request.
type earlyAnswer struct {
	name    string
	status  int
	framing conns.Framing
	// cut is whether the sending direction is not ended after a response without a length.
	cut bool
}

// write writes the answer to the request with the given id.
func (a earlyAnswer) write(w io.Writer, id, body string) {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nId: %s\r\nStamp: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n", a.status, http.StatusText(a.status), id)
	switch a.framing {
	case conns.Length:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case conns.Chunked:
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case conns.UntilClose:
		head += "\r\n" + body
	}
	_, _ = io.WriteString(w, head)
}

// earlyEndings are what a server does after its answer. The sending direction of a response without a length is ended
// before.
var earlyEndings = map[string]func(c *net.TCPConn, r io.Reader){
	"resets": func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	},
	"closes":     func(*net.TCPConn, io.Reader) {},
	"reads_on":   func(_ *net.TCPConn, r io.Reader) { _, _ = io.Copy(io.Discard, r) },
	"stops_read": func(*net.TCPConn, io.Reader) { time.Sleep(100 * time.Millisecond) },
}

// startEarly starts a server that answers each request after its head.
func startEarly(t *testing.T, a earlyAnswer, body string, end func(c *net.TCPConn, r io.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	serve := func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		a.write(c, request.Header.Get("Id"), body)
		if a.framing == conns.UntilClose && !a.cut {
			_ = c.CloseWrite()
		}
		end(c, r)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// upload sends a body of the given size, and reads the response.
func (fx *fixture) upload(t *testing.T, size int) received {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fx.url+"/r/1", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return received{body: err.Error()}
	}
	r.Header.Set("Id", "x1")
	r.Header.Set("Model", "m")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return received{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return received{response.StatusCode, string(body), err == nil}
}

// uploads sends n uploads at a time.
func (fx *fixture) uploads(t *testing.T, n, size int) []received {
	got := make([]received, n)
	var calls sync.WaitGroup
	for i := range got {
		calls.Go(func() { got[i] = fx.upload(t, size) })
	}
	calls.Wait()
	return got
}

var uploadRoutes = []layout.Route{{Kind: layout.Unsafe, MaxAttempts: 1}, {Kind: layout.Idempotent, MaxAttempts: 2}, streamKind}

// TestEarlyAnswerIsWhole guards against an answer that is lost because its server ended the connection before it had
// read the upload.
func TestEarlyAnswerIsWhole(t *testing.T) {
	const runs = 4
	body := eventText(0, 3)
	var whole, all atomic.Int64
	for _, a := range []earlyAnswer{{"200", 200, conns.Length, false}, {"413", 413, conns.Length, false}, {"200_chunked", 200, conns.Chunked, false}, {"200_close", 200, conns.UntilClose, false}} {
		for ending, end := range earlyEndings {
			for _, route := range uploadRoutes {
				for _, size := range []int{300 << 10, 3 << 20} {
					t.Run(strings.Join([]string{a.name, ending, fmt.Sprint(route.Kind), fmt.Sprint(size)}, "/"), func(t *testing.T) {
						fx := newFixtureWithServers(t, nil, route, startEarly(t, a, body, end))
						got := fx.uploads(t, runs, size)
						for _, g := range got {
							all.Add(1)
							if g == (received{a.status, body, true}) {
								whole.Add(1)
							}
						}
						for _, g := range got {
							require.Equal(t, received{a.status, body, true}, g)
						}
					})
				}
			}
		}
	}
	t.Logf("%d of %d answers are whole", whole.Load(), all.Load())
}

// TestResetBesideUploadIsNoEnd guards against a part of an answer without a length that counts as whole because the
// write of the upload met the server's reset. Closing a connection with unread data resets it too.
func TestResetBesideUploadIsNoEnd(t *testing.T) {
	var n atomic.Int64
	complete, all := 0, 0
	for name, end := range map[string]func(c *net.TCPConn, r io.Reader){
		"resets": func(c *net.TCPConn, _ io.Reader) {
			time.Sleep(time.Duration(n.Add(1)%41) * time.Millisecond)
			_ = c.SetLinger(0)
		},
		"closes": func(*net.TCPConn, io.Reader) { time.Sleep(time.Duration(n.Add(1)%41) * time.Millisecond) },
	} {
		for _, route := range uploadRoutes {
			fx := newFixtureWithServers(t, nil, route, startEarly(t, earlyAnswer{"200_close", 200, conns.UntilClose, true}, eventText(0, 1), end))
			for range 5 {
				for _, g := range fx.uploads(t, 8, 3<<20) {
					all++
					if g.complete && g.status == http.StatusOK {
						complete++
						t.Logf("%s, kind %v: %+v", name, route.Kind, g)
					}
				}
			}
		}
	}
	require.Zero(t, complete, "of %d", all)
}
