package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// holderProvider returns the reports of two engines for each slot if held is set, and answerErr.
type holderProvider struct {
	held      bool
	answerErr error
}

func (h *holderProvider) Holders(slots []envdoc.Slot) ([]engine.Report, error) {
	var reports []engine.Report
	for i := 0; h.held && i < 2*len(slots); i++ {
		reports = append(reports, engine.Report{
			VM: fmt.Sprintf("engine-vm-%03d", i), Instance: "0b54a7a2-39c5-4d0c-9a57-0f3ad4ad4ad4", MeasuredAt: time.UnixMilli(1_700_000_000_000),
			Sequence: 100_000, MemoryMB: 4 * 80_000, UsedMB: 280_000, Running: 40, Waiting: 5, WaitingTokens: 900,
			TokensPerSecond: 1016.5, PromptTokensPerSecond: 20_000.5, BatchLimit: 64, Fence: 9,
			Slots: slots[i/2 : i/2+1],
		})
	}
	return reports, h.answerErr
}

// meteredClient returns a client of a new server, over mutual TLS on loopback, and the
// address of the server. The bytes and segments of the client's connections are counted.
func meteredClient(ctx context.Context, t *testing.T, deps ServerDeps, bytes, segments *atomic.Int64) (client *Client, address string) {
	tlsKeys := newTLSKeys(ctx, t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	config := Config{Environment: "e/production", VM: "entry-vm-000", Instance: "0b54a7a2-39c5-4d0c-9a57-0f3ad4ad4ad4"}
	deps.TLS = tlsKeys.PeerServer()
	NewServer(ctx, config, listener, deps)
	client = NewClient(ctx, config, ClientDeps{TLS: tlsKeys.PeerClient()}, WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return &countingConn{Conn: conn, bytes: bytes, segments: segments}, err
	}))
	return client, listener.Addr().String()
}

// TestHoldersQueryTraffic measures the bytes of a QueryHolders call and its answer on the wire.
// The estimates by which package reach limits its traffic must cover these bytes: 300
// bytes, 60 for each slot, 160 for each report, and 6 KB for a new connection.
func TestHoldersQueryTraffic(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	provider := &holderProvider{}
	const connectionBytes = 6 << 10
	var bytes, segments atomic.Int64
	client, address := meteredClient(ctx, t, ServerDeps{Holders: provider}, &bytes, &segments)
	for _, tt := range []struct {
		slots int
		held  bool
	}{{1, false}, {1, true}, {16, false}, {16, true}} {
		var slots []envdoc.Slot
		for i := range tt.slots {
			slots = append(slots, envdoc.Slot{Model: fmt.Sprintf("programme-%02d", i), Adapter: fmt.Sprintf("programme-%02d.adapter", i), Version: "2026.11"})
		}
		provider.held = tt.held
		query := func() int {
			got, err := client.QueryHolders(ctx, address, slots)
			require.NoError(t, err)
			want, _ := provider.Holders(slots)
			require.Len(t, got, len(want))
			for i := range want {
				require.Equal(t, want[i].Slots, got[i].Slots)
				require.Equal(t, want[i].Instance, got[i].Instance)
			}
			return len(got)
		}
		if query(); tt.slots == 1 && !tt.held {
			t.Logf("the first query with a new connection: %d bytes on the wire", bytes.Load()+segmentBytes*segments.Load())
			require.LessOrEqual(t, bytes.Load()+segmentBytes*segments.Load(), int64(connectionBytes+360))
		}
		const queries = 50
		bytesBefore, segmentsBefore, reports := bytes.Load(), segments.Load(), 0
		for range queries {
			reports += query()
		}
		payload, wire := bytes.Load()-bytesBefore, segmentBytes*(segments.Load()-segmentsBefore)
		perQuery := float64(payload+wire) / queries
		t.Logf("%d slots, %d reports: %.0f bytes of payload, %.0f on the wire", tt.slots, reports/queries, float64(payload)/queries, perQuery)
		require.LessOrEqual(t, perQuery, float64(300+60*tt.slots+160*reports/queries))
	}
	provider.answerErr = code.Errorf(code.QueueFull, "too many")
	_, err := client.QueryHolders(ctx, address, nil)
	require.Equal(t, code.QueueFull, code.Of(err))
}
