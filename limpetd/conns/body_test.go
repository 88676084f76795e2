package conns_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

func TestBodyOverLimitIsAnError(t *testing.T) {
	for body, want := range map[string]error{"": nil, "abc": nil, "abcd": conns.ErrBodyTooLarge} {
		read, err := conns.ReadBody(strings.NewReader(body), 3)
		require.Equal(t, want, err)
		require.Equal(t, body[:min(len(body), 3)], string(read))
	}
	_, err := conns.ReadBody(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("ab"))), 3)
	require.ErrorIs(t, err, iotest.ErrTimeout)
	_, err = conns.ReadBody(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 3)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
