// Package plain is a stand-in for a plain service, such as bookings or sends.
//
// It counts the executions of each call. A call is named by the "call" field of
// its JSON body, or by the query parameter "call". The answer repeats the name,
// so that a checker recognises an answer to another call.
//
// # Usage
//
//	s := plain.New("app-1", books, plain.WithFaults(hook))
//	http.ListenAndServe(address, s)
//	times := books.Executions("booking-17")
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/serve"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Books are the executions of a service over all of its servers, as a booking
// service's own records would be. It is safe for concurrent use.
type Books struct {
	mu         sync.Mutex
	executions map[string]int
	last       map[string]time.Time
}

// NewBooks returns empty books.
func NewBooks() *Books {
	return &Books{executions: make(map[string]int), last: make(map[string]time.Time)}
}

// execute counts an execution on a VM and returns the number so far.
func (b *Books) execute(vm, call string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions[call]++
	b.last[vm] = time.Now()
	return b.executions[call]
}

// Executions returns how often a call was executed.
func (b *Books) Executions(call string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executions[call]
}

// LastWork returns the time of the last execution on a VM.
func (b *Books) LastWork(vm string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last[vm]
}

// All returns the executions by call.
func (b *Books) All() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]int, len(b.executions))
	for k, v := range b.executions {
		all[k] = v
	}
	return all
}

// Answer is the service's answer to a call.
type Answer struct {
	Call string `json:"call"`
	// Execution is how often the call was executed with this one.
	Execution int `json:"execution"`
	// Server is the VM that executed it.
	Server string `json:"server"`
}

// Option changes a Service.
type Option func(*Service)

// WithFaults sets the fault hook.
func WithFaults(p fault.Provider) Option {
	return func(s *Service) { s.faults = p }
}

// WithTime makes each execution last d.
func WithTime(d time.Duration) Option {
	return func(s *Service) { s.lasts = d }
}

// Service is the stand-in of one server of a service.
type Service struct {
	vm     string
	books  *Books
	faults fault.Provider
	lasts  time.Duration
}

var _ http.Handler = (*Service)(nil)

// New returns a server of a service on a VM, writing to books.
func New(vm string, books *Books, opts ...Option) *Service {
	s := &Service{vm: vm, books: books}
	for _, o := range opts {
		o(s)
	}
	return s
}

// ServeHTTP executes a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/books" {
		serve.JSON(w, s.books.All())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := nameOf(r, body)
	a := fault.Of(s.faults, fault.Call{Server: s.vm, Step: "call", Key: call})
	switch a.Kind {
	case fault.Down, fault.Drop:
		serve.Abort()
	case fault.Refuse:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case fault.Delay:
		time.Sleep(a.Delay)
	}
	if s.lasts > 0 {
		time.Sleep(s.lasts)
	}
	answer := Answer{Call: call, Execution: s.books.execute(s.vm, call), Server: s.vm}
	if a.Kind == fault.Lost {
		serve.Abort()
	}
	serve.JSON(w, answer)
}

// nameOf returns the name of a call.
func nameOf(r *http.Request, body []byte) string {
	if call := r.URL.Query().Get("call"); call != "" {
		return call
	}
	var named struct {
		Call string `json:"call"`
	}
	_ = json.Unmarshal(body, &named)
	return named.Call
}
