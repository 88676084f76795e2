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
	// controlBytes is what a daemon may send and receive in a second, and
	// segmentBytes what TCP and IP add to a segment.
	controlBytes = 18_000
	segmentBytes = 52
	// quickPeriod stands for member.DefaultPeriod, to measure in less time.
	quickPeriod = 25 * time.Millisecond
	// fixedPeriods is the number of periods after which an engine's slots
	// change, and documentPeriods that after which a document does.
	fixedPeriods    = 60
	documentPeriods = 125
	// readEngines is the number of engines that a daemon of 52 reads when one
	// daemon reads each of 86, rounded up, and engineSlots that of the slots of
	// each when 900 models with 3 adapters are held once.
	readEngines = 2
	engineSlots = 41
)

// counted counts the bytes and segments of connections.
type counted struct {
	net.Conn
	bytes, segments *atomic.Int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	c.segments.Add(1)
	return n, err
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	c.segments.Add(1)
	return n, err
}

// load is what a daemon of the target size has to tell: the engines that it
// reads, and its part of demand and use.
type load struct {
	mu     sync.Mutex
	rounds int
}

func (l *load) Share() member.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rounds++
	var s member.Share
	for i := range readEngines {
		r := engine.Report{
			VM: fmt.Sprintf("engine-%03d", i), Instance: fmt.Sprintf("engine-%03d-instance", i), At: time.Now(),
			Sequence: int64(l.rounds), MemoryMB: 4 * 80_000, UsedMB: 280_000, Running: 40 + l.rounds%7, Waiting: l.rounds % 5,
			WaitingTokens: 900 + l.rounds%300, TokensPerSecond: 1016.5, PromptTokensPerSecond: 20_000.5, BatchLimit: 64,
		}
		for k := range engineSlots {
			slot := envdoc.Slot{Model: fmt.Sprintf("programme-%02d", k/6), Adapter: fmt.Sprintf("programme-%02d.adapter", k), Version: "2026.11"}
			r.Slots = append(r.Slots, slot)
		}
		r.Fence = int64(l.rounds / fixedPeriods)
		s.Loads = append(s.Loads, r)
	}
	for k := range 30 {
		s.Demand = append(s.Demand, member.ModelDemand{Model: fmt.Sprintf("programme-%02d", k), PerSecond: 0.2 + float64(l.rounds%17*k)/100, TokensPerSecond: 60 + float64(l.rounds%13*k), Queued: k % 3})
	}
	for k := range 10 {
		s.Use = append(s.Use, member.CallerUse{Caller: fmt.Sprintf("caller-%02d", k), PerSecond: 0.5 + float64(l.rounds%11*k)/100})
	}
	return s
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rounds
}

// Receive takes what peers told and leaves it.
func (l *load) Receive(string, member.Share) {}

// list is a VM list that does not change.
type list []store.VM

func (l list) VMs(context.Context) ([]store.VM, error) { return l, nil }

// mute is a transport that sends nothing.
type mute struct{}

func (mute) Tell(string, member.Message) error { return nil }

func (mute) Exchange(context.Context, string, member.Message) (member.Message, error) {
	return member.Message{}, nil
}

func (mute) Document(context.Context, string) (member.Copy, error) { return member.Copy{}, nil }

