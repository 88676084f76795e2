package relay

import (
	"context"
	"sync"
)

// outputBuffer holds text that an engine has generated and the caller has not yet
// received. Buffered text is joined, so that a slow caller gets fewer and longer
// chunks. While the buffer is full, nothing is read from the engine, so the engine's
// stream waits too; the caller's write deadline ends the wait.
type outputBuffer struct {
	maxBytes int
	// readable wakes sendTo and writable wakes put. One pending signal is enough, so
	// a signal to a full channel is dropped.
	readable chan struct{}
	writable chan struct{}

	mu       sync.Mutex
	text     []byte
	tokens   int
	finished bool
	reason   string
	err      error
}

func newOutputBuffer(maxBytes int) *outputBuffer {
	return &outputBuffer{
		maxBytes: maxBytes,
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
	}
}

// notify sends a signal to c unless one is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// put appends text, and waits while the buffer has no room for it.
func (b *outputBuffer) put(ctx context.Context, text string, tokens int) error {
	for !b.tryPut(text, tokens) {
		select {
		case <-b.writable:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	notify(b.readable)
	return nil
}

// tryPut appends text if the buffer has room, and reports whether it did. Text longer
// than maxBytes is accepted when the buffer is empty.
func (b *outputBuffer) tryPut(text string, tokens int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.text) > 0 && len(b.text)+len(text) > b.maxBytes {
		return false
	}
	b.text = append(b.text, text...)
	b.tokens += tokens
	return true
}

// finish ends the answer. The answer is complete, with the given reason, if err is
// nil.
func (b *outputBuffer) finish(reason string, err error) {
	b.mu.Lock()
	b.finished = true
	b.reason = reason
	b.err = err
	b.mu.Unlock()
	notify(b.readable)
}

// sendTo sends the buffered text to s in chunks until the answer ends or s returns
// an error.
func (b *outputBuffer) sendTo(s Sink) error {
	for range b.readable {
		chunk, err := b.next()
		if chunk.Text != "" || chunk.Done {
			if sendErr := s.Send(chunk); sendErr != nil {
				return sendErr
			}
		}
		if chunk.Done || err != nil {
			return err
		}
	}
	return nil
}

// next removes and returns the buffered text as one chunk. Once the answer has ended,
// next also returns how it ended.
func (b *outputBuffer) next() (Chunk, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	chunk := Chunk{Text: string(b.text), Tokens: b.tokens}
	b.text = b.text[:0]
	b.tokens = 0
	if b.finished {
		chunk.Done = b.err == nil
		chunk.Reason = b.reason
	}
	notify(b.writable)
	return chunk, b.err
}
