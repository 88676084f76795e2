package crowd_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/crowd"
	"github.com/limpetlb/limpetlb/platform/stand"
)

const (
	// tableCrowd is the number of clients of a cell of the table, and mixedCrowd that of each pattern where all come
	// together.
	tableCrowd = 150
	mixedCrowd = 20
	// cellTime is how long the crowd of a cell stays before the ordinary request.
	cellTime = 300 * time.Millisecond
)

// otherEntry returns an entry for requests with a path.
func otherEntry(address, path string) crowd.Entry {
	return crowd.Entry{Address: address, Head: "GET " + path + " HTTP/1.1\r\nHost: h\r\n"}
}

// limpetpEntries returns the entries of limpetp by name.
func limpetpEntries(p *process, callers crowd.Entry) map[string]crowd.Entry {
	host, _, _ := net.SplitHostPort(callers.Address)
	return map[string]crowd.Entry{
		"callers":   callers,
		"readiness": otherEntry(p.readyAddress, "/"),
		"metrics":   otherEntry(net.JoinHostPort(host, strconv.Itoa(metricsPort)), "/metrics"),
		"links":     otherEntry(p.linkAddress, "/"),
		"tunnels":   otherEntry(p.tunnelAddress, "/"),
	}
}

// limpetdEntries returns the entries of limpetd by name.
func limpetdEntries(p *process, callers crowd.Entry) map[string]crowd.Entry {
	return map[string]crowd.Entry{
		"callers":   callers,
		"operators": otherEntry(p.operatorAddress, "/v1/status"),
		"health":    otherEntry(p.operatorAddress, "/livez"),
		"peers":     otherEntry(p.peerAddress, "/"),
	}
}

// playTable plays all patterns at each entry, one after the other, and checks the process after each.
func playTable(t *testing.T, p *process, entries map[string]crowd.Entry) {
	for name, e := range entries {
		for _, clients := range crowd.Patterns() {
			t.Run(name+"/"+clients.Name, func(t *testing.T) {
				stop := crowd.Start(t.Context(), e, clients, tableCrowd)
				time.Sleep(cellTime)
				err := ask(t.Context(), entries["callers"])
				stop()
				p.check(t)
				require.NoError(t, err, "an ordinary request was not answered")
			})
		}
	}
}

// playMix plays all patterns at all entries at the same time.
func playMix(t *testing.T, p *process, entries map[string]crowd.Entry) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var starting sync.WaitGroup
	var mu sync.Mutex
	var stops []func() int
	for _, e := range entries {
		for _, clients := range crowd.Patterns() {
			starting.Go(func() {
				stop := crowd.Start(ctx, e, clients, mixedCrowd)
				mu.Lock()
				defer mu.Unlock()
				stops = append(stops, stop)
			})
		}
	}
	time.Sleep(settleTime)
	err := ask(t.Context(), entries["callers"])
	// Clients whose writes block end, too.
	cancel()
	starting.Wait()
	for _, stop := range stops {
		stop()
	}
	p.check(t)
	require.NoError(t, err, "an ordinary request was not answered")
}

// TestEntriesBearEachPattern guards against entries that a pattern of clients harms which other entries bear.
func TestEntriesBearEachPattern(t *testing.T) {
	p, e, _ := startLimpetp(t, limits{memoryMB: 144}, stand.SafeRoute, "")
	playTable(t, p, limpetpEntries(p, e))
}

// TestOwnEntriesBearEachPattern is TestEntriesBearEachPattern for limpetd.
func TestOwnEntriesBearEachPattern(t *testing.T) {
	p, e := startLimpetd(t, limits{memoryMB: 144})
	playTable(t, p, limpetdEntries(p, e))
}

// TestEntriesBearAllPatterns guards against crowds of all patterns together, on VMs of several sizes.
func TestEntriesBearAllPatterns(t *testing.T) {
	for _, l := range []limits{{96, 0}, {96, 400}, {144, 0}, {144, 400}, {536, 0}, {536, 3075}} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", l.memoryMB, l.maxFDs), func(t *testing.T) {
			p, e, _ := startLimpetp(t, l, stand.SafeRoute, "")
			playMix(t, p, limpetpEntries(p, e))
		})
		t.Run(fmt.Sprintf("limpetd, %d MB, %d descriptors", l.memoryMB, l.maxFDs), func(t *testing.T) {
			p, e := startLimpetd(t, l)
			playMix(t, p, limpetdEntries(p, e))
		})
	}
}

// TestLargestRequestIsServed guards against limits that refuse a single request inside them: with the largest header, of
// the shortest lines, and the largest body, on the smallest VM, in calm.
func TestLargestRequestIsServed(t *testing.T) {
	smallest := limits{memoryMB: 96}
	p, e, _ := startLimpetp(t, smallest, stand.SafeRoute, "")
	require.NoError(t, crowd.AskLargest(t.Context(), e, crowd.HeaderLimit, crowd.BodyLimit))
	p.check(t)
	own, o := startLimpetd(t, smallest)
	require.NoError(t, crowd.AskLargest(t.Context(), o, crowd.HeaderLimit, crowd.BodyLimit))
	own.check(t)
}