// hear lets a duty hear all daemons at first, and the near ones each second.
func hear(ctx context.Context, u *member.Duty, vms list, near int) {
	var all member.Message
	for _, vm := range vms[1:] {
		all.Daemons = append(all.Daemons, member.Daemon{
			VM: vm.ID, Instance: vm.ID + "-instance", Sequence: 3, DataCentre: vm.DataCentre, Region: vm.Region,
			Address: vm.Address, Revision: 7, Digest: envdoc.Digest(nil), Level: 1, Ready: true,
		})
	}
	u.Receive(member.Sender{VM: vms[1].ID}, all)
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

// fleet lists near entry VMs of one data centre and all others of six.
func fleet(near, all int) list {
	var vms list
	for i := range all {
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

// usage returns the processor time of this process.
func usage(t testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is what a daemon spends in a period.
type cost struct {
	// payload is sent and received over TLS, wire adds the headers of TCP
	// and IP.
	payload, wire float64
	processor     time.Duration
	// memory is the heap and the stacks in use, in bytes.
	memory uint64
}

// memory returns the heap and stacks in use.
func memory() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// newSecrets returns certificates for both ends of a connection.
func newSecrets(ctx context.Context, t testing.TB) *keys.Duty {
	a, err := certs.NewAuthority()
	require.NoError(t, err)
	certificate, key, err := a.Issue(keys.PeerName)
	require.NoError(t, err)
	secrets, err := keys.New(ctx, keys.Config{Certificate: keys.Secret(certificate), Key: keys.Secret(key), Authority: keys.Secret(a.PEM)}, keys.Deps{})
	require.NoError(t, err)
	return secrets
}

// measure lets one daemon tell a fleet for some periods. All connections lead to
// one receiver, so that the process does what one daemon does: send to all near
// peers, and receive from as many. The bytes of a daemon are twice those of the
// sending connections. Demand goes to one near peer while it is known which of
// them has placed models, else to all.
func measure(t testing.TB, near, all, periods int, placed bool) cost {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	secrets := newSecrets(ctx, t)
	vms := fleet(near+1, all)

	receiver := member.New(ctx, member.Config{VM: vms[1].ID, Instance: "receiver", Address: vms[1].Address},
		member.Deps{List: vms, Peers: mute{}, Receiver: &load{}}, member.WithPeriod(time.Hour), member.WithSeed(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	config := Config{Environment: "e/production", VM: vms[0].ID, Instance: "sender"}
	NewServer(ctx, config, listener, ServerDeps{TLS: secrets.PeerServer(), Members: receiver})

	var bytes, segments atomic.Int64
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", listener.Addr().String())
		return &counted{Conn: conn, bytes: &bytes, segments: &segments}, err
	}
	client := NewClient(ctx, config, ClientDeps{TLS: secrets.PeerClient()}, WithDialer(dial))
	shares, holder := &load{}, ""
	if placed {
		holder = vms[1].ID
	}
	sender := member.New(ctx, member.Config{VM: vms[0].ID, Instance: "sender", DataCentre: "lima-0", Region: "lima", Address: vms[0].Address},
		member.Deps{List: vms, Peers: client, Shares: shares, Holder: func() string { return holder }}, member.WithPeriod(quickPeriod), member.WithSeed(1))
	go hear(ctx, sender, vms, near)
	require.Eventually(t, func() bool { return shares.count() > 40 }, time.Minute, quickPeriod)

	rounds, before, sent, parts := shares.count(), usage(t), bytes.Load(), segments.Load()
	for revision := int64(1); shares.count() < rounds+periods; revision++ {
		sender.Announce(member.Announcement{Revision: revision, Digest: envdoc.Digest(nil)})
		next := min(shares.count()+documentPeriods, rounds+periods)
		require.Eventually(t, func() bool { return shares.count() >= next }, time.Minute, quickPeriod)
	}
	n := float64(shares.count() - rounds)
	payload := 2 * float64(bytes.Load()-sent) / n
	return cost{
		payload:   payload,
		wire:      payload + 2*segmentBytes*float64(segments.Load()-parts)/n,
		processor: time.Duration(float64(usage(t)-before) / n),
		memory:    memory(),
	}
}

// TestBytesOfADaemon requires the bytes of a daemon at the target size, headers
// included, to stay within what control may take at one period a second. The
// daemon that places models receives the demand of all near peers, as much as
// one would send that tells all.
func TestBytesOfADaemon(t *testing.T) {
	usual := measure(t, 51, 360, documentPeriods, true)
	all := measure(t, 51, 360, documentPeriods, false)
	placing := (usual.wire + all.wire) / 2
	t.Logf("51 near of 360 daemons, a second: %.0f bytes of payload, %.0f on the wire, %.0f for the daemon that places models",
		usual.payload, usual.wire, placing)
	require.LessOrEqual(t, placing, float64(controlBytes))
	require.Greater(t, usual.payload, 51*2*40.0, "fewer bytes than the loads alone")
}

// BenchmarkPeriod measures the slopes of bytes and processor time over near
// peers and over daemons in all.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range []struct{ near, all int }{{2, 9}, {8, 9}, {13, 360}, {26, 360}, {51, 90}, {51, 180}, {51, 360}} {
		b.Run(fmt.Sprintf("near=%d/daemons=%d", size.near, size.all), func(b *testing.B) {
			c := measure(b, size.near, size.all, max(b.N, documentPeriods), true)
			b.ReportMetric(c.payload, "payload_bytes/period")
			b.ReportMetric(c.wire, "wire_bytes/period")
			b.ReportMetric(float64(c.processor.Microseconds()), "cpu_us/period")
			b.ReportMetric(float64(c.memory)/1e6, "memory_mb")
			b.ReportMetric(0, "ns/op")
		})
	}
}
