// Package layout describes what a deployment serves: its routes, its services, the models
// of its engines, and the backend servers that are running.
//
// A call is one HTTP request of a caller. Most types of the package are plain data. A Config
// is immutable; a newer version replaces it as a whole.
//
// # Usage
//
//	c := &layout.Config{Version: 7, Routes: routes, Services: services}
//	index := layout.NewRouteIndex(c.Routes)
//	route, ok := index.Match("app.example", "/v2/ask/1")
package layout

import "time"

// Kind is the kind of a route. It determines whether a call may be run again, and the form
// of the answer.
type Kind int

// The kinds of route.
const (
	// Unsafe calls run at most once.
	Unsafe Kind = iota
	// Idempotent calls may run more than once.
	Idempotent
	// Stream calls are answered with a stream of events.
	Stream
)

// Target is a service that receives a share of the calls of a route.
type Target struct {
	Service string
	// Weight is the share of the target relative to the other targets; at least 0.
	Weight float64
}

// Route maps calls for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the time from the arrival of a call to the end of its answer.
	Timeout time.Duration
	// Expectation is the latency objective: the time to the answer or, for streams, to the
	// first event, within which a call has its full value.
	Expectation time.Duration
	// MaxPause is the longest time between two events of a stream that is on time.
	MaxPause time.Duration
	// AbandonAfter is the time without events after which callers abandon a stream; 0 if
	// callers never do.
	AbandonAfter time.Duration
	// Priority ranks calls; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the number of backend servers that may run one call; at least 1.
	MaxAttempts int
	// Resumable is whether a broken stream may continue on another engine.
	Resumable bool
	// ToEngines is whether calls name a model and share parts of their prompts.
	ToEngines bool
	// Public is whether calls need no key of an organisation.
	Public  bool
	Targets []Target
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a model that engines of a service may load.
type Model struct {
	Name string
	// MemoryMB is the size of the model's weights.
	MemoryMB float64
	// Adapters are the names of the model's adapters.
	Adapters []string
	// AdapterMB is the size of one adapter.
	AdapterMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the times to load the weights from the
	// weight store, from the engine's disk and from its host memory.
	StoreLoad, DiskLoad, MemoryLoad time.Duration
}

// Engines describes the engines of a service.
type Engines struct {
	// Slots is the number of calls that an engine runs in one batch.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache in tokens, shared by running
	// calls and cached prompts.
	CacheTokens int
	// MemoryMB is the memory of an engine for weights and adapters.
	MemoryMB float64
	// AdapterSlots is the maximum number of adapters that an engine holds.
	AdapterSlots int
	// LoadsPerSecond is the rate at which all engines together may start loads from the
	// weight store.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns the model with the given name, or nil if there is none.
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
	// Engines is nil for services whose backend servers are not engines.
	Engines *Engines
}

// Limits limit the size of a caller's request, the time to receive its header, and the time
// that a caller's connection may be idle.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. Services are the services by name.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Organisations are the organisations whose callers may use routes that are not public, and Keys
	// their keys. Keys is nil in a deployment without organisations, where calls need no key.
	Organisations []*Organisation
	Keys          *KeyIndex
}

// State is the state that a backend server reports.
type State int

// The states of a backend server.
const (
	Ready State = iota
	Draining
)

// HeldModel describes a model that an engine holds: its version and the adapters held with it.
type HeldModel struct {
	Version  int64
	Adapters []string
}

// Server is the entry of a running backend server in the list of servers.
type Server struct {
	// ID identifies one start of the server, and StartedAt is the time of that start in
	// milliseconds since 1970. A server may also start again with the same ID.
	ID        string
	StartedAt int64
	// Revision increases with each change of the entry.
	Revision int64
	Service  string
	Address  string
	// Software is the version of the server's software; empty if the entry states none.
	Software string
	// DataCentre is the data centre in which the server runs.
	DataCentre string
	State      State
	// Slots is the number of calls that the server runs at a time; 0 if the entry states
	// none.
	Slots int
	// LeavesAt is when the server will be gone; zero if the server has announced no time.
	LeavesAt time.Time
	// Models are the models that the server holds, by name.
	Models map[string]HeldModel
	// InMemory and OnDisk are the models whose weights have a copy in the host memory and
	// on the disk of the server.
	InMemory, OnDisk []string
}

// SameStart reports whether s and o describe the same start of a server.
func (s *Server) SameStart(o *Server) bool {
	return s.ID == o.ID && s.StartedAt == o.StartedAt && s.Address == o.Address
}
