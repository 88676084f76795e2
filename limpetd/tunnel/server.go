package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/socket"
)

const (
	// maxTunnels bounds the tunnels that a daemon grants. Each takes two descriptors, of which a
	// daemon has some thousand.
	maxTunnels = 800
	// copyBuffer is the size of the reads from a daemon that uses a tunnel.
	copyBuffer = 4 << 10
	// acceptPause is the time after an error of the listener until it is used again.
	acceptPause = 50 * time.Millisecond
	// drainTimeout bounds the time in which the daemon that uses a tunnel reads its end.
	drainTimeout = 2 * time.Second
)

// Server grants tunnels to other daemons. It is safe for concurrent use.
type Server struct {
	tomb   *tomb.Tomb
	dialer *Dialer
	log    *zap.Logger

	mu      sync.Mutex
	leaving bool
	tunnels map[*grant]bool
}

// grant is a tunnel that was granted.
type grant struct {
	request request
	client  net.Conn
	server  net.Conn
	// sent and received count the bytes to and from the server.
	sent, received atomic.Int64

	// mu guards writes of frames to the other daemon.
	mu sync.Mutex
}

// Serve accepts requests for tunnels at l until ctx ends. The dialer connects to the servers.
func Serve(ctx context.Context, l net.Listener, d *Dialer, log *zap.Logger) *Server {
	t, ctx := life.WithContext(ctx)
	s := &Server{tomb: t, dialer: d, log: log, tunnels: map[*grant]bool{}}
	t.Go(func() error {
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		defer stop()
		s.accept(ctx, l)
		return nil
	})
	return s
}

// Wait returns when all goroutines of the server have ended.
func (s *Server) Wait() error { return s.tomb.Wait() }

// Leave refuses new tunnels, and announces to those who use tunnels that this daemon is leaving. They
// close idle tunnels and finish the requests in the others.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	var all []*grant
	for g := range s.tunnels {
		all = append(all, g)
	}
	s.mu.Unlock()
	for _, g := range all {
		if err := g.writeFrame(appendHeader(nil, leavingFrame)); err != nil {
			s.log.Debug("tunnel_leaving_unwritten", zap.String("tunnel", g.request.ID), zap.Error(err))
		}
	}
}

// Open returns the number of tunnels in use.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// accept accepts connections until ctx ends.
func (s *Server) accept(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			return
		}
		if err != nil {
			s.log.Warn("tunnels_not_accepted", zap.Error(err))
			life.Sleep(ctx, acceptPause)
			continue
		}
		s.tomb.Go(func() error {
			s.handle(ctx, c)
			return nil
		})
	}
}

// handle grants a tunnel and passes bytes until it ends.
func (s *Server) handle(ctx context.Context, client net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = client.Close() })
	defer stop()
	g, answer, err := s.grant(ctx, client)
	if err == nil {
		_, err = client.Write([]byte{byte(answer)})
	}
	if g == nil || err != nil {
		s.log.Debug("tunnel_refused", zap.Stringer("status", answer), zap.Error(err))
		if g != nil {
			s.remove(g)
			_ = g.server.Close()
		}
		_ = client.Close()
		return
	}
	defer s.remove(g)
	stopServer := context.AfterFunc(ctx, func() { _ = g.server.Close() })
	defer stopServer()
	start := time.Now()
	reason := g.run()
	s.log.Info("tunnel_ended", zap.String("tunnel", g.request.ID), zap.String("address", g.request.Address), zap.Duration("took", time.Since(start)),
		zap.Int64("sent", g.sent.Load()), zap.Int64("received", g.received.Load()), zap.String("reason", reason))
}

