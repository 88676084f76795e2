package guard_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/guard"
)

// limit is the size limit of bodies.
const limit = 1 << 20

// read reads a body of an announced size, negative for none, without a connection.
func read(g *guard.Guard, body io.Reader, size int64) ([]byte, *httptest.ResponseRecorder, error) {
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = size
	w := httptest.NewRecorder()
	got, err := g.ReadBody(w, r, limit)
	return got, w, err
}

// TestBodiesAreReadWhole guards against bodies that are cut or refused at the ends of buffers and of the limit.
func TestBodiesAreReadWhole(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{MemoryMB: 144}, guard.Deps{})
	for _, n := range []int{1, 4095, 4096, 4097, 16384, 70_000, limit - 1, limit} {
		for _, size := range []int64{int64(n), -1} {
			text := strings.Repeat("x", n)
			got, _, err := read(g, iotest.HalfReader(strings.NewReader(text)), size)
			require.NoError(t, err)
			require.Len(t, got, n)
			require.Equal(t, text, string(got))
			g.Release(budget.Waiting, int64(cap(got)))
		}
	}
	got, _, err := read(g, http.NoBody, 0)
	require.NoError(t, err)
	require.Empty(t, got)
}

// TestBodiesOverTheLimitAreRefused guards against reading what is refused by its announced size, and against
// connections that stay open for the rest.
func TestBodiesOverTheLimitAreRefused(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{}, guard.Deps{})
	for name, body := range map[string]io.Reader{"announced": iotest.ErrReader(errors.New("read")), "sent": strings.NewReader(strings.Repeat("x", limit+1))} {
		size := int64(-1)
		if name == "announced" {
			size = limit + 1
		}
		_, w, err := read(g, body, size)
		require.Equal(t, code.BodyTooLarge, code.Of(err), name)
		require.ErrorContains(t, err, fmt.Sprint(limit))
		require.Equal(t, "close", w.Header().Get("Connection"), name)
	}
	_, _, err := read(g, iotest.ErrReader(io.ErrUnexpectedEOF), 10)
	require.Equal(t, code.CallerGone, code.Of(err))
	require.Equal(t, code.RunNo, code.RunOf(err))
}

// TestBodiesWaitForMemory guards against bodies that are refused although memory becomes free within the wait, and
// against ones that wait forever. The account of 3.2 MB has no room for a body beside those that wait for servers.
func TestBodiesWaitForMemory(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{MemoryMB: 4}, guard.Deps{})
	g.Charge(budget.Waiting, 4<<20)
	_, w, err := read(g, strings.NewReader("body"), 4)
	require.Equal(t, code.MemoryShort, code.Of(err))
	require.ErrorContains(t, err, "memory_mb 4")
	require.Equal(t, "close", w.Header().Get("Connection"))
	done := make(chan error)
	go func() {
		_, _, err := read(g, strings.NewReader("body"), 4)
		done <- err
	}()
	time.Sleep(100 * time.Millisecond)
	g.Release(budget.Waiting, 4<<20)
	require.NoError(t, <-done)
}

// startServer starts an HTTP server at a door, and returns its address.
func startServer(t *testing.T, g *guard.Guard, c guard.DoorConfig) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: guard.ConnState, ConnContext: guard.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := g.ReadBody(w, r, limit)
		if err != nil {
			http.Error(w, err.Error(), code.Of(err).Info().Status)
			return
		}
		defer g.Release(budget.Waiting, int64(cap(body)))
		_, _ = fmt.Fprint(w, len(body))
	})}
	go func() { _ = s.Serve(g.Door(l, c)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// dial opens a connection and sends text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// status reads a response and returns its status; 0 if the connection was closed.
func status(c net.Conn) int {
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestTimeoutsOfDoor guards against connections that hold a descriptor with a header that trickles, and against closing
// idle ones before their timeout.
func TestTimeoutsOfDoor(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{}, guard.Deps{})
	address := startServer(t, g, guard.DoorConfig{Timeouts: func() budget.Timeouts {
		return budget.Timeouts{Header: 300 * time.Millisecond, Idle: 3 * time.Second}
	}})
	idle := dial(t, address, request)
	require.Equal(t, http.StatusOK, status(idle))
	used := time.Now()
	require.Zero(t, status(dial(t, address, "GET / HTTP/1.1\r\n")))
	require.Zero(t, status(dial(t, address, "")))
	_, err := io.WriteString(idle, request+request[:10])
	require.NoError(t, err)
	if time.Since(used) < 3*time.Second {
		require.Equal(t, http.StatusOK, status(idle))
	}
	require.Zero(t, status(idle))
}

// TestConnectionsAreBounded guards against clients that take all connections: one whose header is slow is closed for a new
// one, an idle one only where the door says so.
func TestConnectionsAreBounded(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{}, guard.Deps{})
	address := startServer(t, g, guard.DoorConfig{Max: 2})
	idle := dial(t, address, request)
	require.Equal(t, http.StatusOK, status(idle))
	slow := dial(t, address, "GET")
	require.Equal(t, http.StatusOK, status(dial(t, address, strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))))
	require.Zero(t, status(slow))
	_, err := io.WriteString(idle, request)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(idle))

	address = startServer(t, g, guard.DoorConfig{Max: 1, Timeouts: func() budget.Timeouts { return budget.Timeouts{CloseIdle: time.Millisecond} }})
	idle = dial(t, address, request)
	require.Equal(t, http.StatusOK, status(idle))
	require.Equal(t, http.StatusOK, status(dial(t, address, request)))
	require.Zero(t, status(idle))
}

