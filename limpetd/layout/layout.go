// Package layout describes what a deployment serves: routes, services, the models
// of its engines, and the backend servers that are known to run.
//
// It holds plain data. A Config is never changed after it was made; a newer
// version replaces it whole.
//
// # Usage
//
//	c := &layout.Config{Version: 7, Routes: routes, Services: services}
//	paths := layout.NewPaths(c.Routes)
//	route, ok := paths.Match("app.example", "/v2/ask/1")
package layout

import "time"

// Kind is what a call of a route allows the system to do.
type Kind int

// The kinds of route.
const (
	// Unsafe calls run at most once.
	Unsafe Kind = iota
	// Idempotent calls may run more than once.
	Idempotent
	// Stream calls are answered by a series of events.
	Stream
)

// Target is a service that gets a share of the calls of a route.
type Target struct {
	Service string
	// Weight is relative to the other targets; at least 0.
	Weight float64
}

// Route leads calls of a host and path to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a call may wait for the end of its answer.
	Timeout time.Duration
	// Expectation is the time to the answer, for streams to the first event,
	// within which a call has its full worth.
	Expectation time.Duration
	// MaxPause is the longest pause between events of a stream that is on time.
	MaxPause time.Duration
	// Abandon is the silence after which callers give a stream up; 0 if they don't.
	Abandon time.Duration
	// Priority ranks calls; 0 is the most urgent.
	Priority int
	// Attempts is the number of backend servers that may run one call, at least 1.
	Attempts int
	// Resumable streams may go on at another engine.
	Resumable bool
	// Engines tells that calls name a model and share parts of prompts.
	Engines bool
	Targets []Target
}

// Repeatable tells whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a model that engines of a service may load.
type Model struct {
	Name string
	// MemoryMB is the size of its weights.
	MemoryMB float64
	// Adapters are the names of its adapters.
	Adapters []string
	// AdapterMB is the size of one adapter.
	AdapterMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the times to load the weights from
	// the weight store, from the engine's disk and from its host memory.
	StoreLoad, DiskLoad, MemoryLoad time.Duration
}

// Engines describes the engines of a service.
type Engines struct {
	// Slots is the number of requests in a batch.
	Slots int
	// CacheTokens is the memory for tokens of requests and kept prompts.
	CacheTokens int
	// MemoryMB is the memory for weights and adapters.
	MemoryMB float64
	// AdapterSlots is the number of adapters that an engine holds at most.
	AdapterSlots int
	// LoadsPerSecond is the rate at which all engines together may begin to load
	// from the weight store.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns the model with a name, or nil.
func (e *Engines) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a group of backend servers that answer the same calls.
type Service struct {
	Name string
	// MaxConns is the number of connections that a backend server accepts.
	MaxConns int
	// Engines is nil for plain services.
	Engines *Engines
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
}

// State is what a backend server says of itself.
type State int

// The states of a backend server.
const (
	Ready State = iota
	Draining
)

// Held is a model that an engine holds.
type Held struct {
	Version  int64
	Adapters []string
}

// Server is a backend server that is known to run.
type Server struct {
	// ID is that of one start of the server, Born the time of that start in
	// milliseconds since 1970. A server may start again under its ID.
	ID   string
	Born int64
	// Revision grows with each change of the entry.
	Revision int64
	Service  string
	Address  string
	// DataCentre is where the server runs.
	DataCentre string
	State      State
	Slots      int
	// Leaves is when the server will be gone; zero if it has not said so.
	Leaves time.Time
	// Models are the models that it holds, by name.
	Models map[string]Held
	// InMemory and OnDisk are the models whose weights the host keeps copies of.
	InMemory, OnDisk []string
}

// Same tells whether both are the same start of a server.
func (s *Server) Same(o *Server) bool {
	return s.ID == o.ID && s.Born == o.Born && s.Address == o.Address
}
