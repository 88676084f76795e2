package matrix

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/plain"
)

// services are the servers of the plain service, reached through pipes.
type services struct {
	books   *plain.Books
	servers map[string]*http.Server
	lists   map[string]*pipes
}

// newServices starts a server for each VM.
func newServices(r *rig, vms ...string) *services {
	s := &services{
		books:   plain.NewBooks(),
		servers: make(map[string]*http.Server),
		lists:   make(map[string]*pipes),
	}
	faults := fault.Func(func(fault.Call) fault.Action { return r.trap.hit(nil, Dispatch) })
	for _, vm := range vms {
		list := newPipes(vm)
		server := &http.Server{Handler: plain.New(vm, s.books, plain.WithFaults(faults)), ReadHeaderTimeout: time.Minute}
		s.lists[vm], s.servers[vm] = list, server
		r.spawn(func() { _ = server.Serve(list) })
	}
	return s
}

// dial returns the way of a daemon to the servers.
func (s *services) dial(d *daemon) relay.DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		vm, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		d.await()
		if d.dead() || d.cutFrom(vm) {
			return nil, errors.New("cut off")
		}
		list, ok := s.lists[vm]
		if !ok {
			return nil, errors.New("no such server")
		}
		return list.dial(ctx)
	}
}

// close ends all servers.
func (s *services) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// pipes is a listener whose connections are pipes.
type pipes struct {
	vm string
	// conns hands connections over; a dial waits for the server to accept.
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var (
	_ net.Listener = (*pipes)(nil)
	_ net.Addr     = (*pipes)(nil)
)

// newPipes returns a listener of a VM.
func newPipes(vm string) *pipes {
	return &pipes{vm: vm, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// dial makes a connection.
func (p *pipes) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipes) Addr() net.Addr { return p }

// Network implements net.Addr.
func (p *pipes) Network() string { return "pipe" }

// String implements net.Addr.
func (p *pipes) String() string { return p.vm }
