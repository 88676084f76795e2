package crowd_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetlab/crowd"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
	"github.com/limpetlb/limpetlb/limpetlab/world"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// The numbers of clients of a crowd.
const (
	// bodyCrowd clients hold more than the limit of memory together if all of their bodies are kept.
	bodyCrowd = 300
	// connCrowd clients hold more than the limit of descriptors.
	connCrowd = 500
	// settleTime is how long a crowd stays before the ordinary request. What the kernel has accepted
	// reaches the process in this time.
	settleTime = 2 * time.Second
	// metricsPort is the port for metrics of limpetp, below those that the stand reserves.
	metricsPort = 9_917
	// unreadCrowd clients ask for streams of unreadEvents events, which don't fit into the buffers of
	// connections.
	unreadCrowd  = 100
	unreadEvents = 400_000
)

// startLimpetp starts the users' platform and limpetp, and returns its entry for callers of a route.
func startLimpetp(t *testing.T, l limits, path, headers string) (*process, crowd.Entry, *stand.Platform) {
	t.Helper()
	w, err := stand.New(t.Context(), stand.Config{Engines: 2, Models: 2, ModelsPerEngine: 2})
	require.NoError(t, err)
	settings, front, ready, err := w.Settings("vm")
	require.NoError(t, err)
	settings = strings.Replace(settings, "memory_mb = 2000", l.settings(), 1)
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	p := startProcess(t, build(t, "limpetp", "github.com/limpetlb/limpetlb/platform/limpetp"), l, []string{"LIMPETLB_BOOT=" + file, fmt.Sprint("LIMPETP_METRICS_PORT=", metricsPort)}, nil)
	var first, last int
	_, ports, _ := strings.Cut(settings, "port_range = ")
	_, err = fmt.Sscanf(ports, "[%d, %d]", &first, &last)
	require.NoError(t, err)
	ip, _, err := net.SplitHostPort(front)
	require.NoError(t, err)
	p.linkAddress, p.tunnelAddress = net.JoinHostPort(ip, strconv.Itoa(first)), net.JoinHostPort(ip, strconv.Itoa(first+1))
	p.readyAddress = ready
	require.Eventually(t, func() bool { return stand.Ready(ready) }, startTimeout, 50*time.Millisecond)
	e := crowd.Entry{Address: front, Head: "POST " + path + "1 HTTP/1.1\r\nHost: " + stand.Host + "\r\nRequest-Id: {id}\r\n" + headers}
	require.NoError(t, ask(t.Context(), e))
	return p, e, w
}

// startLimpetd starts the environment of limpetd and limpetd, and returns its entry for callers of a
// plain service.
func startLimpetd(t *testing.T, l limits) (*process, crowd.Entry) {
	t.Helper()
	d := deploy.Andesoft()
	d.DataCentres, d.ServiceVMs = d.DataCentres[:1], 1
	w, err := world.Start(t.Context(), world.Config{Deployment: d})
	require.NoError(t, err)
	t.Cleanup(w.Stop)
	var p *process
	f := fleet.New(d, w, func(_ context.Context, c conf.Config) (fleet.Daemon, error) {
		a := make(chan addresses, 1)
		p = startProcess(t, build(t, "limpetd", "github.com/limpetlb/limpetlb/limpetd"), l, environment(c, l), func(text string) {
			if strings.Contains(text, "daemon_started") {
				a <- parseAddresses(text)
			}
		})
		select {
		case found := <-a:
			p.operatorAddress, p.peerAddress = found["operators"], found["peers"]
			return &daemon{process: p, addresses: found}, nil
		case <-time.After(startTimeout):
			return nil, context.DeadlineExceeded
		}
	})
	m, err := f.Start(t.Context(), d.DataCentres[0])
	require.NoError(t, err)
	require.NoError(t, f.Apply(t.Context(), d.Document(1)))
	e := crowd.Entry{Address: m.Daemon.CallerAddr(), Head: "POST /services/" + d.Service + d.AtMostOncePath + " HTTP/1.1\r\nHost: limpetd\r\n" +
		"Idempotency-Key: {id}\r\nAuthorization: Bearer " + deploy.CallerKey(deploy.CallerNormal) + "\r\nContent-Type: application/json\r\n"}
	require.NoError(t, ask(t.Context(), e))
	return p, e
}

// runCrowd sends a crowd to an entry, and checks that an ordinary request is answered while the crowd
// stays, and the limits of the process.
func runCrowd(t *testing.T, p *process, e, ordinary crowd.Entry, clients crowd.Pattern, n int) {
	t.Helper()
	stop := crowd.Start(t.Context(), e, clients, n)
	time.Sleep(settleTime)
	err := ask(t.Context(), ordinary)
	t.Logf("%d of %d connections were closed by the process", stop(), n)
	p.check(t)
	require.NoError(t, err, "an ordinary request was not answered")
}

// TestBodiesStayWithinMemory guards against bodies that are read without a bound over all calls, which
// end a process at the memory limit of its VM.
func TestBodiesStayWithinMemory(t *testing.T) {
	for _, clients := range crowd.BodyPatterns {
		t.Run(clients.Name, func(t *testing.T) {
			p, e, _ := startLimpetp(t, standardLimits, stand.SafeRoute, "")
			runCrowd(t, p, e, e, clients, bodyCrowd)
		})
	}
}

// TestConnectionsStayWithinDescriptors guards against clients that take all descriptors of a process.
func TestConnectionsStayWithinDescriptors(t *testing.T) {
	for _, clients := range crowd.ConnPatterns {
		t.Run(clients.Name, func(t *testing.T) {
			p, e, _ := startLimpetp(t, standardLimits, stand.SafeRoute, "")
			runCrowd(t, p, e, e, clients, connCrowd)
		})
	}
}

// TestUnreadStreamsFreeEngines guards against clients that hold engines by not reading their answers.
func TestUnreadStreamsFreeEngines(t *testing.T) {
	p, e, w := startLimpetp(t, standardLimits, stand.EngineRoute, "Model: "+stand.Model(0)+"\r\n")
	for _, engine := range w.Engines {
		engine.EventPeriod, engine.EventCount = 0, unreadEvents
	}
	ordinary := e
	ordinary.Head = strings.Replace(e.Head, stand.EngineRoute, stand.SafeRoute, 1)
	ordinary.Head = strings.Replace(ordinary.Head, "Model: "+stand.Model(0)+"\r\n", "", 1)
	runCrowd(t, p, e, ordinary, crowd.UnreadPattern, unreadCrowd)
}

// TestBodiesOfOwnInterfaceStayWithinMemory is TestBodiesStayWithinMemory for callers of limpetd.
func TestBodiesOfOwnInterfaceStayWithinMemory(t *testing.T) {
	for _, clients := range crowd.BodyPatterns {
		t.Run(clients.Name, func(t *testing.T) {
			p, e := startLimpetd(t, standardLimits)
			runCrowd(t, p, e, e, clients, bodyCrowd)
		})
	}
}

// TestConnectionsOfOwnInterfaceStayWithinDescriptors is TestConnectionsStayWithinDescriptors for callers
// of limpetd.
func TestConnectionsOfOwnInterfaceStayWithinDescriptors(t *testing.T) {
	for _, clients := range crowd.ConnPatterns {
		t.Run(clients.Name, func(t *testing.T) {
			p, e := startLimpetd(t, standardLimits)
			runCrowd(t, p, e, e, clients, connCrowd)
		})
	}
}
