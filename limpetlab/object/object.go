// Package object is a stand-in for the platform's object store.
//
// # Usage
//
//	o := object.New(object.WithFaults(hook))
//	err := o.Put(ctx, key, body)       // in process
//	http.Handle("/v1/objects/", o.Handler())
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

// Name is the stand-in's server name in its fault hook.
const Name = "object"

// maxObjectBytes bounds an object.
const maxObjectBytes = 64 << 20

// Books are what the object store saw.
type Books struct {
	Puts    int64 `json:"puts"`
	Gets    int64 `json:"gets"`
	Deletes int64 `json:"deletes"`
	Objects int   `json:"objects"`
	Bytes   int64 `json:"bytes"`
}

// Option changes a Store.
type Option func(*Store)

// WithFaults sets the fault hook.
func WithFaults(p fault.Provider) Option {
	return func(s *Store) { s.faults = p }
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	faults fault.Provider

	mu      sync.Mutex
	objects map[string][]byte
	books   Books
}

var _ store.Objects = (*Store)(nil)

// New returns an empty object store.
func New(opts ...Option) *Store {
	s := &Store{objects: make(map[string][]byte)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Put implements store.Objects.
func (s *Store) Put(_ context.Context, key string, body []byte) error {
	a := fault.Of(s.faults, fault.Call{Server: Name, Step: "put", Key: key})
	switch a.Kind {
	case fault.Down, fault.Refuse:
		return code.Errorf(code.StoreDown, "the object store is down")
	case fault.Drop:
		return code.Errorf(code.StoreUnknown, "no answer")
	case fault.Delay:
		time.Sleep(a.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.books.Puts++
	s.books.Bytes += int64(len(body))
	s.objects[key] = slices.Clone(body)
	if a.Kind == fault.Lost {
		return code.Errorf(code.StoreUnknown, "no answer")
	}
	return nil
}

// Get implements store.Objects.
func (s *Store) Get(_ context.Context, key string) ([]byte, error) {
	a := fault.Of(s.faults, fault.Call{Server: Name, Step: "get", Key: key})
	switch a.Kind {
	case fault.Down, fault.Refuse, fault.Drop, fault.Lost:
		return nil, code.Errorf(code.StoreDown, "the object store is down")
	case fault.Delay:
		time.Sleep(a.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.books.Gets++
	body, ok := s.objects[key]
	if !ok {
		return nil, code.Errorf(code.StoreNotFound, "no object %q", key)
	}
	return body, nil
}

// Delete implements store.Objects.
func (s *Store) Delete(_ context.Context, key string) error {
	a := fault.Of(s.faults, fault.Call{Server: Name, Step: "delete", Key: key})
	switch a.Kind {
	case fault.Down, fault.Refuse:
		return code.Errorf(code.StoreDown, "the object store is down")
	case fault.Drop:
		return code.Errorf(code.StoreUnknown, "no answer")
	case fault.Delay:
		time.Sleep(a.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.books.Deletes++
	s.books.Bytes -= int64(len(s.objects[key]))
	delete(s.objects, key)
	if a.Kind == fault.Lost {
		return code.Errorf(code.StoreUnknown, "no answer")
	}
	return nil
}

// Books returns what the store saw so far.
func (s *Store) Books() Books {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.books
	b.Objects = len(s.objects)
	return b
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
		answer(w, nil, s.Put(r.Context(), r.PathValue("key"), body))
	})
	mux.HandleFunc("DELETE /v1/objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		answer(w, nil, s.Delete(r.Context(), r.PathValue("key")))
	})
	mux.HandleFunc("GET /v1/objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		body, err := s.Get(r.Context(), r.PathValue("key"))
		answer(w, body, err)
	})
	return mux
}

// answer writes the outcome of a call in the platform's HTTP form.
func answer(w http.ResponseWriter, body []byte, err error) {
	switch code.Of(err) {
	case code.OK:
		_, _ = w.Write(body)
	case code.StoreNotFound:
		http.Error(w, err.Error(), http.StatusNotFound)
	case code.StoreDown:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		serve.Abort()
	}
}
