package tunnel

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
)

const (
	// tunnelDelay is how long a direct connect may take until a tunnel is requested too. Servers
	// accept connections in a few milliseconds.
	tunnelDelay = 100 * time.Millisecond
	// checkPeriod is the time between two looks at the paths that are to be tried again.
	checkPeriod = 100 * time.Millisecond
)

// errNoTunnel means that no daemon granted a tunnel.
var errNoTunnel = errors.New("no daemon granted a tunnel")

// errServerSilent means that neither this daemon nor others get an answer from the server.
var errServerSilent = fmt.Errorf("the server does not answer: %w", context.DeadlineExceeded)

// Deps holds the dependencies of a Dialer.
type Deps struct {
	// VM is the VM of this daemon.
	VM string
	// Direct opens connections to servers, and Peers those to other daemons.
	Direct, Peers conns.Dialer
	Log           *zap.Logger
	Scope         tally.Scope
}

// Option configures a Dialer.
type Option func(*Dialer)

// WithOnLost sets a function that is called when open connections to an address get no answer any
// more, because the path to it is lost.
func WithOnLost(f func(address string)) Option {
	return func(d *Dialer) { d.onLost = f }
}

// Dialer opens connections to servers, through another daemon where this one has lost its path. It is
// safe for concurrent use.
type Dialer struct {
	tomb   *tomb.Tomb
	deps   Deps
	onLost func(address string)
	random *rand.Rand
	next   atomic.Int64
	opened, lostPaths,
	restored tally.Counter

	mu    sync.Mutex
	paths pathTable
	peers peerTable
}

var _ conns.Dialer = (*Dialer)(nil)

// New returns a Dialer that knows no servers and no other daemons. It tries lost paths again until
// ctx ends.
func New(ctx context.Context, deps Deps, opts ...Option) *Dialer {
	t, ctx := life.WithContext(ctx)
	scope := deps.Scope.SubScope("tunnel")
	d := &Dialer{
		tomb: t, deps: deps, onLost: func(string) {}, random: random.New(), paths: newPathTable(),
		opened: scope.Counter("opened"), lostPaths: scope.Counter("paths_lost"), restored: scope.Counter("paths_restored"),
	}
	for _, o := range opts {
		o(d)
	}
	t.Go(func() error {
		for life.Sleep(ctx, checkPeriod) {
			d.checkPaths(ctx)
		}
		return nil
	})
	return d
}

// Wait returns when the goroutines of the Dialer have ended.
func (d *Dialer) Wait() error { return d.tomb.Wait() }

// SetPeers sets the other daemons.
func (d *Dialer) SetPeers(list []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.set(list)
}

// SetServers sets the addresses of the servers. Connections to other addresses never use a tunnel.
func (d *Dialer) SetServers(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paths.setServers(addresses)
}

// CutOff reports whether this daemon has lost its paths to at least half of the servers, while other
// daemons reach them.
func (d *Dialer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.cutOff()
}

// Hangs reports whether open direct connections to an address get no answer, because the path is lost.
func (d *Dialer) Hangs(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.hangs(address)
}

// DialContext implements conns.Dialer. If its error is syscall.ECONNREFUSED, the server refuses the
// connections of other daemons too, or there are none.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	lost := d.paths.isLost(address)
	d.mu.Unlock()
	if !lost {
		return d.dialEither(ctx, network, address)
	}
	through, throughErr := d.dialThrough(ctx, address)
	if throughErr == nil || ctx.Err() != nil {
		return through, throughErr
	}
	// The path may be restored.
	c, err := d.dialEither(ctx, network, address)
	if err != nil && errors.Is(throughErr, syscall.ECONNREFUSED) {
		// The failure of a lost path says less about the server than a refusal of others.
		return nil, throughErr
	}
	return c, err
}

// dialed is the result of a direct connect.
type dialed struct {
	conn net.Conn
	err  error
}

// dialEither connects directly, and through another daemon if that fails or takes long.
func (d *Dialer) dialEither(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	down := d.paths.isDown(address, time.Now())
	d.mu.Unlock()
	if down {
		c, err := d.deps.Direct.DialContext(ctx, network, address)
		return d.useDirect(address, dialed{c, err}, nil)
	}
	direct := make(chan dialed, 1)
	go func() {
		// The result counts for later calls too, if this one has ended.
		c, err := d.deps.Direct.DialContext(context.WithoutCancel(ctx), network, address)
		direct <- dialed{c, err}
	}()
	timer := time.NewTimer(tunnelDelay)
	defer timer.Stop()
	select {
	case r := <-direct:
		return d.afterDirect(ctx, address, r)
	case <-timer.C:
	case <-ctx.Done():
		go d.recordAbandoned(address, direct)
		return nil, ctx.Err()
	}
	select {
	case r := <-direct:
		// The timer fired late too, because the process did not run.
		return d.afterDirect(ctx, address, r)
	default:
	}
	c, err := d.dialThrough(ctx, address)
	if err == nil {
		go d.recordLate(address, direct)
		return c, nil
	}
	select {
	case r := <-direct:
		return d.useDirect(address, r, err)
	case <-ctx.Done():
		go d.recordAbandoned(address, direct)
		return nil, ctx.Err()
	}
}

