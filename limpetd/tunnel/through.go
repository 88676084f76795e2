package tunnel

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// errNoPeers means that there are no other daemons.
var errNoPeers = errors.New("there are no other daemons")

// dialThrough connects through another daemon. Its error is syscall.ECONNREFUSED or errServerSilent if
// other daemons don't reach the server either.
func (d *Dialer) dialThrough(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	known := d.paths.known(address)
	list := d.peers.order(d.random, time.Now())
	d.mu.Unlock()
	if !known || len(list) == 0 {
		return nil, errNoPeers
	}
	err, failures := errNoTunnel, 0
	for _, p := range list {
		c, answer, openErr := d.open(ctx, p, address)
		if ctx.Err() != nil && c == nil {
			return nil, ctx.Err()
		}
		d.mu.Lock()
		d.peers.record(p, answer == opened, time.Now())
		d.mu.Unlock()
		switch answer {
		case opened:
			d.opened.Inc(1)
			return c, nil
		case refused:
			err = syscall.ECONNREFUSED
			failures++
		case noAnswer:
			// The answer took as long as a caller can wait. Another daemon is asked next time.
			err, failures = errServerSilent, maxRefusals
		default:
			d.deps.Log.Debug("tunnel_denied", zap.String("vm", p.VM), zap.String("address", address), zap.Stringer("status", answer), zap.Error(openErr))
		}
		if failures == maxRefusals {
			break
		}
	}
	if failures > 0 {
		d.mu.Lock()
		d.paths.recordDown(address, time.Now())
		d.mu.Unlock()
	}
	return nil, err
}

// DialPath connects to an address through the daemon of a VM, or directly if vm is empty. It records nothing about the
// path. Its error is syscall.ECONNREFUSED if the server refuses the connection on this path.
func (d *Dialer) DialPath(ctx context.Context, vm, address string) (net.Conn, error) {
	if vm == "" {
		return d.deps.Direct.DialContext(ctx, "tcp4", address)
	}
	d.mu.Lock()
	p, ok := d.peers.find(vm)
	d.mu.Unlock()
	if !ok {
		return nil, errNoPeers
	}
	c, answer, err := d.open(ctx, p, address)
	switch {
	case c != nil:
		return c, nil
	case answer == refused:
		return nil, syscall.ECONNREFUSED
	}
	return nil, errors.Join(errNoTunnel, err)
}

// open requests a tunnel from another daemon.
func (d *Dialer) open(ctx context.Context, p Peer, address string) (net.Conn, status, error) {
	deadline := time.Now().Add(openTimeout)
	dialCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, err := d.deps.Peers.DialContext(dialCtx, "tcp4", p.Address)
	if err == nil {
		c, err = socket.Wrap(c)
	}
	if err != nil {
		return nil, 0, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	id := d.deps.VM + "/" + strconv.FormatInt(d.next.Add(1), 10)
	answer, err := requestTunnel(c, request{ID: id, Address: address}, deadline)
	if !stop() {
		err = errors.Join(err, context.Cause(ctx))
	}
	if err != nil || answer != opened {
		// Nothing was sent to the server.
		_ = c.Close()
		return nil, answer, err
	}
	return newConn(c, p, id), opened, nil
}

// requestTunnel writes the request and reads the answer.
func requestTunnel(c net.Conn, r request, deadline time.Time) (status, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	if err := writeRequest(c, r); err != nil {
		return 0, err
	}
	var answer [1]byte
	if _, err := c.Read(answer[:]); err != nil {
		return 0, err
	}
	return status(answer[0]), c.SetDeadline(time.Time{})
}
