package link_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/link"
)

// echo starts a server that sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				// The end of the connection ends the copy.
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// round sends a byte and waits for it to come back.
func round(t *testing.T, c net.Conn, most time.Duration) error {
	t.Helper()
	require.NoError(t, c.SetDeadline(time.Now().Add(most)))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestLinkIsSilencedSlowedResetAndHealed(t *testing.T) {
	l, err := link.Start(echo(t))
	require.NoError(t, err)
	defer l.Cut()
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", l.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	c := dial()
	require.NoError(t, round(t, c, 5*time.Second))
	for _, way := range [][2]bool{{true, false}, {false, true}} {
		l.Silence(way[0], way[1])
		require.ErrorIs(t, round(t, c, 150*time.Millisecond), os.ErrDeadlineExceeded)
		require.NoError(t, l.Heal())
		require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, err := io.ReadFull(c, make([]byte, 1))
		require.NoError(t, err, "held bytes pass when the link is healed")
	}
	l.Slow(60 * time.Millisecond)
	begin := time.Now()
	require.NoError(t, round(t, c, 5*time.Second))
	require.GreaterOrEqual(t, time.Since(begin), 120*time.Millisecond)
	require.NoError(t, l.Heal())
	l.Reset()
	require.Error(t, round(t, c, 5*time.Second))
	require.NoError(t, round(t, dial(), 5*time.Second), "new connections work")
}
