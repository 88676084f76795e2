package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/keys"
	"github.com/limpetlb/limpetlb/limpetd/keys/certs"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// controlBytesPerSecond bounds the control traffic that a daemon sends and
	// receives. segmentBytes is the size of the TCP and IP headers of a segment.
	controlBytesPerSecond = 18_000
	segmentBytes          = 52
	// testPeriod replaces member.DefaultPeriod to shorten the measurement.
	testPeriod = 25 * time.Millisecond
	// fixedChangePeriods is the number of periods after which the seldom-changing
	// part of an engine's report changes, and documentChangePeriods the number of
	// periods after which the document changes.
	fixedChangePeriods    = 60
	documentChangePeriods = 125
	// enginesPerDaemon is the number of engines whose reports a daemon reads when
	// each of 86 engines is read by one of 52 daemons, rounded up. slotsPerEngine
	// is the number of slots of an engine when 900 models with 3 adapters have one
	// replica each.
	enginesPerDaemon = 2
	slotsPerEngine   = 41
)

// countingConn counts the bytes of a connection, and each read or write as a segment.
type countingConn struct {
	net.Conn
	bytes, segments *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	c.segments.Add(1)
	return n, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	c.segments.Add(1)
	return n, err
}

// fakeReports provides the share of a daemon at the target size: the reports of the
// engines that the daemon reads, and the daemon's part of the demand and use.
type fakeReports struct {
	mu     sync.Mutex
	rounds int
}

func (f *fakeReports) DaemonReport() member.DaemonReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rounds++
	var s member.DaemonReport
	for i := range enginesPerDaemon {
		r := engine.Report{
			VM: fmt.Sprintf("engine-%03d", i), Instance: fmt.Sprintf("engine-%03d-instance", i), MeasuredAt: time.Now(),
			Sequence: int64(f.rounds), MemoryMB: 4 * 80_000, UsedMB: 280_000, Running: 40 + f.rounds%7, Waiting: f.rounds % 5,
			WaitingTokens: 900 + f.rounds%300, TokensPerSecond: 1016.5, PromptTokensPerSecond: 20_000.5, BatchLimit: 64,
		}
		for k := range slotsPerEngine {
			slot := envdoc.Slot{Model: fmt.Sprintf("programme-%02d", k/6), Adapter: fmt.Sprintf("programme-%02d.adapter", k), Version: "2026.11"}
			r.Slots = append(r.Slots, slot)
		}
		r.Fence = int64(f.rounds / fixedChangePeriods)
		s.EngineReports = append(s.EngineReports, r)
	}
	for k := range 30 {
		s.Demand = append(s.Demand, member.ModelDemand{Model: fmt.Sprintf("programme-%02d", k), PerSecond: 0.2 + float64(f.rounds%17*k)/100, TokensPerSecond: 60 + float64(f.rounds%13*k), Queued: k % 3})
	}
	for k := range 10 {
		s.Usage = append(s.Usage, member.CallerUsage{Caller: fmt.Sprintf("caller-%02d", k), PerSecond: 0.5 + float64(f.rounds%11*k)/100})
	}
	return s
}

func (f *fakeReports) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rounds
}

// Receive discards the reports of peers.
func (f *fakeReports) Receive(string, member.DaemonReport) {}

// vmList is a VM list that does not change.
type vmList []store.VM

func (v vmList) VMs(context.Context) ([]store.VM, error) { return v, nil }

// discardTransport is a member.Transport that sends nothing.
type discardTransport struct{}

func (discardTransport) Send(string, member.Message) error { return nil }

func (discardTransport) Exchange(context.Context, string, member.Message) (member.Message, error) {
	return member.Message{}, nil
}

func (discardTransport) Document(context.Context, string) (member.DocumentCopy, error) {
	return member.DocumentCopy{}, nil
}

