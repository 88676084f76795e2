// Package engine is the client of model engines: their messages and the HTTP
// adapter that carries them.
//
// An engine treats the id of an order as an idempotency key for as long as its
// process lives: an order that arrives twice is carried out once. An engine
// that restarts begins empty, with a new instance id.
//
// # Usage
//
//	c := engine.NewClient(engine.WithTLS(tlsConfig))
//	frames, err := c.Generate(ctx, vm.Address, engine.Request{...})
//	for f := range frames.All() { ... }
package engine

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// OrderKind is what an order asks an engine to do.
type OrderKind string

// The kinds of order. OrderFence only raises the engine's fencing number.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
	OrderFence  OrderKind = "fence"
)

// Order is an order to an engine.
type Order struct {
	// ID identifies the order; the engine carries an id out once.
	ID   string      `json:"id"`
	Kind OrderKind   `json:"kind"`
	Slot envdoc.Slot `json:"slot"`
	// MemoryMB is the memory that a load takes.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Role is the role that a role order sets.
	Role Role `json:"role,omitempty"`
	// Fence is the fencing number of the sender's lease.
	Fence int64 `json:"fence"`
	// Sender is the instance id of the daemon that sends the order.
	Sender string `json:"sender"`
}

// Role is the part an engine takes in serving.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Whole tells whether an engine in the role serves requests from prompt to end. An
// engine that reports no role does; one in an unknown role does not.
func (r Role) Whole() bool { return r == "" || r == RoleMixed }

// OrderStatus is how an engine answered an order.
type OrderStatus string

// The answers to an order. OrderDone means carried out; OrderRejected means
// refused without effect; OrderFenced means refused for its old fence.
const (
	OrderDone     OrderStatus = "done"
	OrderRejected OrderStatus = "rejected"
	OrderFenced   OrderStatus = "fenced"
)

// OrderAnswer is the engine's answer once the order is carried out or refused.
type OrderAnswer struct {
	ID     string      `json:"id"`
	Status OrderStatus `json:"status"`
	Reason string      `json:"reason,omitempty"`
	// Fence is the engine's fencing number after the order.
	Fence int64 `json:"fence"`
	// Instance is the engine process that answered.
	Instance string `json:"instance"`
}

// Report is an engine's load report. It lags.
type Report struct {
	VM string `json:"vm"`
	// Instance changes when the engine process restarts.
	Instance string `json:"instance"`
	// Sequence grows with each report of an instance.
	Sequence int64 `json:"sequence"`
	// At is the engine's time of the measurement.
	At time.Time `json:"at"`
	// MemoryMB is the engine's whole accelerator memory, UsedMB what its
	// slots take.
	MemoryMB int64 `json:"memory_mb"`
	UsedMB   int64 `json:"used_mb"`
	// Slots are those resident.
	Slots []envdoc.Slot `json:"slots"`
	// Running and Waiting count requests; WaitingTokens counts prompt
	// tokens not yet processed.
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	WaitingTokens int `json:"waiting_tokens"`
	// TokensPerSecond is the recent rate of generation, PromptTokensPerSecond
	// that of prompt processing.
	TokensPerSecond       float64 `json:"tokens_per_second"`
	PromptTokensPerSecond float64 `json:"prompt_tokens_per_second"`
	// BatchLimit is the number of requests that the engine runs at once.
	BatchLimit int   `json:"batch_limit"`
	Role       Role  `json:"role"`
	Fence      int64 `json:"fence"`
	Leaving    bool  `json:"leaving,omitempty"`
}

// CacheEvent tells of a prompt prefix that entered or left an engine's cache.
// Events come late and with gaps.
type CacheEvent struct {
	// Sequence grows by one with each event of an instance.
	Sequence int64  `json:"sequence"`
	Instance string `json:"instance"`
	// Prefix is the hash of the prompt block chain.
	Prefix  uint64 `json:"prefix"`
	Removed bool   `json:"removed,omitempty"`
}

// Request asks an engine to generate an answer.
type Request struct {
	// Attempt identifies the attempt; every frame repeats it.
	Attempt string      `json:"attempt"`
	Slot    envdoc.Slot `json:"slot"`
	Prompt  string      `json:"prompt"`
	// Generated is the text of tokens that an earlier attempt delivered,
	// GeneratedTokens their number; generation continues after them.
	Generated       string  `json:"generated,omitempty"`
	GeneratedTokens int     `json:"generated_tokens,omitempty"`
	MaxTokens       int     `json:"max_tokens"`
	Temperature     float64 `json:"temperature,omitempty"`
	Seed            int64   `json:"seed,omitempty"`
	// Rank is the rank of the priority; 0 is the most urgent.
	Rank int `json:"rank"`
}

// Frame is a part of an answer.
type Frame struct {
	Attempt string `json:"attempt"`
	// Offset is the number of tokens before this frame, counted from the
	// beginning of the whole answer.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens,omitempty"`
	// Done marks the last frame; Reason is then "stop" or "length".
	Done   bool   `json:"done,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Error ends the answer without Done.
	Error string `json:"error,omitempty"`
}

// Frames is a stream of frames.
type Frames interface {
	// Next returns the next frame; io.EOF after the last one.
	Next() (Frame, error)
	// Close ends the stream and frees its connection.
	Close() error
}

// Orderer delivers orders. An error has code OrderUnknown when the order may
// have reached the engine, and BackendFailed when it cannot have.
type Orderer interface {
	Order(ctx context.Context, address string, o Order) (OrderAnswer, error)
}

// Generator runs generations. An error has code BackendFailed when no byte can
// have reached the engine, BackendLost otherwise.
type Generator interface {
	Generate(ctx context.Context, address string, r Request) (Frames, error)
	// Resume continues the stream of an attempt from an offset in tokens.
	Resume(ctx context.Context, address, attempt string, offset int) (Frames, error)
	// Cancel ends an attempt.
	Cancel(ctx context.Context, address, attempt string) error
}

// Reporter reads reports and cache events.
type Reporter interface {
	Report(ctx context.Context, address string) (Report, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
}
