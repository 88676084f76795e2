package conns_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// serverProcess is set in the environment of a copy of the test that serves as a backend server.
const serverProcess = "CONNS_SERVER_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(serverProcess) != "" {
		serveUnframed()
		return
	}
	os.Exit(m.Run())
}

// serveUnframed prints its address, and answers each request by a part of a response without a length.
func serveUnframed() {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\n\r\npart")
			}
		}()
	}
}

// startProcess starts a server as a process.
func startProcess(t *testing.T) (*exec.Cmd, conns.Target) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), serverProcess+"=1")
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	address, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	return command, conns.Target{Address: strings.TrimSpace(address), Instance: "i"}
}

// TestResponseOfKilledProcessIsNotComplete guards against a response without a length that looks complete because the
// listener of its server, which was killed, still accepted connections.
func TestResponseOfKilledProcessIsNotComplete(t *testing.T) {
	const others, kills = 300, 4
	for _, older := range []int{0, others} {
		complete := 0
		for range kills {
			command, target := startProcess(t)
			var idle []net.Conn
			connect := func(n int) {
				for range n {
					c, err := net.Dial("tcp4", target.Address)
					require.NoError(t, err)
					idle = append(idle, c)
				}
				time.Sleep(20 * time.Millisecond)
			}
			connect(older)
			c, err := conns.New(t.Context()).Get(t.Context(), target, time.Second)
			require.NoError(t, err)
			require.NoError(t, c.Write(newRequest("a")))
			response, err := c.ReadHead(newRequest("a"))
			require.NoError(t, err)
			_, err = io.ReadFull(response.Body, make([]byte, len("part")))
			require.NoError(t, err)
			connect(others - older)
			require.NoError(t, command.Process.Kill())
			if _, err = io.ReadAll(response.Body); err == nil {
				complete++
			}
			require.NoError(t, response.Body.Close())
			c.Close()
			require.Error(t, command.Wait())
			for _, i := range idle {
				_ = i.Close()
			}
		}
		require.Zero(t, complete, "of %d, with %d older connections", kills, older)
	}
}
