package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// processServer is the environment variable with the address of the server of a Front in a process of its own.
const processServer = "LIMPETLB_TEST_FRONT_SERVER"

// TestFrontProcess is the process of startFrontProcess, and has nothing to test otherwise.
func TestFrontProcess(t *testing.T) {
	address := os.Getenv(processServer)
	if address == "" {
		return
	}
	fx := newFixtureWithServers(t, nil, streamKind, address)
	_, _ = fmt.Println("url", fx.url)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startFrontProcess starts a Front in a process of its own, and returns it and the URL of the Front.
func startFrontProcess(t *testing.T, server string) (p *os.Process, url string) {
	t.Helper()
	c := exec.Command(os.Args[0], "-test.run=^TestFrontProcess$", "-test.timeout=60s")
	c.Env = append(os.Environ(), processServer+"="+server)
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
	return c.Process, strings.TrimSpace(strings.TrimPrefix(line, "url "))
}

// startOpenStreams starts a server that answers each request by an event, without a length, and keeps the connection.
func startOpenStreams(t *testing.T) (address string, conns <-chan *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	open := make(chan *net.TCPConn, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				_ = c.Close()
				continue
			}
			earlyAnswer{status: http.StatusOK, framing: "close"}.write(c, r.Header.Get("Id"), eventText(0, 0))
			open <- c.(*net.TCPConn)
		}
	}()
	return l.Addr().String(), open
}

// TestStoppedProcessCompletesNoResetStream guards against streams that look complete because their server reset them
// while the daemon stood still.
func TestStoppedProcessCompletesNoResetStream(t *testing.T) {
	const rounds, streams, stop = 12, 8, 300 * time.Millisecond
	complete := 0
	for range rounds {
		address, open := startOpenStreams(t)
		process, url := startFrontProcess(t, address)
		fx := &fixture{url: url}
		var bodies []io.Reader
		for range streams {
			response, err := fx.openRaw(t, "HTTP/1.1", http.MethodGet)
			require.NoError(t, err)
			t.Cleanup(func() { _ = response.Body.Close() })
			require.Equal(t, http.StatusOK, response.StatusCode)
			_, err = io.ReadFull(response.Body, make([]byte, len(eventText(0, 0))))
			require.NoError(t, err)
			bodies = append(bodies, response.Body)
		}
		require.NoError(t, process.Signal(syscall.SIGSTOP))
		for range streams {
			c := <-open
			require.NoError(t, c.SetLinger(0))
			require.NoError(t, c.Close())
		}
		time.Sleep(stop)
		require.NoError(t, process.Signal(syscall.SIGCONT))
		ended := make([]error, streams)
		var readers sync.WaitGroup
		for i, body := range bodies {
			readers.Go(func() { _, ended[i] = io.Copy(io.Discard, body) })
		}
		readers.Wait()
		for _, err := range ended {
			if err == nil {
				complete++
			}
		}
	}
	require.Zero(t, complete, "of %d", rounds*streams)
}
