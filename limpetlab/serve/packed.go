package serve

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// packers are compressors that are used again.
var packers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Packed answers with a JSON value, compressed if the caller takes it.
func Packed(w http.ResponseWriter, r *http.Request, value any) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		JSON(w, value)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := packers.Get().(*gzip.Writer)
	defer packers.Put(z)
	z.Reset(w)
	_ = json.NewEncoder(z).Encode(value)
	_ = z.Close()
}