// recordLate records the result of a direct connect that was not awaited, because a tunnel was opened.
func (d *Dialer) recordLate(address string, direct chan dialed) {
	if err := d.recordUnused(address, direct); err != nil {
		d.recordLost(address, err)
	}
}

// recordAbandoned records the result of a direct connect whose call has ended. A failure says nothing without a
// tunnel beside it.
func (d *Dialer) recordAbandoned(address string, direct chan dialed) {
	if err := d.recordUnused(address, direct); err != nil {
		d.deps.Log.Debug("connect_abandoned", zap.String("address", address), zap.Error(err))
	}
}

// recordUnused closes the connection of a direct connect that nobody needs. It returns the error if the connect
// failed.
func (d *Dialer) recordUnused(address string, direct chan dialed) error {
	r := <-direct
	if r.err != nil {
		return r.err
	}
	d.recordConnected(address)
	// Nothing was sent on the connection.
	_ = r.conn.Close()
	return nil
}

// afterDirect returns the connection of a direct connect, or one through another daemon if it failed.
func (d *Dialer) afterDirect(ctx context.Context, address string, r dialed) (net.Conn, error) {
	if r.err == nil || ctx.Err() != nil {
		return d.useDirect(address, r, nil)
	}
	d.mu.Lock()
	d.paths.recordFailed(address, time.Now())
	d.mu.Unlock()
	c, err := d.dialThrough(ctx, address)
	if err != nil {
		return nil, d.failure(r.err, err)
	}
	d.recordLost(address, r.err)
	return c, nil
}

// useDirect returns the result of a direct connect. tunnelErr is the error of the tunnel that was
// requested beside it; nil if none was.
func (d *Dialer) useDirect(address string, r dialed, tunnelErr error) (net.Conn, error) {
	if r.err != nil {
		return nil, d.failure(r.err, tunnelErr)
	}
	d.recordConnected(address)
	return r.conn, nil
}

// failure returns the error of a connect that failed directly and through other daemons. A refusal
// counts only if others are refused too: a partition may refuse connections.
func (d *Dialer) failure(direct, tunnel error) error {
	if tunnel == nil || errors.Is(tunnel, syscall.ECONNREFUSED) || errors.Is(tunnel, errNoPeers) {
		return direct
	}
	return errors.Join(errNoTunnel, tunnel)
}

// recordConnected records a direct connection.
func (d *Dialer) recordConnected(address string) {
	d.mu.Lock()
	restored := d.paths.recordConnected(address, time.Now())
	d.mu.Unlock()
	if restored {
		d.restored.Inc(1)
		d.deps.Log.Info("path_restored", zap.String("address", address))
	}
}

// recordLost records that another daemon reaches a server to which a direct connect failed.
func (d *Dialer) recordLost(address string, cause error) {
	hangs := !isRefusal(cause)
	d.mu.Lock()
	changed := d.paths.recordLost(address, hangs, time.Now())
	d.mu.Unlock()
	if !changed {
		return
	}
	d.lostPaths.Inc(1)
	d.deps.Log.Info("path_lost", zap.String("address", address), zap.Bool("hangs", hangs), zap.Error(cause))
	if hangs {
		d.onLost(address)
	}
}

// isRefusal reports whether packets of a server, or of a partition, arrived.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// checkPaths tries paths that are lost, and those that were not tried since the last loss.
func (d *Dialer) checkPaths(ctx context.Context) {
	d.mu.Lock()
	due := d.paths.due(time.Now())
	d.mu.Unlock()
	var checks sync.WaitGroup
	for _, address := range due {
		checks.Go(func() { d.checkPath(ctx, address) })
	}
	checks.Wait()
}

// checkPath tries a direct connect. If it fails, a tunnel shows whether the path is lost.
func (d *Dialer) checkPath(ctx context.Context, address string) {
	c, err := d.deps.Direct.DialContext(ctx, "tcp4", address)
	if err == nil {
		d.recordConnected(address)
		_ = c.Close()
		return
	}
	d.mu.Lock()
	d.paths.recordFailed(address, time.Now())
	lost := d.paths.isLost(address)
	d.mu.Unlock()
	if lost {
		return
	}
	if c, tunnelErr := d.dialThrough(ctx, address); tunnelErr == nil {
		d.recordLost(address, err)
		_ = c.Close()
	}
}