// TestSlowBodyIsAnswered guards against bodies that trickle without an end: the caller gets a refusal, and the connection is
// closed.
func TestSlowBodyIsAnswered(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{MinBodyRate: 1000}, guard.Deps{})
	address := startServer(t, g, guard.DoorConfig{})
	c := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	require.Equal(t, http.StatusRequestTimeout, status(c))
	require.Zero(t, status(c))
}

// TestTinyChunksAreCharged guards against bodies whose chunks cost far more than they hold: at one byte a chunk, a body takes
// six times its size.
func TestTinyChunksAreCharged(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{MemoryMB: 4}, guard.Deps{})
	address := startServer(t, g, guard.DoorConfig{})
	head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	const size = 300_000
	c := dial(t, address, head+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)))
	require.Equal(t, http.StatusOK, status(c))
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	go func() { _, _ = io.WriteString(c, head+strings.Repeat("1\r\nx\r\n", size)+"0\r\n\r\n") }()
	require.Equal(t, http.StatusServiceUnavailable, status(c))
}

// shortLines returns n header lines without values, whose names differ.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// TestHeaderOverLimitIsAnsweredUnparsed guards against headers over the limit that are parsed before they are refused,
// and against refusals that are lost because the client goes on sending.
func TestHeaderOverLimitIsAnsweredUnparsed(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{}, guard.Deps{})
	address := startServer(t, g, guard.DoorConfig{
		HeaderLimit: func() int64 { return 1 << 10 },
		TooLarge: func(limit int64) guard.Refusal {
			return guard.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Header: http.Header{"Limit": {fmt.Sprint(limit)}}, Body: []byte("no")}
		},
	})
	open := strings.TrimSuffix(request, "\r\n")
	c := dial(t, address, open+shortLines(10_000))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	require.Equal(t, "1024", response.Header.Get("Limit"))
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, status(dial(t, address, open+shortLines(100)+"\r\n")))
}

// TestLinesOfHeadersAreCharged guards against headers that take far more memory than bytes. The account of 1.2 MB holds a
// header of 2,000 lines, and not one of 16,000, whole, or behind another request in pieces that are read ahead.
func TestLinesOfHeadersAreCharged(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{MemoryMB: 4}, guard.Deps{})
	address := startServer(t, g, guard.DoorConfig{})
	open := strings.TrimSuffix(request, "\r\n")
	c := dial(t, address, open+shortLines(2000)+"\r\n")
	require.Equal(t, http.StatusOK, status(c))
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(c), "the charge ends with the request")
	_, _ = io.WriteString(c, open+shortLines(16_000)+"\r\n")
	require.Zero(t, status(c))
	g.Charge(budget.Waiting, 1<<20)
	require.Equal(t, http.StatusOK, status(dial(t, address, request)))
	c = dial(t, address, request+open+shortLines(500)+"\r\n")
	text, _ := io.ReadAll(c)
	require.Equal(t, 1, strings.Count(string(text), "HTTP/1.1 200 OK"), "the connection is closed before the second header is parsed")
}

// TestConnectionsCloseBeforeHeadersReadAhead guards against parsing a buffered header before it is charged, and against
// closing connections after announced bodies with many lines. The response announces that the connection closes.
func TestConnectionsCloseBeforeHeadersReadAhead(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{}, guard.Deps{})
	address := startServer(t, g, guard.DoorConfig{})
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	chunked := func(text string) string {
		return post + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	}
	lines := strings.Repeat("\n", 1000)
	for name, c := range map[string]struct {
		text   string
		closes bool
	}{
		"announced body of lines": {post + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(lines), lines), false},
		"chunks":                  {chunked("body"), false},
		"chunks of lines":         {chunked(lines), true},
		"next header behind":      {post + "Content-Length: 1\r\n\r\nx" + post + shortLines(300), true},
	} {
		response, err := http.ReadResponse(bufio.NewReader(dial(t, address, c.text)), nil)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusOK, response.StatusCode, name)
		require.Equal(t, c.closes, response.Close, name)
		require.NoError(t, response.Body.Close())
	}
}

// TestUnadmittedConnectionsAreBounded guards against connections that hold memory without showing to whom they belong:
// few are accepted, they send little, and they make room for others.
func TestUnadmittedConnectionsAreBounded(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{}, guard.Deps{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	d := g.Door(l, guard.DoorConfig{MaxUnadmitted: 1, UnadmittedBytes: 1, HeaderLimit: func() int64 { return 100 }})
	t.Cleanup(func() { require.NoError(t, d.Close()) })
	address := l.Addr().String()
	text := strings.Repeat("x", 8<<10)
	admitted := dial(t, address, text)
	first, err := d.Accept()
	require.NoError(t, err)
	guard.Admit(first)
	_, err = io.ReadFull(first, make([]byte, len(text)))
	require.NoError(t, err)
	refused := dial(t, address, text)
	second, err := d.Accept()
	require.NoError(t, err)
	_, err = io.ReadFull(second, make([]byte, len(text)))
	require.Error(t, err)
	dial(t, address, "")
	_, err = d.Accept()
	require.NoError(t, err, "the second makes room")
	_, err = refused.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, admitted.Close())
}

// TestResponseIsReadBeforeConnectionCloses guards against responses that are lost to a reset, because the client is still
// sending the body that the server doesn't read.
func TestResponseIsReadBeforeConnectionCloses(t *testing.T) {
	g := guard.New(t.Context(), guard.Config{}, guard.Deps{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	door := g.Door(l, guard.DoorConfig{})
	t.Cleanup(func() { _ = door.Close() })
	c := dial(t, l.Addr().String(), request)
	accepted, err := door.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	require.NoError(t, accepted.(interface{ CloseWrite() error }).CloseWrite())
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	received := make([]byte, len(request))
	_, err = io.ReadFull(accepted, received)
	require.NoError(t, err)
	require.Equal(t, request, string(received))
}
