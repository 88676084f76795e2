package docs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

func TestBodiesAreStoredCompressed(t *testing.T) {
	for _, body := range []string{"", "revision: 1\n", strings.Repeat("- name: model-001\n", 1000)} {
		stored, err := store.Compress([]byte(body))
		require.NoError(t, err)
		require.Less(t, len(stored), len(body)/20+64)
		unpacked, err := unpack(stored)
		require.NoError(t, err)
		require.Equal(t, body, string(unpacked))
		unpacked, err = unpack([]byte(body))
		require.NoError(t, err, "a body that was stored uncompressed")
		require.Equal(t, body, string(unpacked))
	}
}

func TestUnpackIsBounded(t *testing.T) {
	stored, err := store.Compress(bytes.Repeat([]byte("a"), 4*envdoc.MaxBytes))
	require.NoError(t, err)
	body, err := unpack(stored)
	require.ErrorIs(t, err, conns.ErrBodyTooLarge)
	require.LessOrEqual(t, len(body), envdoc.MaxBytes+1)
	for _, size := range []int{3, 12, 40} {
		_, err = unpack(stored[:size])
		require.Error(t, err)
	}
}
