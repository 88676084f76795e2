// Package plain simulates a plain service, such as one for bookings or for sending
// messages.
//
// The service counts the executions of each call. The name of a call is the query
// parameter "call", or else the "call" field of the JSON body. The answer repeats
// the name, so that a checker recognises an answer to another call.
//
// # Usage
//
//	executionLog := plain.NewExecutionLog()
//	s := plain.New("app-1", executionLog, plain.WithFaults(hook))
//	http.ListenAndServe(address, s)
//	n := executionLog.Executions("booking-17")
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

// maxBodyBytes is the largest body of a call.
const maxBodyBytes = 1 << 20

// ExecutionLog records the executions of a service on all of its servers, like the
// persistent records of a booking service. It is safe for concurrent use.
type ExecutionLog struct {
	mu sync.Mutex
	// executions is indexed by call, lastExecution by VM.
	executions    map[string]int
	lastExecution map[string]time.Time
}

// NewExecutionLog returns a record without executions.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{executions: make(map[string]int), lastExecution: make(map[string]time.Time)}
}

// recordExecution records an execution of call on a VM. It returns the number of
// executions of call so far.
func (b *ExecutionLog) recordExecution(vm, call string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions[call]++
	b.lastExecution[vm] = time.Now()
	return b.executions[call]
}

// Executions returns how often a call was executed.
func (b *ExecutionLog) Executions(call string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executions[call]
}

// LastExecution returns the time of the last execution on a VM.
func (b *ExecutionLog) LastExecution(vm string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastExecution[vm]
}

// Counts returns the number of executions by call.
func (b *ExecutionLog) Counts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]int, len(b.executions))
	for call, n := range b.executions {
		all[call] = n
	}
	return all
}

// Answer is the service's answer to a call.
type Answer struct {
	Call string `json:"call"`
	// Execution is the number of executions of the call, including this one.
	Execution int `json:"execution"`
	// Server is the VM that executed the call.
	Server string `json:"server"`
}

// Option configures a Service.
type Option func(*Service)

// WithFaults sets the hook that injects faults into calls.
func WithFaults(p fault.Provider) Option {
	return func(s *Service) { s.faults = p }
}

// WithExecutionTime sets the duration of each execution.
func WithExecutionTime(d time.Duration) Option {
	return func(s *Service) { s.executionTime = d }
}

// Service is one server of a plain service.
type Service struct {
	vm            string
	executionLog  *ExecutionLog
	faults        fault.Provider
	executionTime time.Duration
}

var _ http.Handler = (*Service)(nil)

// New returns a server of a service on a VM. The server records executions in executionLog.
func New(vm string, executionLog *ExecutionLog, opts ...Option) *Service {
	s := &Service{vm: vm, executionLog: executionLog}
	for _, o := range opts {
		o(s)
	}
	return s
}

// ServeHTTP executes a call, or returns the number of executions by call at /books.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/books" {
		serve.WriteJSON(w, s.executionLog.Counts())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := callName(r, body)
	action := fault.Of(s.faults, fault.Call{Server: s.vm, Step: "call", Key: call})
	switch action.Kind {
	case fault.Down, fault.Drop:
		serve.AbortConnection()
	case fault.Refuse:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case fault.Delay:
		time.Sleep(action.Delay)
	}
	if s.executionTime > 0 {
		time.Sleep(s.executionTime)
	}
	answer := Answer{Call: call, Execution: s.executionLog.recordExecution(s.vm, call), Server: s.vm}
	if action.Kind == fault.Lost {
		serve.AbortConnection()
	}
	serve.WriteJSON(w, answer)
}

// callName returns the name of a call.
func callName(r *http.Request, body []byte) string {
	if call := r.URL.Query().Get("call"); call != "" {
		return call
	}
	var fields struct {
		Call string `json:"call"`
	}
	_ = json.Unmarshal(body, &fields)
	return fields.Call
}
