package relay

import "strings"

// Whole is a sink that keeps an answer until it is whole.
type Whole struct {
	text   strings.Builder
	tokens int
	reason string
}

var _ Sink = (*Whole)(nil)

// Send keeps a piece.
func (w *Whole) Send(p Piece) error {
	w.text.WriteString(p.Text)
	w.tokens += p.Tokens
	w.reason = p.Reason
	return nil
}

// Text returns the text, Tokens its length and Reason why it ended.
func (w *Whole) Text() string { return w.text.String() }

// Tokens returns the number of tokens.
func (w *Whole) Tokens() int { return w.tokens }

// Reason returns "stop" or "length".
func (w *Whole) Reason() string { return w.reason }
