package broken

import (
	"context"
	"errors"
	"net"
	"time"
)

// resetTimeout limits the time until a reset has arrived.
const resetTimeout = 5 * time.Second

// ReadAfterReset opens a connection by dial and resets it at its other end. When a write has met the reset,
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
	for err == nil {
		_, err = c.Write([]byte("x"))
	}
	_, err = c.Read(make([]byte, 1))
	return err
}
