package engsim

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetlab/serve"
)

// Handler returns the handler of the engine's HTTP API and of its counters.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", func(w http.ResponseWriter, r *http.Request) {
		var o engine.Order
		if !serve.DecodeJSON(w, r, &o) {
			return
		}
		answer, err := e.Order(r.Context(), o)
		if err != nil {
			serve.AbortConnection()
		}
		serve.WriteJSON(w, answer)
	})
	mux.HandleFunc("POST /v1/generate", func(w http.ResponseWriter, r *http.Request) {
		var request engine.Request
		if !serve.DecodeJSON(w, r, &request) {
			return
		}
		frames, err := e.Generate(r.Context(), request)
		writeFrames(w, frames, err)
	})
	mux.HandleFunc("GET /v1/generate/{attempt}", func(w http.ResponseWriter, r *http.Request) {
		offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
		if err != nil {
			http.Error(w, "offset: "+err.Error(), http.StatusBadRequest)
			return
		}
		frames, err := e.Resume(r.Context(), r.PathValue("attempt"), offset)
		writeFrames(w, frames, err)
	})
	mux.HandleFunc("DELETE /v1/generate/{attempt}", func(w http.ResponseWriter, r *http.Request) {
		if err := e.Cancel(r.Context(), r.PathValue("attempt")); err != nil {
			serve.AbortConnection()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, r *http.Request) {
		report, err := e.Report(r.Context())
		if err != nil {
			serve.AbortConnection()
		}
		serve.WriteJSONGzip(w, r, report)
	})
	mux.HandleFunc("GET /v1/cache", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		events, err := e.CacheEvents(r.Context(), after)
		if err != nil {
			serve.AbortConnection()
		}
		serve.WriteJSONGzip(w, r, events)
	})
	mux.HandleFunc("GET /books", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, e.Stats())
	})
	return mux
}

// writeFrames writes frames as lines of JSON. A request that failed with
// code.BackendFailed and did not run gets status 409; any other error aborts the
// connection.
func writeFrames(w http.ResponseWriter, frames engine.Frames, err error) {
	if err != nil {
		if code.RunOf(err) == code.RunNo && code.Of(err) == code.BackendFailed {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		serve.AbortConnection()
	}
	defer func() { _ = frames.Close() }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	control := http.NewResponseController(w)
	for {
		f, err := frames.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			serve.AbortConnection()
		}
		if encoder.Encode(f) != nil {
			return
		}
		if !f.Done {
			_ = control.Flush()
		}
	}
}
