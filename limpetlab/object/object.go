// Package object simulates the platform's object store in memory.
//
// # Usage
//
//	o := object.New(object.WithFaults(hook))
//	err := o.Put(ctx, key, body)             // in process
//	http.Handle("/v1/objects/", o.Handler()) // over HTTP
package object

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/serve"
)

// ServerName is the server name of the object store in the calls of its fault hook.
const ServerName = "object"

// maxObjectBytes is the largest object that the HTTP handler accepts.
const maxObjectBytes = 64 << 20

// Stats holds the number of calls that the store has executed, and the number and
// size of the stored objects. Bytes also counts objects that were overwritten.
type Stats struct {
	Puts    int64 `json:"puts"`
	Gets    int64 `json:"gets"`
	Deletes int64 `json:"deletes"`
	Objects int   `json:"objects"`
	Bytes   int64 `json:"bytes"`
}

// Option configures a Store.
type Option func(*Store)

// WithFaults sets the hook that injects faults into calls.
func WithFaults(p fault.Provider) Option {
	return func(s *Store) { s.faults = p }
}

// Store is an object store in memory. It is safe for concurrent use.
type Store struct {
	faults fault.Provider

	mu      sync.Mutex
	objects map[string][]byte
	stats   Stats
}

var _ store.ObjectStore = (*Store)(nil)

// New returns an empty object store.
func New(opts ...Option) *Store {
	s := &Store{objects: make(map[string][]byte)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Put implements store.ObjectStore.
func (s *Store) Put(_ context.Context, key string, body []byte) error {
	action := fault.Of(s.faults, fault.Call{Server: ServerName, Step: "put", Key: key})
	switch action.Kind {
	case fault.Down, fault.Refuse:
		return code.Errorf(code.StoreDown, "the object store is unavailable")
	case fault.Drop:
		return code.Errorf(code.StoreUnknown, "no answer")
	case fault.Delay:
		time.Sleep(action.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Puts++
	s.stats.Bytes += int64(len(body))
	s.objects[key] = slices.Clone(body)
	if action.Kind == fault.Lost {
		return code.Errorf(code.StoreUnknown, "no answer")
	}
	return nil
}

// Get implements store.ObjectStore.
func (s *Store) Get(_ context.Context, key string) ([]byte, error) {
	action := fault.Of(s.faults, fault.Call{Server: ServerName, Step: "get", Key: key})
	switch action.Kind {
	case fault.Down, fault.Refuse, fault.Drop, fault.Lost:
		return nil, code.Errorf(code.StoreDown, "the object store is unavailable")
	case fault.Delay:
		time.Sleep(action.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Gets++
	body, ok := s.objects[key]
	if !ok {
		return nil, code.Errorf(code.StoreNotFound, "object %q does not exist", key)
	}
	return body, nil
}

// Delete implements store.ObjectStore.
func (s *Store) Delete(_ context.Context, key string) error {
	action := fault.Of(s.faults, fault.Call{Server: ServerName, Step: "delete", Key: key})
	switch action.Kind {
	case fault.Down, fault.Refuse:
		return code.Errorf(code.StoreDown, "the object store is unavailable")
	case fault.Drop:
		return code.Errorf(code.StoreUnknown, "no answer")
	case fault.Delay:
		time.Sleep(action.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Deletes++
	s.stats.Bytes -= int64(len(s.objects[key]))
	delete(s.objects, key)
	if action.Kind == fault.Lost {
		return code.Errorf(code.StoreUnknown, "no answer")
	}
	return nil
}

// Stats returns the current counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.stats
	current.Objects = len(s.objects)
	return current
}

// Handler serves the store at /v1/objects/.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		writeResult(w, nil, s.Put(r.Context(), r.PathValue("key"), body))
	})
	mux.HandleFunc("DELETE /v1/objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, nil, s.Delete(r.Context(), r.PathValue("key")))
	})
	mux.HandleFunc("GET /v1/objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		body, err := s.Get(r.Context(), r.PathValue("key"))
		writeResult(w, body, err)
	})
	return mux
}

// writeResult writes the result of a call as an HTTP response of the platform. It
// aborts the connection if the result is unknown.
func writeResult(w http.ResponseWriter, body []byte, err error) {
	switch code.Of(err) {
	case code.OK:
		_, _ = w.Write(body)
	case code.StoreNotFound:
		http.Error(w, err.Error(), http.StatusNotFound)
	case code.StoreDown:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		serve.AbortConnection()
	}
}
