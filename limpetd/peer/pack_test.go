package peer

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPacker returns messages as they were, and makes large ones smaller.
func TestPacker(t *testing.T) {
	p := &packer{}
	for _, size := range []int{0, 1, packBytes - 1, packBytes, 100_000} {
		for range 3 {
			message := []byte(strings.Repeat("slot-17 ", size/8+1)[:size])
			var wire bytes.Buffer
			w, err := p.Compress(&wire)
			require.NoError(t, err)
			_, err = w.Write(message[:size/2])
			require.NoError(t, err)
			_, err = w.Write(message[size/2:])
			require.NoError(t, err)
			require.NoError(t, w.Close())
			require.LessOrEqual(t, wire.Len(), min(size+1, packBytes))
			if size >= packBytes {
				require.Less(t, wire.Len(), size/4+8)
			}
			r, err := p.Decompress(&wire)
			require.NoError(t, err)
			back, err := io.ReadAll(r)
			require.NoError(t, err)
			require.Equal(t, message, append([]byte{}, back...))
		}
	}
}

// TestPackerRefuses takes no message of another form, or one cut short.
func TestPackerRefuses(t *testing.T) {
	p := &packer{}
	for _, wire := range [][]byte{{}, {7, 1}} {
		_, err := p.Decompress(bytes.NewReader(wire))
		require.Error(t, err)
	}
	r, err := p.Decompress(bytes.NewReader([]byte{formPacked, 0xff}))
	require.NoError(t, err)
	_, err = io.ReadAll(r)
	require.Error(t, err)
}
