package peer

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCompressor requires that messages are unchanged after compression and
// decompression, and that large messages shrink.
func TestCompressor(t *testing.T) {
	c := &compressor{}
	for _, size := range []int{0, 1, minCompressBytes - 1, minCompressBytes, 100_000} {
		for range 3 {
			message := []byte(strings.Repeat("slot-17 ", size/8+1)[:size])
			var wire bytes.Buffer
			w, err := c.Compress(&wire)
			require.NoError(t, err)
			_, err = w.Write(message[:size/2])
			require.NoError(t, err)
			_, err = w.Write(message[size/2:])
			require.NoError(t, err)
			require.NoError(t, w.Close())
			require.LessOrEqual(t, wire.Len(), min(size+1, minCompressBytes))
			if size >= minCompressBytes {
				require.Less(t, wire.Len(), size/4+8)
			}
			r, err := c.Decompress(&wire)
			require.NoError(t, err)
			got, err := io.ReadAll(r)
			require.NoError(t, err)
			require.Equal(t, message, append([]byte{}, got...))
		}
	}
}

// TestCompressorRejectsInvalidInput requires an error for empty input, for an unknown
// format and for a truncated message.
func TestCompressorRejectsInvalidInput(t *testing.T) {
	c := &compressor{}
	for _, wire := range [][]byte{{}, {7, 1}} {
		_, err := c.Decompress(bytes.NewReader(wire))
		require.Error(t, err)
	}
	r, err := c.Decompress(bytes.NewReader([]byte{formatDeflate, 0xff}))
	require.NoError(t, err)
	_, err = io.ReadAll(r)
	require.Error(t, err)
}
