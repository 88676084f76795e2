package relay

import (
	"context"
	"sync"
)

// pending is the text that an engine has generated and the caller has not yet
// taken. Text that waits is joined, so that a slow caller gets fewer and longer
// pieces. When it is full the reading from the engine waits, and with it the
// engine's stream; the caller's write deadline ends the wait.
type pending struct {
	limit int
	// ready and room wake the other side; one waiting signal is enough, so
	// a signal to a full channel is dropped.
	ready chan struct{}
	room  chan struct{}

	mu       sync.Mutex
	text     []byte
	tokens   int
	finished bool
	reason   string
	err      error
}

func newPending(limit int) *pending {
	return &pending{
		limit: limit,
		ready: make(chan struct{}, 1),
		room:  make(chan struct{}, 1),
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// put adds text and waits while there is no room.
func (p *pending) put(ctx context.Context, text string, tokens int) error {
	for !p.tryPut(text, tokens) {
		select {
		case <-p.room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	wake(p.ready)
	return nil
}

// tryPut adds text if there is room. A text longer than the whole limit is
// taken when nothing waits.
func (p *pending) tryPut(text string, tokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.text) > 0 && len(p.text)+len(text) > p.limit {
		return false
	}
	p.text = append(p.text, text...)
	p.tokens += tokens
	return true
}

// finish ends the answer: whole with a reason, or with an error.
func (p *pending) finish(reason string, err error) {
	p.mu.Lock()
	p.finished = true
	p.reason = reason
	p.err = err
	p.mu.Unlock()
	wake(p.ready)
}

// drain sends pieces to s until the answer ends.
func (p *pending) drain(s Sink) error {
	for range p.ready {
		piece, err := p.take()
		if piece.Text != "" || piece.Done {
			if sent := s.Send(piece); sent != nil {
				return sent
			}
		}
		if piece.Done || err != nil {
			return err
		}
	}
	return nil
}

// take returns all that waits.
func (p *pending) take() (Piece, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	piece := Piece{Text: string(p.text), Tokens: p.tokens}
	p.text = p.text[:0]
	p.tokens = 0
	if p.finished {
		piece.Done = p.err == nil
		piece.Reason = p.reason
	}
	wake(p.room)
	return piece, p.err
}
