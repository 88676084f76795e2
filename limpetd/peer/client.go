package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer/peerpb"
)

// Config states who the daemon is.
type Config struct {
	// Environment names environment and stage; daemons of another one refuse
	// each other.
	Environment string
	VM          string
	Instance    string
}

// ClientDeps are what the client works with; all may be nil.
type ClientDeps struct {
	// TLS is from keys.Duty.PeerClient; nil is plain.
	TLS    *tls.Config
	Log    *zap.Logger
	Events *event.Line
	Scope  tally.Scope
}

// Option changes a Client.
type Option func(*Client)

// WithDialer replaces the way connections are made.
func WithDialer(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// Limits of connections between daemons.
const (
	// tellQueue is the number of messages that wait for a peer. When it is
	// full the message is dropped and Tell reports it.
	tellQueue = 8
	// linkIdle is how long a connection is kept that carries nothing.
	linkIdle       = 2 * time.Minute
	connectTimeout = 2 * time.Second
	// connectionAge is how long a connection lives, so that renewed
	// certificates come into use everywhere.
	connectionAge    = time.Hour
	longestBackoff   = 2 * time.Second
	keepaliveTime    = 15 * time.Second
	keepaliveTimeout = 4 * time.Second
	bufferBytes      = 4 << 10
	// windowBytes is the flow control window. It is fixed, since measuring
	// the bandwidth would cost a ping for most messages.
	windowBytes     = 64 << 10
	maxMessageBytes = 4 << 20
	maxHeaderBytes  = 8 << 10
	maxStreams      = 64
	maxConnections  = 1024
)

// The metadata of a call.
const (
	environmentKey = "limpet-environment"
	vmKey          = "limpet-vm"
	instanceKey    = "limpet-instance"
)

// Client reaches the other daemons. It is safe for concurrent use.
type Client struct {
	config Config
	deps   ClientDeps
	dial   func(ctx context.Context, address string) (net.Conn, error)
	tomb   *tomb.Tomb
	ctx    context.Context

	mu    sync.Mutex
	links map[string]*link
}

var _ member.Transport = (*Client)(nil)

// link is the connection to a peer.
type link struct {
	conn *grpc.ClientConn
	// queue holds messages that wait to be sent; nil until the first.
	queue chan *peerpb.Message
	// lost means that messages were dropped since the last Tell.
	lost bool
	used time.Time
}

// NewClient returns a client. Its connections end with ctx.
func NewClient(ctx context.Context, config Config, deps ClientDeps, opts ...Option) *Client {
	c := &Client{config: config, deps: deps, links: map[string]*link{}}
	if c.deps.Log == nil {
		c.deps.Log = zap.NewNop()
	}
	if c.deps.Scope == nil {
		c.deps.Scope = tally.NoopScope
	}
	for _, o := range opts {
		o(c)
	}
	c.tomb, c.ctx = life.WithContext(ctx)
	c.tomb.Go(func() error { return c.sweep() })
	return c
}

// Wait returns when all connections are closed.
func (c *Client) Wait() error {
	if err := c.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// sweep closes connections that carry nothing, and all at the end.
func (c *Client) sweep() error {
	ticker := time.NewTicker(linkIdle / 4)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.closeIdle(0)
			return c.ctx.Err()
		case <-ticker.C:
			c.closeIdle(linkIdle)
		}
	}
}

// closeIdle closes connections that carried nothing for idle.
func (c *Client) closeIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if idle > 0 && time.Since(l.used) < idle {
			continue
		}
		delete(c.links, address)
		if l.queue != nil {
			close(l.queue)
		}
		_ = l.conn.Close()
	}
}

// options returns the settings of connections.
func (c *Client) options() []grpc.DialOption {
	transport := insecure.NewCredentials()
	if c.deps.TLS != nil {
		transport = credentials.NewTLS(c.deps.TLS)
	}
	retry := backoff.DefaultConfig
	retry.MaxDelay = longestBackoff
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.UseCompressor(packing)),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy(),
	}
	if c.dial != nil {
		options = append(options, grpc.WithContextDialer(c.dial))
	}
	return options
}

// link returns the connection to an address, making it when there is none.
func (c *Client) link(address string) (*link, error) {
	if l, ok := c.links[address]; ok {
		l.used = time.Now()
		return l, nil
	}
	if c.ctx.Err() != nil {
		return nil, code.Errorf(code.Stopping, "the daemon has stopped")
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.options()...)
	if err != nil {
		return nil, code.Errorf(code.PeerDown, "%s: %w", address, err)
	}
	l := &link{conn: conn, used: time.Now()}
	c.links[address] = l
	return l, nil
}

// peer returns the stub for an address, and a context with the metadata.
func (c *Client) peer(ctx context.Context, address string) (peerpb.PeerClient, context.Context, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := c.link(address)
	if err != nil {
		return nil, nil, err
	}
	return peerpb.NewPeerClient(l.conn), c.identify(ctx), nil
}

// identify adds the metadata of a call.
func (c *Client) identify(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx,
		environmentKey, c.config.Environment, vmKey, c.config.VM, instanceKey, c.config.Instance)
}

// stamp returns the time for a message.
func (c *Client) stamp() event.Stamp {
	if c.deps.Events == nil {
		return event.Stamp{}
	}
	return c.deps.Events.Now()
}

