package socket_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// BenchmarkConn compares the reads and writes of a Conn with those of a net.TCPConn.
func BenchmarkConn(b *testing.B) {
	dialer := socket.NewDialer(net.Dialer{Timeout: time.Second})
	for name, dial := range map[string]func(ctx context.Context, network, address string) (net.Conn, error){
		"net": (&net.Dialer{Timeout: time.Second}).DialContext, "socket": dialer.DialContext,
	} {
		for _, size := range []int{1 << 10, 64 << 10} {
			for _, call := range []socket.Call{socket.Read, socket.Write} {
				b.Run(fmt.Sprintf("%s/%s/%d", name, call, size), func(b *testing.B) { benchmarkCalls(b, dial, call, size) })
			}
		}
	}
}

// benchmarkCalls reads from a peer that writes, or writes to one that reads.
func benchmarkCalls(b *testing.B, dial func(ctx context.Context, network, address string) (net.Conn, error), call socket.Call, size int) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { require.NoError(b, l.Close()) }()
	c, err := dial(b.Context(), "tcp4", l.Addr().String())
	require.NoError(b, err)
	peer, err := l.Accept()
	require.NoError(b, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		buffer := make([]byte, 64<<10)
		for err := error(nil); err == nil; {
			if call == socket.Read {
				_, err = peer.Write(buffer)
			} else {
				_, err = peer.Read(buffer)
			}
		}
	}()
	buffer := make([]byte, size)
	b.SetBytes(int64(size))
	b.ReportAllocs()
	for b.Loop() {
		if call == socket.Read {
			_, err = io.ReadFull(c, buffer)
		} else {
			_, err = c.Write(buffer)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	require.NoError(b, c.Close())
	<-done
	_ = peer.Close()
}
