// Package tunnel opens connections to backend servers through other daemons, for a daemon that
// has lost its own path to a server.
//
// A Dialer connects to a server directly. If that fails, it asks other daemons for a tunnel: the
// daemon that grants one connects to the server and passes bytes both ways. If the server accepts
// the connection of another daemon, the path of this daemon is lost, and it uses tunnels at once
// from then on. If the server refuses the others too, the server is down and the error says so.
// The dialer tries lost paths again in the background.
//
// A tunnel replaces only the connection. The daemon that uses it chooses the server, writes each
// request once, checks the response and cancels it by closing the connection, as on a direct
// connection. The daemon that grants it reads no request, sends nothing again, and opens no tunnel
// itself, so that there are no loops. It ends its connection to the server when that of the other
// daemon ends.
//
// The bytes from the server are sent in frames, and a last frame marks the end of the server's
// connection. A tunnel that ends without this frame has broken off: a response that only the end
// of its connection ends must not look complete because a daemon was killed.
//
// # Usage
//
//	d := tunnel.New(ctx, direct, log, scope, tunnel.WithOnLost(pool.DropIdle))
//	d.SetPeers(peers)
//	d.SetServers(addresses)
//	c, err := d.DialContext(ctx, "tcp4", address)
//	s := tunnel.Serve(ctx, listener, d, log)
//	s.Leave()
package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Peer is another daemon, which grants tunnels at an address.
type Peer struct {
	VM      string
	Address string
}

const (
	// openTimeout bounds the opening of a tunnel: a connection to the other daemon, which then
	// connects to the server.
	openTimeout = 400 * time.Millisecond
	// peerTimeout bounds the connection to the other daemon, some round trips.
	peerTimeout = 150 * time.Millisecond
	// requestTimeout bounds the time in which a daemon that has connected requests a tunnel.
	requestTimeout = time.Second
	// maxName is the greatest length of an address or a VM name.
	maxName = 255
	// maxFrame is the size of the largest frame. Events have some hundred bytes.
	maxFrame = 8 << 10
	// endFrame and leavingFrame take the place of a frame's length: the server has closed its
	// connection, and the daemon that grants the tunnel is leaving.
	endFrame     = 0
	leavingFrame = 0xffff
	headerSize   = 2
)

// status is the answer to the request for a tunnel.
type status byte

// The answers.
const (
	opened status = iota + 1
	// refused means that the server refused the connection.
	refused
	// noAnswer means that the server did not answer.
	noAnswer
	// noPath means that the daemon has no path to the server either.
	noPath
	// unknownServer means that the daemon knows no server with the address.
	unknownServer
	// busy means that the daemon has as many tunnels as it grants, or is leaving.
	busy
)

// String returns the name of a status, for logs.
func (s status) String() string {
	names := map[status]string{opened: "opened", refused: "refused", noAnswer: "no_answer", noPath: "no_path", unknownServer: "unknown_server", busy: "busy"}
	if name, ok := names[s]; ok {
		return name
	}
	return fmt.Sprintf("status_%d", byte(s))
}

// errLongName means that the name of a VM or an address is too long for a request.
var errLongName = errors.New("name over 255 bytes")

// request asks for a tunnel. ID identifies the tunnel in the logs of both daemons.
type request struct {
	ID      string
	Address string
}

// protocolVersion is the first byte of a request.
const protocolVersion = 1

// writeRequest writes a request: the version, the lengths of both names, and the names.
func writeRequest(w io.Writer, r request) error {
	if len(r.ID) > maxName || len(r.Address) > maxName {
		return code.Errorf(code.Internal, "tunnel to %q: %w", r.Address, errLongName)
	}
	message := append([]byte{protocolVersion, byte(len(r.ID)), byte(len(r.Address))}, r.ID+r.Address...)
	_, err := w.Write(message)
	return err
}

// readRequest reads a request.
func readRequest(r io.Reader) (request, error) {
	var head [3]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return request{}, err
	}
	if head[0] != protocolVersion {
		return request{}, code.Errorf(code.BadParameter, "tunnel request of version %d", head[0])
	}
	names := make([]byte, int(head[1])+int(head[2]))
	if _, err := io.ReadFull(r, names); err != nil {
		return request{}, err
	}
	return request{ID: string(names[:head[1]]), Address: string(names[head[1]:])}, nil
}

// appendHeader appends the header of a frame.
func appendHeader(b []byte, length int) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(length))
}

// resetOnClose makes closing a TCP connection reset it.
func resetOnClose(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// The error can be ignored: the connection is closed next.
		_ = l.SetLinger(0)
	}
}
