package engine

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReportsMayBeCompressed reads reports of an engine that compresses them and of an
// engine that does not. Requests for streams must not accept compression.
func TestReportsMayBeCompressed(t *testing.T) {
	for _, compress := range []bool{true, false} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/report" {
				require.Empty(t, r.Header.Get("Accept-Encoding"))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			require.Equal(t, "gzip", r.Header.Get("Accept-Encoding"))
			if !compress {
				_ = json.NewEncoder(w).Encode(Report{VM: "e"})
				return
			}
			w.Header().Set("Content-Encoding", "gzip")
			z := gzip.NewWriter(w)
			_ = json.NewEncoder(z).Encode(Report{VM: "e"})
			_ = z.Close()
		}))
		c := NewClient()
		report, err := c.Report(t.Context(), s.Listener.Addr().String())
		require.NoError(t, err)
		require.Equal(t, "e", report.VM)
		_, err = c.Resume(t.Context(), s.Listener.Addr().String(), "a", 1)
		require.Error(t, err)
		c.Close()
		s.Close()
	}
}
