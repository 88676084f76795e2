package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// Conn is a connection to a server through another daemon. Like other connections, it has one
// reader at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	peer   string
	id     string
	// remaining is the part of the current frame that was not read, ended whether the server has
	// closed its connection.
	remaining int
	ended     bool
	// leaving is whether the other daemon is leaving.
	leaving atomic.Bool
}

func newConn(c net.Conn, p Peer, id string) *Conn {
	return &Conn{Conn: c, reader: bufio.NewReaderSize(c, maxFrame/2), peer: p.VM, id: id}
}

// Tunnel returns the VM of the other daemon and the id of the tunnel.
func (c *Conn) Tunnel() (vm, id string) { return c.peer, c.id }

// NoInput reports whether the connection is idle: no bytes and no end have arrived, and the
// other daemon is not leaving.
func (c *Conn) NoInput() bool {
	return c.remaining == 0 && !c.ended && !c.leaving.Load() && c.reader.Buffered() == 0 && c.noInput()
}

// noInput reports whether neither data nor the end of the connection to the other daemon has arrived.
func (c *Conn) noInput() bool {
	idle, ok := c.Conn.(interface{ NoInput() bool })
	return !ok || idle.NoInput()
}

// Read implements net.Conn. It returns io.EOF if the server closed its connection, and
// io.ErrUnexpectedEOF if the tunnel broke off.
func (c *Conn) Read(b []byte) (int, error) {
	for c.remaining == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, brokenOff(err)
}

// readHeader reads the header of the next frame.
func (c *Conn) readHeader() error {
	header, err := c.reader.Peek(headerSize)
	if err != nil {
		return brokenOff(err)
	}
	length := int(binary.BigEndian.Uint16(header))
	if _, err := c.reader.Discard(headerSize); err != nil {
		return err
	}
	switch length {
	case endFrame:
		c.ended = true
	case leavingFrame:
		c.leaving.Store(true)
	default:
		c.remaining = length
	}
	return nil
}

// brokenOff replaces the end of the tunnel's own connection, which is not the end of the server's.
func brokenOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
