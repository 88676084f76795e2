package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/keys"
	"github.com/limpetlb/limpetlb/limpetd/keys/certs"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// fakeHandlers answers calls with fixed values and records received membership messages.
type fakeHandlers struct {
	received chan member.Message
	from     chan member.Sender
}

func newFakeHandlers() *fakeHandlers {
	return &fakeHandlers{received: make(chan member.Message, 64), from: make(chan member.Sender, 64)}
}

func (h *fakeHandlers) Receive(from member.Sender, m member.Message) {
	h.from <- from
	h.received <- m
}

func (h *fakeHandlers) Exchange(_ member.Sender, m member.Message) member.Message { return m }

func (h *fakeHandlers) Copy(string) (member.DocumentCopy, error) {
	return member.DocumentCopy{Revision: 3, Digest: "d", Body: []byte("body")}, nil
}

func (h *fakeHandlers) AnswerGrantQuery(grant string) GrantAnswer {
	return GrantAnswer{Instance: "b-1", State: "never " + grant}
}

func (h *fakeHandlers) Drain(_ context.Context, operator string, _ bool) error {
	return code.Errorf(code.Stopping, "asked by %s", operator)
}

// startServer starts a server for an environment and returns the address of the server.
func startServer(t *testing.T, environment string, tlsConfig *tls.Config, h *fakeHandlers, line *event.Timeline) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	deps := ServerDeps{TLS: tlsConfig, Members: h, Documents: h, Grants: h, Drain: h}
	if line != nil {
		deps.Timeline, deps.Events = line, line
	}
	NewServer(t.Context(), Config{Environment: environment, VM: "b", Instance: "b-1"}, listener, deps)
	return listener.Addr().String()
}

// newTestClient returns a client in environment e/trial.
func newTestClient(t *testing.T, deps ClientDeps) *Client {
	return NewClient(t.Context(), Config{Environment: "e/trial", VM: "a", Instance: "a-1"}, deps)
}

// fullMessage returns a message with every field set.
func fullMessage() member.Message {
	slot := envdoc.Slot{Model: "m", Adapter: "a", Version: "1"}
	report := engine.Report{
		VM: "e1", Instance: "i", Sequence: 2, MeasuredAt: time.UnixMilli(5), MemoryMB: 9, UsedMB: 8, Slots: []envdoc.Slot{slot},
		Running: 1, Waiting: 2, WaitingTokens: 3, TokensPerSecond: 4, PromptTokensPerSecond: 5, BatchLimit: 6,
		Role: engine.RoleMixed, Fence: 7, Leaving: true,
	}
	vm := store.VM{
		ID: "v", Kind: store.KindEngine, DataCentre: "d", Region: "r", Address: "a", State: store.StateLive,
		Pool: "p", Fencing: store.FencingRefuses, MemoryMB: 5, Accelerators: 4,
	}
	daemon := member.Daemon{
		VM: "x", Instance: "x-1", Sequence: 4, Started: 5, DataCentre: "d", Region: "r", Address: "a", Revision: 6,
		Digest: envdoc.Digest(nil), Level: 1, Refused: code.DocumentLevel, Leaving: true, Ready: true, Suspect: true,
	}
	return member.Message{
		ViewHash: 1, WantList: true, Daemons: []member.Daemon{daemon}, Entries: []member.Entry{{VM: vm, Gone: true}},
		DrainNotices: []member.DrainNotice{{VM: "v", Leaving: true, At: 4}}, EngineReports: []member.EngineReport{{Report: report, Hash: 9, Full: true}},
		Demand: []member.ModelDemand{{Model: "m", Adapter: "a", PerSecond: 1, TokensPerSecond: 2, Queued: 3}},
		Usage:  []member.CallerUsage{{Caller: "c", PerSecond: 2}},
	}
}

// issueKeys returns keys with a certificate for name, signed by a.
func issueKeys(t *testing.T, a *certs.Authority, name string) *keys.Reloader {
	certificate, key, err := a.Issue(name)
	require.NoError(t, err)
	config := keys.Config{Certificate: keys.Secret(certificate), Key: keys.Secret(key), Authority: keys.Secret(a.PEM)}
	u, err := keys.New(t.Context(), config, keys.Deps{})
	require.NoError(t, err)
	return u
}

