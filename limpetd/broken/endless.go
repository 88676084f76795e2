package broken

import (
	"net"
	"strings"
	"sync/atomic"
)

// endlessBlock is the least size in bytes of a write to a connection.
const endlessBlock = 16 << 10

// Endless answers each connection with a prefix, and then with a text again and again until the other
// end closes the connection.
type Endless struct {
	Prefix, Text string
	// Open counts the connections that the other end has not closed.
	Open atomic.Int64
}

// Serve reads the first bytes of a request on each connection and answers without end, until l is
// closed.
func (e *Endless) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			e.Open.Add(1)
			defer e.Open.Add(-1)
			request := make([]byte, 4<<10)
			if _, err := c.Read(request); err == nil {
				e.Send(c)
			}
		}()
	}
}

// Send answers without end on a connection, and closes it when the other end has.
func (e *Endless) Send(c net.Conn) {
	// Errors mean that the other end has closed the connection.
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(e.Prefix)); err != nil {
		return
	}
	block := []byte(strings.Repeat(e.Text, 1+endlessBlock/len(e.Text)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}
