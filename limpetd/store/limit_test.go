package store

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// TestObjectOverLimitIsAnError guards against an object that is cut off at the limit and
// returned as complete.
func TestObjectOverLimitIsAnError(t *testing.T) {
	for _, over := range []int{0, 1} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, maxResponseBytes+over))
		}))
		c := NewClient(s.URL, WithTimeout(time.Minute))
		body, err := c.Objects().Get(t.Context(), "key")
		if over == 0 {
			require.NoError(t, err)
			require.Len(t, body, maxResponseBytes)
		} else {
			require.ErrorContains(t, err, conns.ErrBodyTooLarge.Error())
		}
		c.Close()
		s.Close()
	}
}

// TestBrokenObjectIsAnError breaks off an object whose response has a length, and one whose
// response has chunks.
func TestBrokenObjectIsAnError(t *testing.T) {
	for _, length := range []string{"100", ""} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		c := NewClient(s.URL)
		_, err := c.Objects().Get(t.Context(), "key")
		require.Equal(t, code.StoreDown, code.Of(err), "%v", err)
		c.Close()
		s.Close()
	}
}

func TestDecompressOverLimitIsAnError(t *testing.T) {
	value := bytes.Repeat([]byte("x"), 1000)
	stored, err := Compress(value)
	require.NoError(t, err)
	got, err := Decompress(stored, 1000)
	require.NoError(t, err)
	require.Equal(t, value, got)
	_, err = Decompress(stored, 999)
	require.ErrorIs(t, err, conns.ErrBodyTooLarge)
	_, err = Decompress(stored[:len(stored)-1], 1000)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