// Tell queues m for a peer. An error, with code PeerDown, means that earlier
// messages to the peer or this one are lost.
func (c *Client) Tell(address string, m member.Message) error {
	message := encodeMessage(m, event.Stamp{})
	if len(m.Daemons)+len(m.Entries)+len(m.Advice) > 0 {
		message.Stamp = encodeStamp(c.stamp())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := c.link(address)
	if err != nil {
		return err
	}
	if l.lost {
		l.lost = false
		return code.Errorf(code.PeerDown, "messages to %s were lost", address)
	}
	if l.queue == nil {
		l.queue = make(chan *peerpb.Message, tellQueue)
		c.tomb.Go(func() error { c.tellAll(l); return nil })
	}
	select {
	case l.queue <- message:
		return nil
	default:
		return code.Errorf(code.PeerDown, "%s takes no messages", address)
	}
}

// tellAll sends the queued messages of a link over one stream, and over a new
// one after a fault. Nothing is kept for a replay: a stream whose answer comes at
// its end would keep what it sent, up to 256 KB on the wire and much more in memory.
func (c *Client) tellAll(l *link) {
	var stream grpc.ClientStreamingClient[peerpb.Message, peerpb.Ack]
	stub := peerpb.NewPeerClient(l.conn)
	for m := range l.queue {
		var err error
		if stream == nil {
			stream, err = stub.Tell(c.identify(c.ctx), grpc.MaxRetryRPCBufferSize(0))
		}
		if err == nil {
			err = stream.Send(m)
		}
		if err == nil {
			continue
		}
		if stream != nil && errors.Is(err, io.EOF) {
			_, err = stream.CloseAndRecv()
		}
		stream = nil
		c.deps.Scope.Counter("peer_tell_failed").Inc(1)
		c.deps.Log.Debug("peer_tell_failed", zap.String("address", l.conn.Target()), zap.Error(err))
		c.mu.Lock()
		l.lost = true
		c.mu.Unlock()
	}
	if stream != nil {
		_ = stream.CloseSend()
	}
}

// Exchange sends m and returns all that the peer knows.
func (c *Client) Exchange(ctx context.Context, address string, m member.Message) (member.Message, error) {
	stub, ctx, err := c.peer(ctx, address)
	if err != nil {
		return member.Message{}, err
	}
	answer, err := stub.Exchange(ctx, encodeMessage(m, c.stamp()))
	if err != nil {
		return member.Message{}, failed(address, err)
	}
	c.observe(answer.GetStamp())
	return decodeMessage(answer), nil
}

// Document fetches the document that a peer has in force.
func (c *Client) Document(ctx context.Context, address string) (member.Copy, error) {
	stub, ctx, err := c.peer(ctx, address)
	if err != nil {
		return member.Copy{}, err
	}
	d, err := stub.Document(ctx, &peerpb.DocumentRequest{})
	if err != nil {
		return member.Copy{}, failed(address, err)
	}
	return member.Copy{Revision: d.GetRevision(), Digest: d.GetDigest(), Body: d.GetBody()}, nil
}

// Sent asks a daemon whether anything that it sent under a grant can still reach
// an engine. The caller checks the instance of the answer.
func (c *Client) Sent(ctx context.Context, address, grant string) (SentAnswer, error) {
	stub, ctx, err := c.peer(ctx, address)
	if err != nil {
		return SentAnswer{}, err
	}
	a, err := stub.Sent(ctx, &peerpb.SentRequest{Grant: grant})
	if err != nil {
		return SentAnswer{}, failed(address, err)
	}
	return SentAnswer{Instance: a.GetInstance(), State: a.GetState()}, nil
}

// Holders asks a daemon which engines of its data centre hold slots. The reports
// list no other slots.
func (c *Client) Holders(ctx context.Context, address string, slots []envdoc.Slot) ([]engine.Report, error) {
	stub, ctx, err := c.peer(ctx, address)
	if err != nil {
		return nil, err
	}
	a, err := stub.Holders(ctx, &peerpb.HoldersRequest{Slots: encodeSlots(slots)})
	if err != nil {
		return nil, failed(address, err)
	}
	var reports []engine.Report
	for _, l := range a.GetLoads() {
		reports = append(reports, decodeLoad(l).Report)
	}
	return reports, nil
}

// Events fetches events of a daemon's time line.
func (c *Client) Events(ctx context.Context, address string, f event.Filter) ([]event.Event, error) {
	stub, ctx, err := c.peer(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := stub.Events(ctx, encodeFilter(f))
	if err != nil {
		return nil, failed(address, err)
	}
	var events []event.Event
	for {
		batch, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, failed(address, err)
		}
		for _, e := range batch.GetEvents() {
			events = append(events, decodeEvent(e))
		}
	}
}

// Drain asks a daemon to leave, or with leaving false to stay.
func (c *Client) Drain(ctx context.Context, address, operator string, leaving bool) error {
	stub, ctx, err := c.peer(ctx, address)
	if err != nil {
		return err
	}
	if _, err := stub.Drain(ctx, &peerpb.DrainRequest{Leaving: leaving, Operator: operator}); err != nil {
		return failed(address, err)
	}
	return nil
}

// observe takes note of the time of another process.
func (c *Client) observe(p *peerpb.Stamp) {
	if c.deps.Events != nil && p != nil {
		c.deps.Events.Observe(decodeStamp(p))
	}
}
