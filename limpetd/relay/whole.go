package relay

import "strings"

// Whole is a Sink that collects the pieces of an answer.
type Whole struct {
	text   strings.Builder
	tokens int
	reason string
}

var _ Sink = (*Whole)(nil)

// Send appends a piece.
func (w *Whole) Send(p Piece) error {
	w.text.WriteString(p.Text)
	w.tokens += p.Tokens
	w.reason = p.Reason
	return nil
}

// Text returns the text of the answer so far.
func (w *Whole) Text() string { return w.text.String() }

// Tokens returns the number of tokens in the text.
func (w *Whole) Tokens() int { return w.tokens }

// Reason returns the reason for the end of the answer, "stop" or "length".
func (w *Whole) Reason() string { return w.reason }
