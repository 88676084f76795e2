package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/tunnel"
)

const unframedPart = "HTTP/1.1 200 OK\r\nStamp: 1\r\n\r\npart"

// startPair starts a daemon that reaches a server only through another one, and returns its pool.
func startPair(t *testing.T, server string) (a *daemon, p *conns.Pool) {
	t.Helper()
	a, b := startDaemon(t, "a", server), startDaemon(t, "b", server)
	a.dialer.SetPeers([]tunnel.Peer{b.peer})
	a.direct.refuses.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return a, conns.New(ctx, conns.WithDialer(a.dialer))
}

// upload sends a request with a body of the given size, and returns the body of its response.
func upload(ctx context.Context, p *conns.Pool, server string, size int) (body string, err error) {
	r := conns.Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: make([]byte, size)}
	c, err := p.Get(ctx, conns.Target{Address: server}, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.Write(r); err != nil {
		return "", err
	}
	response, err := c.ReadHead(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return string(got), err
}

// TestResetBehindATunnelIsNoEnd guards against a part of a response that looks complete because the write of the upload
// met the server's reset in the daemon that grants the tunnel.
func TestResetBehindATunnelIsNoEnd(t *testing.T) {
	var n, complete atomic.Int64
	server := startServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 512))
		_, _ = io.WriteString(c, unframedPart)
		time.Sleep(time.Duration(n.Add(1)%41) * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, p := startPair(t, server)
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 25 {
				if _, err := upload(t.Context(), p, server, 3<<20); err == nil {
					complete.Add(1)
				}
			}
		})
	}
	workers.Wait()
	require.Zero(t, complete.Load(), "of 200")
}

// TestServerKilledBehindATunnelIsNoEnd guards against a part of a response that looks complete because the daemon's own
// path to the server, which it has lost, hides that the server has ended.
func TestServerKilledBehindATunnelIsNoEnd(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		end := make(chan struct{})
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 512))
			_, _ = io.WriteString(c, unframedPart)
			<-end
			_ = l.Close()
			_ = c.Close()
		}()
		server := l.Addr().String()
		a, p := startPair(t, server)
		a.direct.refuses.Store(!hangs)
		a.direct.hangs.Store(hangs)
		go func() {
			for !a.dialer.CutOff() && t.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			close(end)
		}()
		got, err := upload(t.Context(), p, server, 0)
		require.Equal(t, "part", got)
		require.ErrorIs(t, err, conns.ErrServerEnded, "hangs: %v", hangs)
	}
}

// TestEarlyAnswerThroughATunnelIsWhole guards against an answer of which a part is lost because the granting daemon
// closes the tunnel before it has read the upload.
func TestEarlyAnswerThroughATunnelIsWhole(t *testing.T) {
	const answer = 1 << 20
	whole := strings.Repeat("x", answer)
	server := startServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 512))
		_, _ = io.WriteString(c, "HTTP/1.1 413 Content Too Large\r\nStamp: 1\r\nContent-Length: 1048576\r\n\r\n"+whole)
		_ = c.(*net.TCPConn).CloseWrite()
		// Closing the connection would drop what the kernel of the server has not sent yet.
		<-t.Context().Done()
		_ = c.Close()
	})
	_, p := startPair(t, server)
	for i := range 20 {
		body, err := upload(t.Context(), p, server, 3<<20)
		require.NoError(t, err, "call %d, %d bytes", i, len(body))
		require.Len(t, body, answer)
	}
}

// TestEndOfServerIsFoundBesideStoppedDaemons guards against a response without a length that looks complete after its
// server has ended, because other daemons, which are stopped, don't say whether it refuses their connections too.
func TestEndOfServerIsFoundBesideStoppedDaemons(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 512))
		_, _ = io.WriteString(c, unframedPart)
		_ = l.Close()
		_ = c.Close()
	}()
	stopped, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = stopped.Close() })
	d := startDaemon(t, "a", l.Addr().String())
	d.dialer.SetPeers([]tunnel.Peer{{VM: "b", Address: stopped.Addr().String()}})
	_, err = upload(t.Context(), conns.New(t.Context(), conns.WithDialer(d.dialer)), l.Addr().String(), 0)
	require.ErrorIs(t, err, conns.ErrServerEnded)
}

// grantingServer is the environment variable with the address of the server of a granting daemon in a process of its own.
const grantingServer = "LIMPETLB_TEST_TUNNEL_SERVER"

// TestGrantingProcess is the process of TestStoppedGrantingDaemonSendsNoEnd, and has nothing to test otherwise.
func TestGrantingProcess(t *testing.T) {
	address := os.Getenv(grantingServer)
	if address == "" {
		return
	}
	_, _ = fmt.Println(startDaemon(t, "b", address).peer.Address)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startGranting starts a daemon that grants tunnels, in a process of its own.
func startGranting(t *testing.T, server string) (*os.Process, tunnel.Peer) {
	t.Helper()
	c := exec.Command(os.Args[0], "-test.run=^TestGrantingProcess$", "-test.timeout=60s")
	c.Env = append(os.Environ(), grantingServer+"="+server)
	_, err := c.StdinPipe()
	require.NoError(t, err)
	output, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	return c.Process, tunnel.Peer{VM: "b", Address: strings.TrimSpace(line)}
}

// TestStoppedGrantingDaemonSendsNoEnd guards against a part of a response that looks complete because the granting daemon
// stood still while it passed on an upload and the server reset the connection, or because it was killed.
func TestStoppedGrantingDaemonSendsNoEnd(t *testing.T) {
	const uploads = 8
	for _, killed := range []bool{false, true} {
		answered, reset := make(chan net.Conn, uploads), make(chan struct{})
		server := startServer(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 512))
			_, _ = io.WriteString(c, unframedPart)
			answered <- c
			<-reset
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		process, b := startGranting(t, server)
		a := startDaemon(t, "a", server)
		a.dialer.SetPeers([]tunnel.Peer{b})
		a.direct.refuses.Store(true)
		p := conns.New(t.Context(), conns.WithDialer(a.dialer))
		ended := make(chan error, uploads)
		for range uploads {
			go func() {
				_, err := upload(t.Context(), p, server, 3<<20)
				ended <- err
			}()
		}
		for range uploads {
			<-answered
		}
		require.NoError(t, process.Signal(syscall.SIGSTOP))
		close(reset)
		time.Sleep(300 * time.Millisecond)
		if killed {
			require.NoError(t, process.Kill())
		} else {
			require.NoError(t, process.Signal(syscall.SIGCONT))
		}
		for range uploads {
			require.Error(t, <-ended, "killed: %v", killed)
		}
	}
}
