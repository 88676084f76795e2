package broken

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// resetTimeout limits the time of the read after a reset.
	resetTimeout = 5 * time.Second
	// resetWrites is how many writes may meet a reset, since a connection need not report the failure of one.
	resetWrites = 20
)

// ReadAfterReset opens a connection by dial and resets it at its other end. When writes have met the reset,
// ReadAfterReset returns the error of the next read, which is io.EOF if the connection has lost the reset.
func ReadAfterReset(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error)) (err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, l.Close()) }()
	c, err := dial(ctx, "tcp4", l.Addr().String())
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	peer, err := l.Accept()
	if err != nil {
		return err
	}
	if err := errors.Join(peer.(*net.TCPConn).SetLinger(0), peer.Close(), c.SetDeadline(time.Now().Add(resetTimeout))); err != nil {
		return err
	}
	for n := 0; err == nil && n < resetWrites; n++ {
		_, err = c.Write([]byte("x"))
		time.Sleep(time.Millisecond)
	}
	_, err = c.Read(make([]byte, 1))
	return err
}