// grant reads a request and connects to its server. The tunnel is nil if it isn't granted.
func (s *Server) grant(ctx context.Context, client net.Conn) (*grant, status, error) {
	if err := client.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return nil, 0, err
	}
	r, err := readRequest(client)
	if err != nil {
		return nil, 0, err
	}
	d := s.dialer
	d.mu.Lock()
	known, lost := d.paths.known(r.Address), d.paths.isLost(r.Address)
	d.mu.Unlock()
	s.mu.Lock()
	full := s.leaving || len(s.tunnels) >= maxTunnels
	s.mu.Unlock()
	switch {
	case !known:
		return nil, unknownServer, nil
	case full:
		return nil, busy, nil
	case lost:
		return nil, noPath, nil
	}
	server, err := d.deps.Direct.DialContext(ctx, "tcp4", r.Address)
	if err == nil {
		server, err = socket.Wrap(server)
	}
	if err != nil {
		return nil, s.failedStatus(err), nil
	}
	d.recordConnected(r.Address)
	if err := client.SetDeadline(time.Time{}); err != nil {
		_ = server.Close()
		return nil, 0, err
	}
	g := &grant{request: r, client: client, server: server}
	s.mu.Lock()
	s.tunnels[g] = true
	s.mu.Unlock()
	return g, opened, nil
}

// failedStatus returns the answer after a failed connect to a server. If this daemon has lost paths, it
// can't tell whether the server is down.
func (s *Server) failedStatus(err error) status {
	s.dialer.mu.Lock()
	suspicious := s.dialer.paths.suspicious(time.Now())
	s.dialer.mu.Unlock()
	switch {
	case suspicious:
		return noPath
	case isRefusal(err):
		return refused
	}
	return noAnswer
}

func (s *Server) remove(g *grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, g)
}

// run passes bytes both ways until the server or the other daemon ends its connection, and returns
// which of them did.
func (g *grant) run() string {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.passRequests()
	}()
	reason := g.passResponses()
	<-done
	// The end of the tunnel was sent.
	_ = g.client.Close()
	return reason
}

// passRequests passes bytes to the server. When the other daemon closes the tunnel, it resets the
// connection to the server at once, which cancels the request.
func (g *grant) passRequests() {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := g.client.Read(buffer)
		if n > 0 {
			if _, writeErr := g.server.Write(buffer[:n]); writeErr != nil {
				// The response may have arrived before the server closed the connection. Closing a connection with
				// unread data would reset it, and the rest of the response would be lost.
				_, _ = io.Copy(io.Discard, g.client)
				return
			}
			g.sent.Add(int64(n))
		}
		if err != nil {
			resetOnClose(g.server)
			_ = g.server.Close()
			return
		}
	}
}

// passResponses passes bytes from the server in frames.
func (g *grant) passResponses() string {
	buffer := make([]byte, headerSize+maxFrame)
	for {
		n, err := g.server.Read(buffer[headerSize:])
		if n > 0 {
			g.received.Add(int64(n))
			appendHeader(buffer[:0], n)
			if writeErr := g.writeFrame(buffer[:headerSize+n]); writeErr != nil {
				resetOnClose(g.server)
				_ = errors.Join(g.server.Close(), g.client.Close())
				return "client: " + writeErr.Error()
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if err := g.sendEnd(); err != nil {
				resetOnClose(g.client)
				_ = g.client.Close()
			}
			_ = g.server.Close()
			return "server closed"
		case err != nil:
			resetOnClose(g.client)
			_ = errors.Join(g.server.Close(), g.client.Close())
			return "server: " + err.Error()
		}
	}
}

// sendEnd sends the last frame, and lets the other daemon read it before passRequests ends.
func (g *grant) sendEnd() error {
	if err := g.writeFrame(appendHeader(nil, endFrame)); err != nil {
		return err
	}
	if c, ok := g.client.(interface{ CloseWrite() error }); ok {
		if err := c.CloseWrite(); err != nil {
			return err
		}
	}
	return g.client.SetReadDeadline(time.Now().Add(drainTimeout))
}

// writeFrame writes a frame to the other daemon.
func (g *grant) writeFrame(b []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, err := g.client.Write(b)
	return err
}
