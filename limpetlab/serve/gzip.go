package serve

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// gzipWriters holds gzip writers for reuse.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// WriteJSONGzip writes value as the JSON body of the response, compressed with gzip if the
// request accepts it.
func WriteJSONGzip(w http.ResponseWriter, r *http.Request, value any) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		WriteJSON(w, value)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(w)
	_ = json.NewEncoder(z).Encode(value)
	_ = z.Close()
}
