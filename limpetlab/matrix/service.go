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

// services are the servers of the plain service. The daemons connect to them
// through in-memory pipes.
type services struct {
	books     *plain.Books
	servers   map[string]*http.Server
	listeners map[string]*pipeListener
}

// newServices starts a server for each VM. Each call is an injection point of
// the Dispatch step, without a known daemon.
func newServices(r *rig, vms ...string) *services {
	s := &services{
		books:     plain.NewBooks(),
		servers:   make(map[string]*http.Server),
		listeners: make(map[string]*pipeListener),
	}
	faults := fault.Func(func(fault.Call) fault.Action { return r.injector.inject(nil, Dispatch) })
	for _, vm := range vms {
		listener := newPipeListener(vm)
		server := &http.Server{Handler: plain.New(vm, s.books, plain.WithFaults(faults)), ReadHeaderTimeout: time.Minute}
		s.listeners[vm], s.servers[vm] = listener, server
		r.spawn(func() { _ = server.Serve(listener) })
	}
	return s
}

// dial returns the function with which a daemon connects to the servers.
func (s *services) dial(d *daemon) relay.DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		vm, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		d.awaitResume()
		if d.isStopped() || d.isPartitionedFrom(vm) {
			return nil, errors.New("the service is not reachable")
		}
		listener, ok := s.listeners[vm]
		if !ok {
			return nil, errors.New("no server has this address")
		}
		return listener.dial(ctx)
	}
}

// close stops all servers.
func (s *services) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// pipeListener is a net.Listener whose connections are in-memory pipes.
type pipeListener struct {
	vm string
	// conns passes the server's ends of the pipes to Accept. A dial waits until
	// the server accepts.
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var (
	_ net.Listener = (*pipeListener)(nil)
	_ net.Addr     = (*pipeListener)(nil)
)

// newPipeListener returns the listener of a VM.
func newPipeListener(vm string) *pipeListener {
	return &pipeListener{vm: vm, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// dial connects to the listener.
func (p *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipeListener) Addr() net.Addr { return p }

// Network implements net.Addr.
func (p *pipeListener) Network() string { return "pipe" }

// String implements net.Addr.
func (p *pipeListener) String() string { return p.vm }
