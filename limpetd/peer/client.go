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

// Config identifies this daemon to other daemons.
type Config struct {
	// Environment names environment and stage. Daemons reject calls from other
	// environments.
	Environment string
	VM          string
	Instance    string
}

// ClientDeps holds the dependencies of a Client. All fields may be nil.
type ClientDeps struct {
	// TLS comes from keys.Reloader.PeerClient; nil disables TLS.
	TLS    *tls.Config
	Log    *zap.Logger
	Events *event.Timeline
	Scope  tally.Scope
}

// Option configures a Client.
type Option func(*Client)

// WithDialer sets the function that opens connections.
func WithDialer(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// Limits of connections between daemons.
const (
	// sendQueueSize is the number of messages that are queued for a peer. When
	// the queue is full, Send drops the message and returns an error.
	sendQueueSize = 8
	// connIdleTimeout is how long an idle connection is kept open.
	connIdleTimeout = 2 * time.Minute
	connectTimeout  = 2 * time.Second
	// maxConnAge bounds the age of a connection, so that renewed certificates
	// come into use on all connections.
	maxConnAge       = time.Hour
	maxBackoff       = 2 * time.Second
	keepaliveTime    = 15 * time.Second
	keepaliveTimeout = 4 * time.Second
	bufferBytes      = 4 << 10
	// windowBytes is the size of the flow control window. The size is static,
	// because measuring the bandwidth would add a ping to most messages.
	windowBytes     = 64 << 10
	maxMessageBytes = 4 << 20
	maxHeaderBytes  = 8 << 10
	maxStreams      = 64
	maxConnections  = 1024
)

// Metadata keys that identify the sender of a call.
const (
	environmentKey = "limpet-environment"
	vmKey          = "limpet-vm"
	instanceKey    = "limpet-instance"
)

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	config Config
	deps   ClientDeps
	dial   func(ctx context.Context, address string) (net.Conn, error)
	tomb   *tomb.Tomb
	ctx    context.Context

	mu          sync.Mutex
	connections map[string]*connection
}

var _ member.Transport = (*Client)(nil)

// connection is a gRPC connection to a peer with a queue of outgoing messages.
type connection struct {
	conn *grpc.ClientConn
	// queue holds the messages to be sent; nil until the first call of Send.
	queue chan *peerpb.Message
	// messagesLost is whether a queued message was lost since the last call of Send.
	messagesLost bool
	lastUsed     time.Time
}

// NewClient returns a client that closes its connections when ctx ends.
func NewClient(ctx context.Context, config Config, deps ClientDeps, opts ...Option) *Client {
	c := &Client{config: config, deps: deps, connections: map[string]*connection{}}
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
	c.tomb.Go(func() error { return c.closeIdlePeriodically() })
	return c
}

// Wait blocks until all connections are closed.
func (c *Client) Wait() error {
	if err := c.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// closeIdlePeriodically closes idle connections, and all connections when c.ctx ends.
func (c *Client) closeIdlePeriodically() error {
	ticker := time.NewTicker(connIdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.closeIdleConnections(0)
			return c.ctx.Err()
		case <-ticker.C:
			c.closeIdleConnections(connIdleTimeout)
		}
	}
}

// closeIdleConnections closes the connections unused for at least idle; 0 closes all.
func (c *Client) closeIdleConnections(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cn := range c.connections {
		if idle > 0 && time.Since(cn.lastUsed) < idle {
			continue
		}
		delete(c.connections, address)
		if cn.queue != nil {
			close(cn.queue)
		}
		_ = cn.conn.Close()
	}
}

// dialOptions returns the gRPC options of connections to peers.
func (c *Client) dialOptions() []grpc.DialOption {
	transport := insecure.NewCredentials()
	if c.deps.TLS != nil {
		transport = credentials.NewTLS(c.deps.TLS)
	}
	backoffConfig := backoff.DefaultConfig
	backoffConfig.MaxDelay = maxBackoff
	dialOptions := []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.UseCompressor(compressorName)),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy(),
	}
	if c.dial != nil {
		dialOptions = append(dialOptions, grpc.WithContextDialer(c.dial))
	}
	return dialOptions
}

// connection returns the connection to an address and creates the connection if there is
// none. The caller must hold c.mu.
func (c *Client) connection(address string) (*connection, error) {
	if cn, ok := c.connections[address]; ok {
		cn.lastUsed = time.Now()
		return cn, nil
	}
	if c.ctx.Err() != nil {
		return nil, code.Errorf(code.Stopping, "the daemon is stopping")
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.dialOptions()...)
	if err != nil {
		return nil, code.Errorf(code.PeerDown, "%s: %w", address, err)
	}
	cn := &connection{conn: conn, lastUsed: time.Now()}
	c.connections[address] = cn
	return cn, nil
}

// peerClient returns the gRPC client for an address, and ctx with the metadata of a call.
func (c *Client) peerClient(ctx context.Context, address string) (peerpb.PeerClient, context.Context, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn, err := c.connection(address)
	if err != nil {
		return nil, nil, err
	}
	return peerpb.NewPeerClient(cn.conn), c.withIdentity(ctx), nil
}

// withIdentity returns ctx with the metadata that identifies this daemon as the sender.
func (c *Client) withIdentity(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx,
		environmentKey, c.config.Environment, vmKey, c.config.VM, instanceKey, c.config.Instance)
}

