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

// holding answers with two engines for each slot, or refuses.
type holding struct {
	holds   bool
	refuses error
}

func (h *holding) Holders(slots []envdoc.Slot) ([]engine.Report, error) {
	var reports []engine.Report
	for i := 0; h.holds && i < 2*len(slots); i++ {
		reports = append(reports, engine.Report{
			VM: fmt.Sprintf("engine-vm-%03d", i), Instance: "0b54a7a2-39c5-4d0c-9a57-0f3ad4ad4ad4", At: time.UnixMilli(1_700_000_000_000),
			Sequence: 100_000, MemoryMB: 4 * 80_000, UsedMB: 280_000, Running: 40, Waiting: 5, WaitingTokens: 900,
			TokensPerSecond: 1016.5, PromptTokensPerSecond: 20_000.5, BatchLimit: 64, Fence: 9,
			Slots: slots[i/2 : i/2+1],
		})
	}
	return reports, h.refuses
}

// metered returns a client of a server over mutual TLS on loopback, whose bytes and
// segments are counted.
func metered(ctx context.Context, t *testing.T, deps ServerDeps, bytes, segments *atomic.Int64) (client *Client, address string) {
	secrets := newSecrets(ctx, t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	config := Config{Environment: "e/production", VM: "entry-vm-000", Instance: "0b54a7a2-39c5-4d0c-9a57-0f3ad4ad4ad4"}
	deps.TLS = secrets.PeerServer()
	NewServer(ctx, config, listener, deps)
	client = NewClient(ctx, config, ClientDeps{TLS: secrets.PeerClient()}, WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return &counted{Conn: conn, bytes: bytes, segments: segments}, err
	}))
	return client, listener.Addr().String()
}

// TestBytesOfAQuestion measures what a question for engines and its answer cost
// on the wire, and requires that the figures by which package reach limits itself
// cover it: 300 bytes, 60 for each slot, 160 for each report,
// and 6 KB for a new connection.
func TestBytesOfAQuestion(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answers := &holding{}
	const linkBytes = 6 << 10
	var bytes, segments atomic.Int64
	client, address := metered(ctx, t, ServerDeps{Holders: answers}, &bytes, &segments)
	for _, x := range []struct {
		slots int
		holds bool
	}{{1, false}, {1, true}, {16, false}, {16, true}} {
		var slots []envdoc.Slot
		for i := range x.slots {
			slots = append(slots, envdoc.Slot{Model: fmt.Sprintf("programme-%02d", i), Adapter: fmt.Sprintf("programme-%02d.adapter", i), Version: "2026.11"})
		}
		answers.holds = x.holds
		ask := func() int {
			got, err := client.Holders(ctx, address, slots)
			require.NoError(t, err)
			want, _ := answers.Holders(slots)
			require.Len(t, got, len(want))
			for i := range want {
				require.Equal(t, want[i].Slots, got[i].Slots)
				require.Equal(t, want[i].Instance, got[i].Instance)
			}
			return len(got)
		}
		if ask(); x.slots == 1 && !x.holds {
			t.Logf("the first question with its connection: %d bytes on the wire", bytes.Load()+segmentBytes*segments.Load())
			require.LessOrEqual(t, bytes.Load()+segmentBytes*segments.Load(), int64(linkBytes+360))
		}
		const questions = 50
		before, parts, reports := bytes.Load(), segments.Load(), 0
		for range questions {
			reports += ask()
		}
		payload, wire := bytes.Load()-before, segmentBytes*(segments.Load()-parts)
		each := float64(payload+wire) / questions
		t.Logf("%d slots, %d reports: %.0f bytes of payload, %.0f on the wire", x.slots, reports/questions, float64(payload)/questions, each)
		require.LessOrEqual(t, each, float64(300+60*x.slots+160*reports/questions))
	}
	answers.refuses = code.Errorf(code.QueueFull, "too many")
	_, err := client.Holders(ctx, address, nil)
	require.Equal(t, code.QueueFull, code.Of(err))
}
