package table

import (
	"net/http"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/serve"
)

// keysBody is the request body of a get by key.
type keysBody struct {
	Keys []string `json:"keys"`
}

// scanBody is the request body of a scan by prefix.
type scanBody struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// rowsBody is the response body of gets and scans.
type rowsBody struct {
	Rows []store.Row `json:"rows"`
}

// Handler serves the table at /v1/table/.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/get", func(w http.ResponseWriter, r *http.Request) {
		var body keysBody
		if !serve.DecodeJSON(w, r, &body) {
			return
		}
		rows, err := t.Get(r.Context(), body.Keys...)
		writeResult(w, rowsBody{Rows: rows}, err)
	})
	mux.HandleFunc("POST /v1/table/scan", func(w http.ResponseWriter, r *http.Request) {
		var body scanBody
		if !serve.DecodeJSON(w, r, &body) {
			return
		}
		rows, err := t.Scan(r.Context(), body.Prefix, body.After, body.Limit)
		writeResult(w, rowsBody{Rows: rows}, err)
	})
	mux.HandleFunc("POST /v1/table/apply", func(w http.ResponseWriter, r *http.Request) {
		var tx store.Tx
		if !serve.DecodeJSON(w, r, &tx) {
			return
		}
		writeResult(w, struct{}{}, t.Apply(r.Context(), tx))
	})
	return mux
}

// writeResult writes the result of a call as an HTTP response of the platform. It
// aborts the connection if the result is unknown.
func writeResult(w http.ResponseWriter, body any, err error) {
	switch code.Of(err) {
	case code.OK:
		serve.WriteJSON(w, body)
	case code.StoreConflict:
		http.Error(w, err.Error(), http.StatusConflict)
	case code.StoreLimited:
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case code.StoreDown:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		serve.AbortConnection()
	}
}