func TestCallsOverMutualTLS(t *testing.T) {
	ctx := t.Context()
	a, err := certs.NewAuthority()
	require.NoError(t, err)
	h, line := newFakeHandlers(), event.New("b")
	address := startServer(t, "e/trial", issueKeys(t, a, keys.PeerName).PeerServer(), h, line)
	c := newTestClient(t, ClientDeps{TLS: issueKeys(t, a, keys.PeerName).PeerClient(), Events: event.New("a")})
	for range 3 {
		require.NoError(t, c.Send(address, fullMessage()))
		require.Equal(t, member.Sender{VM: "a", Instance: "a-1"}, <-h.from)
		require.Equal(t, fullMessage(), <-h.received)
	}
	answer, err := c.Exchange(ctx, address, fullMessage())
	require.NoError(t, err)
	require.Equal(t, fullMessage(), answer)
	d, err := c.Document(ctx, address)
	require.NoError(t, err)
	require.Equal(t, member.DocumentCopy{Revision: 3, Digest: "d", Body: []byte("body")}, d)
	sent, err := c.QueryGrant(ctx, address, "g1")
	require.NoError(t, err)
	require.Equal(t, GrantAnswer{Instance: "b-1", State: "never g1"}, sent)
	err = c.Drain(ctx, address, "ana", true)
	require.Equal(t, code.Stopping, code.Of(err))
	require.ErrorContains(t, err, "asked by ana")
	for i := range 600 {
		line.Add(event.Event{Kind: event.OrderSent, Model: "m", Text: fmt.Sprint(i)})
	}
	events, err := c.Events(ctx, address, event.Filter{Model: "m", Limit: 500, Since: time.Unix(1, 0)})
	require.NoError(t, err)
	require.Len(t, events, 500)
	require.Equal(t, "599", events[499].Text)
	require.Equal(t, "b", events[0].Process)

	caller := newTestClient(t, ClientDeps{TLS: issueKeys(t, a, "caller").PeerClient()})
	_, err = caller.Document(ctx, address)
	require.Error(t, err)
	plaintext := newTestClient(t, ClientDeps{})
	_, err = plaintext.Document(ctx, address)
	require.Error(t, err)
}

func TestOtherEnvironmentsAreRefused(t *testing.T) {
	h := newFakeHandlers()
	address := startServer(t, "e/production", nil, h, nil)
	c := newTestClient(t, ClientDeps{})
	_, err := c.Exchange(t.Context(), address, fullMessage())
	require.Equal(t, code.PeerUntrusted, code.Of(err))
	_, err = c.Events(t.Context(), address, event.Filter{})
	require.Equal(t, code.PeerUntrusted, code.Of(err))
	require.NoError(t, c.Send(address, fullMessage()))
	require.Eventually(t, func() bool { return c.Send(address, fullMessage()) != nil }, time.Minute, time.Millisecond)
	require.Empty(t, h.received)
}

// TestLostMessagesAreReported restarts the peer between two messages. Send must return
// PeerDown for the lost messages, and deliver messages again after the restart.
func TestLostMessagesAreReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	h := newFakeHandlers()
	ctx, stop := context.WithCancel(t.Context())
	config := Config{Environment: "e/trial", VM: "b", Instance: "b-1"}
	first := NewServer(ctx, config, listener, ServerDeps{Members: h})
	c := newTestClient(t, ClientDeps{})
	require.NoError(t, c.Send(address, fullMessage()))
	<-h.received
	stop()
	require.NoError(t, first.Wait())
	require.Eventually(t, func() bool { return code.Of(c.Send(address, fullMessage())) == code.PeerDown }, time.Minute, time.Millisecond)
	listener, err = net.Listen("tcp", address)
	require.NoError(t, err)
	NewServer(t.Context(), config, listener, ServerDeps{Members: h})
	require.Eventually(t, func() bool {
		_ = c.Send(address, fullMessage())
		return len(h.received) > 0
	}, time.Minute, time.Millisecond)
}
