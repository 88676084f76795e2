// Package engine defines the messages that daemons exchange with model engines, and
// implements the client that sends them over HTTP.
//
// An engine treats the id of an order as an idempotency key as long as its process runs:
// an order that arrives twice is executed once. An engine that restarts has no models
// or adapters loaded and a new instance id.
//
// # Usage
//
//	c := engine.NewClient(engine.WithTLS(tlsConfig))
//	frames, err := c.Generate(ctx, vm.Address, engine.Request{...})
//	for f, err := frames.Next(); err == nil; f, err = frames.Next() { ... }
//	err = frames.Close()
package engine

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of order: OrderLoad loads a slot, OrderUnload unloads a slot, OrderRole sets
// the engine's role, and OrderFence only raises the engine's fencing number.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
	OrderFence  OrderKind = "fence"
)

// Order instructs an engine to load or unload a slot, or to change its role or its
// fencing number.
type Order struct {
	// ID identifies the order; an engine executes each id only once.
	ID   string      `json:"id"`
	Kind OrderKind   `json:"kind"`
	Slot envdoc.Slot `json:"slot"`
	// MemoryMB is the accelerator memory that a load uses, in megabytes.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Role is the role that a role order sets.
	Role Role `json:"role,omitempty"`
	// Fence is the fencing number of the sender's lease.
	Fence int64 `json:"fence"`
	// Sender is the instance id of the daemon that sends the order.
	Sender string `json:"sender"`
}

// Role is which phases of a request an engine runs.
type Role string

// The roles of an engine. An engine in RoleMixed runs the processing of prompts and the
// generation of tokens, in RolePrefill only the former, in RoleDecode only the latter.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// RunsBothPhases reports whether an engine in the role runs both phases of a request. An engine
// that reports no role runs both; an engine in an unknown role does not.
func (r Role) RunsBothPhases() bool { return r == "" || r == RoleMixed }

// OrderStatus is the result of an order.
type OrderStatus string

// The results of an order. OrderDone means that the engine executed the order.
// OrderRejected means that the engine rejected the order, without effect. OrderFenced
// means that the engine rejected the order because its fencing number is too low.
const (
	OrderDone     OrderStatus = "done"
	OrderRejected OrderStatus = "rejected"
	OrderFenced   OrderStatus = "fenced"
)

// OrderResult is the engine's response to an order that it executed or rejected.
type OrderResult struct {
	ID     string      `json:"id"`
	Status OrderStatus `json:"status"`
	Reason string      `json:"reason,omitempty"`
	// Fence is the engine's fencing number after the order.
	Fence int64 `json:"fence"`
	// Instance is the instance id of the engine process.
	Instance string `json:"instance"`
}

// Report describes the state and load of an engine. The engine's state may have changed
// since.
type Report struct {
	VM string `json:"vm"`
	// Instance is the instance id of the engine process; it changes with a restart.
	Instance string `json:"instance"`
	// Sequence increases with each report of an instance.
	Sequence int64 `json:"sequence"`
	// MeasuredAt is the time of the measurement by the engine's clock.
	MeasuredAt time.Time `json:"at"`
	// MemoryMB is the size of the engine's accelerator memory in megabytes, UsedMB
	// the part that its slots use.
	MemoryMB int64 `json:"memory_mb"`
	UsedMB   int64 `json:"used_mb"`
	// Slots are the loaded models and adapters.
	Slots []envdoc.Slot `json:"slots"`
	// Running and Waiting are numbers of requests. WaitingTokens is the number of
	// prompt tokens that are not processed yet.
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	WaitingTokens int `json:"waiting_tokens"`
	// TokensPerSecond is the recent rate of generated tokens, PromptTokensPerSecond
	// the recent rate of processed prompt tokens.
	TokensPerSecond       float64 `json:"tokens_per_second"`
	PromptTokensPerSecond float64 `json:"prompt_tokens_per_second"`
	// BatchLimit is the maximum number of requests that the engine runs at once.
	BatchLimit int  `json:"batch_limit"`
	Role       Role `json:"role"`
	// Fence is the engine's fencing number.
	Fence int64 `json:"fence"`
	// Leaving is whether the engine is being taken out of service; the placement of
	// models does not use such an engine.
	Leaving bool `json:"leaving,omitempty"`
}

// CacheEvent reports that a prompt prefix was added to or removed from an engine's
// cache. Events arrive with a delay, and some may be missing.
type CacheEvent struct {
	// Sequence increases by one with each event of an instance.
	Sequence int64 `json:"sequence"`
	// Instance is the instance id of the engine process.
	Instance string `json:"instance"`
	// Prefix is the hash of the chain of prompt blocks.
	Prefix uint64 `json:"prefix"`
	// Removed is whether the prefix was removed; else it was added.
	Removed bool `json:"removed,omitempty"`
}

// Request requests the generation of an answer.
type Request struct {
	// Attempt identifies the attempt; each frame repeats it.
	Attempt string      `json:"attempt"`
	Slot    envdoc.Slot `json:"slot"`
	Prompt  string      `json:"prompt"`
	// Generated is the text of the tokens that earlier attempts delivered,
	// GeneratedTokens their number; the generation continues after them.
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
	// Offset is the number of tokens before this frame, counted from the start of
	// the answer over all attempts.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens,omitempty"`
	// Done indicates the last frame of a complete answer; Reason is then "stop" or
	// "length".
	Done   bool   `json:"done,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Error is the error that ended the answer; the frame is then the last one, and
	// Done is false.
	Error string `json:"error,omitempty"`
}

// Frames is a stream of frames.
type Frames interface {
	// Next returns the next frame, or io.EOF after the last one.
	Next() (Frame, error)
	// Close ends the stream and releases its connection.
	Close() error
}

// OrderSender sends orders to engines. An error has code OrderUnknown if the order may have
// reached the engine, and BackendFailed if it can't have.
type OrderSender interface {
	// Order sends an order and returns the engine's response.
	Order(ctx context.Context, address string, o Order) (OrderResult, error)
}

// Generator runs generations on engines. If there is no response, the error has code
// BackendFailed if no byte can have reached the engine, and BackendLost otherwise. If
// the engine responds with an error, the code is BackendFailed if the engine did not run
// the request, and EngineError otherwise.
type Generator interface {
	// Generate starts an attempt and returns its frames.
	Generate(ctx context.Context, address string, r Request) (Frames, error)
	// Resume returns the frames of an attempt from an offset in tokens on.
	Resume(ctx context.Context, address, attempt string, offset int) (Frames, error)
	// Cancel cancels an attempt.
	Cancel(ctx context.Context, address, attempt string) error
}

// Reporter reads reports and cache events from engines.
type Reporter interface {
	// Report returns the current report of an engine.
	Report(ctx context.Context, address string) (Report, error)
	// CacheEvents returns the cache events whose sequence numbers are greater than
	// after.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
}