// stamp returns the timestamp for a message; zero without an event line.
func (c *Client) stamp() event.Timestamp {
	if c.deps.Events == nil {
		return event.Timestamp{}
	}
	return c.deps.Events.Now()
}

// Send queues m for a peer. After an error, m is not sent. An error with code PeerDown
// can also mean that messages that were queued for the peer earlier are lost.
func (c *Client) Send(address string, m member.Message) error {
	message := encodeMessage(m, event.Timestamp{})
	if len(m.Daemons)+len(m.Entries)+len(m.DrainNotices) > 0 {
		message.Stamp = encodeStamp(c.stamp())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cn, err := c.connection(address)
	if err != nil {
		return err
	}
	if cn.messagesLost {
		cn.messagesLost = false
		return code.Errorf(code.PeerDown, "messages to %s were lost", address)
	}
	if cn.queue == nil {
		cn.queue = make(chan *peerpb.Message, sendQueueSize)
		c.tomb.Go(func() error { c.sendQueued(cn); return nil })
	}
	select {
	case cn.queue <- message:
		return nil
	default:
		return code.Errorf(code.PeerDown, "the message queue of %s is full", address)
	}
}

// sendQueued sends the queued messages of a connection over one stream, and opens a
// new stream after an error. The retry buffer of the stream is disabled: the peer
// answers only at the end of the stream, so the buffer would hold sent messages of up
// to 256 KB on the wire and much more in memory.
func (c *Client) sendQueued(cn *connection) {
	var stream grpc.ClientStreamingClient[peerpb.Message, peerpb.Ack]
	stub := peerpb.NewPeerClient(cn.conn)
	for m := range cn.queue {
		var err error
		if stream == nil {
			stream, err = stub.Tell(c.withIdentity(c.ctx), grpc.MaxRetryRPCBufferSize(0))
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
		c.deps.Log.Debug("peer_tell_failed", zap.String("address", cn.conn.Target()), zap.Error(err))
		c.mu.Lock()
		cn.messagesLost = true
		c.mu.Unlock()
	}
	if stream != nil {
		_ = stream.CloseSend()
	}
}

// Exchange sends m and returns the peer's complete view of the membership.
func (c *Client) Exchange(ctx context.Context, address string, m member.Message) (member.Message, error) {
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return member.Message{}, err
	}
	answer, err := stub.Exchange(ctx, encodeMessage(m, c.stamp()))
	if err != nil {
		return member.Message{}, callError(address, err)
	}
	c.observeStamp(answer.GetStamp())
	return decodeMessage(answer), nil
}

// Document fetches the document in force at a peer.
func (c *Client) Document(ctx context.Context, address string) (member.DocumentCopy, error) {
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return member.DocumentCopy{}, err
	}
	d, err := stub.Document(ctx, &peerpb.DocumentRequest{})
	if err != nil {
		return member.DocumentCopy{}, callError(address, err)
	}
	return member.DocumentCopy{Revision: d.GetRevision(), Digest: d.GetDigest(), Body: d.GetBody()}, nil
}

// QueryGrant asks a daemon whether an order that the daemon sent under a grant can still
// reach an engine. The caller has to check the instance of the answer.
func (c *Client) QueryGrant(ctx context.Context, address, grant string) (GrantAnswer, error) {
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return GrantAnswer{}, err
	}
	a, err := stub.Sent(ctx, &peerpb.SentRequest{Grant: grant})
	if err != nil {
		return GrantAnswer{}, callError(address, err)
	}
	return GrantAnswer{Instance: a.GetInstance(), State: a.GetState()}, nil
}

// QueryHolders asks a daemon which engines of the daemon's data centre hold the given slots.
// The reports list only these slots.
func (c *Client) QueryHolders(ctx context.Context, address string, slots []envdoc.Slot) ([]engine.Report, error) {
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return nil, err
	}
	a, err := stub.Holders(ctx, &peerpb.HoldersRequest{Slots: encodeSlots(slots)})
	if err != nil {
		return nil, callError(address, err)
	}
	var reports []engine.Report
	for _, l := range a.GetLoads() {
		reports = append(reports, decodeLoad(l).Report)
	}
	return reports, nil
}

// Events fetches the events of a daemon's timeline that match f.
func (c *Client) Events(ctx context.Context, address string, f event.Filter) ([]event.Event, error) {
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := stub.Events(ctx, encodeFilter(f))
	if err != nil {
		return nil, callError(address, err)
	}
	var events []event.Event
	for {
		batch, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, callError(address, err)
		}
		for _, e := range batch.GetEvents() {
			events = append(events, decodeEvent(e))
		}
	}
}

// Drain asks a daemon to leave the fleet, or to stay if leaving is false.
func (c *Client) Drain(ctx context.Context, address, operator string, leaving bool) error {
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return err
	}
	if _, err := stub.Drain(ctx, &peerpb.DrainRequest{Leaving: leaving, Operator: operator}); err != nil {
		return callError(address, err)
	}
	return nil
}

// observeStamp updates the clock of the event line from a stamp of another process.
func (c *Client) observeStamp(p *peerpb.Stamp) {
	if c.deps.Events != nil && p != nil {
		c.deps.Events.Observe(decodeStamp(p))
	}
}