// deliverHeartbeats delivers the states of all daemons to u once, and an empty message
// from each of the near daemons every second.
func deliverHeartbeats(ctx context.Context, u *member.Membership, vms vmList, near int) {
	var states member.Message
	for _, vm := range vms[1:] {
		states.Daemons = append(states.Daemons, member.Daemon{
			VM: vm.ID, Instance: vm.ID + "-instance", Sequence: 3, DataCentre: vm.DataCentre, Region: vm.Region,
			Address: vm.Address, Revision: 7, Digest: envdoc.Digest(nil), Level: 1, Ready: true,
		})
	}
	u.Receive(member.Sender{VM: vms[1].ID}, states)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for _, vm := range vms[1 : near+1] {
			u.Receive(member.Sender{VM: vm.ID}, member.Message{})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fleet returns total entry VMs: near of them in one data centre, the others spread over
// six.
func fleet(near, total int) vmList {
	var vms vmList
	for i := range total {
		dc := 0
		if i >= near {
			dc = 1 + i%6
		}
		id := fmt.Sprintf("entry-vm-%03d", i)
		vms = append(vms, store.VM{
			ID: id, Kind: store.KindEntry, DataCentre: fmt.Sprintf("lima-%d", dc), Region: "lima",
			Address: fmt.Sprintf("10.0.%d.%d:8081", i/200, i%200), State: store.StateLive,
		})
	}
	return vms
}

// cpuTime returns the CPU time of this process.
func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usage holds the resources that a daemon uses in a period.
type usage struct {
	// payload is the number of bytes sent and received with TLS; wire adds the
	// TCP and IP headers.
	payload, wire float64
	cpu           time.Duration
	// memoryInUse is the size of the heap and the stacks in use, in bytes.
	memoryInUse uint64
}

// memoryInUse returns the size of the heap and the stacks in use.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// newTLSKeys returns keys for both ends of a connection.
func newTLSKeys(ctx context.Context, t testing.TB) *keys.Reloader {
	a, err := certs.NewAuthority()
	require.NoError(t, err)
	certificate, key, err := a.Issue(keys.PeerName)
	require.NoError(t, err)
	tlsKeys, err := keys.New(ctx, keys.Config{Certificate: keys.Secret(certificate), Key: keys.Secret(key), Authority: keys.Secret(a.PEM)}, keys.Deps{})
	require.NoError(t, err)
	return tlsKeys
}

// measureUsage runs the membership messages of one daemon for a number of periods. All
// connections lead to one receiver, so that the process does the work of one daemon:
// sending to all near peers and receiving from as many. The bytes of a daemon are
// therefore twice the bytes of the sending connections. If placed is set, Deps.Holder
// returns the near peer that places models, and the sender sends demand only to this
// peer; otherwise the sender sends demand to all near peers.
func measureUsage(t testing.TB, near, total, periods int, placed bool) usage {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	tlsKeys := newTLSKeys(ctx, t)
	vms := fleet(near+1, total)

	receiver := member.New(ctx, member.Config{VM: vms[1].ID, Instance: "receiver", Address: vms[1].Address},
		member.Deps{List: vms, Peers: discardTransport{}, Receiver: &fakeReports{}}, member.WithPeriod(time.Hour), member.WithSeed(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	config := Config{Environment: "e/production", VM: vms[0].ID, Instance: "sender"}
	NewServer(ctx, config, listener, ServerDeps{TLS: tlsKeys.PeerServer(), Members: receiver})

	var bytes, segments atomic.Int64
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", listener.Addr().String())
		return &countingConn{Conn: conn, bytes: &bytes, segments: &segments}, err
	}
	client := NewClient(ctx, config, ClientDeps{TLS: tlsKeys.PeerClient()}, WithDialer(dial))
	reports, holder := &fakeReports{}, ""
	if placed {
		holder = vms[1].ID
	}
	sender := member.New(ctx, member.Config{VM: vms[0].ID, Instance: "sender", DataCentre: "lima-0", Region: "lima", Address: vms[0].Address},
		member.Deps{List: vms, Peers: client, Reports: reports, LeaseHolder: func() string { return holder }}, member.WithPeriod(testPeriod), member.WithSeed(1))
	go deliverHeartbeats(ctx, sender, vms, near)
	require.Eventually(t, func() bool { return reports.count() > 40 }, time.Minute, testPeriod)

	roundsBefore, cpuBefore, bytesBefore, segmentsBefore := reports.count(), cpuTime(t), bytes.Load(), segments.Load()
	for revision := int64(1); reports.count() < roundsBefore+periods; revision++ {
		sender.Announce(member.Announcement{Revision: revision, Digest: envdoc.Digest(nil)})
		next := min(reports.count()+documentChangePeriods, roundsBefore+periods)
		require.Eventually(t, func() bool { return reports.count() >= next }, time.Minute, testPeriod)
	}
	n := float64(reports.count() - roundsBefore)
	payload := 2 * float64(bytes.Load()-bytesBefore) / n
	return usage{
		payload:     payload,
		wire:        payload + 2*segmentBytes*float64(segments.Load()-segmentsBefore)/n,
		cpu:         time.Duration(float64(cpuTime(t)-cpuBefore) / n),
		memoryInUse: memoryInUse(),
	}
}

// TestDaemonTraffic requires the traffic of a daemon at the target size, including TCP and
// IP headers, to stay within controlBytesPerSecond at one period a second. The daemon that
// places models receives the demand of all near peers, which is as much as a daemon sends
// when it sends demand to all near peers.
func TestDaemonTraffic(t *testing.T) {
	demandToOne := measureUsage(t, 51, 360, documentChangePeriods, true)
	demandToAll := measureUsage(t, 51, 360, documentChangePeriods, false)
	placingDaemon := (demandToOne.wire + demandToAll.wire) / 2
	t.Logf("51 near of 360 daemons, a second: %.0f bytes of payload, %.0f on the wire, %.0f for the daemon that places models",
		demandToOne.payload, demandToOne.wire, placingDaemon)
	require.LessOrEqual(t, placingDaemon, float64(controlBytesPerSecond))
	require.Greater(t, demandToOne.payload, 51*2*40.0, "fewer bytes than the load reports alone")
}

// BenchmarkPeriod measures how the traffic and CPU time of a period grow with the number
// of near peers and of all daemons.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range []struct{ near, total int }{{2, 9}, {8, 9}, {13, 360}, {26, 360}, {51, 90}, {51, 180}, {51, 360}} {
		b.Run(fmt.Sprintf("near=%d/daemons=%d", size.near, size.total), func(b *testing.B) {
			c := measureUsage(b, size.near, size.total, max(b.N, documentChangePeriods), true)
			b.ReportMetric(c.payload, "payload_bytes/period")
			b.ReportMetric(c.wire, "wire_bytes/period")
			b.ReportMetric(float64(c.cpu.Microseconds()), "cpu_us/period")
			b.ReportMetric(float64(c.memoryInUse)/1e6, "memory_mb")
			b.ReportMetric(0, "ns/op")
		})
	}
}
