package relay

import "strings"

// AnswerBuffer is a Sink that collects the chunks of an answer.
type AnswerBuffer struct {
	text   strings.Builder
	tokens int
	reason string
}

var _ Sink = (*AnswerBuffer)(nil)

// Send appends a chunk.
func (w *AnswerBuffer) Send(p Chunk) error {
	w.text.WriteString(p.Text)
	w.tokens += p.Tokens
	w.reason = p.Reason
	return nil
}

// Text returns the text of the answer so far.
func (w *AnswerBuffer) Text() string { return w.text.String() }

// Tokens returns the number of tokens in the text.
func (w *AnswerBuffer) Tokens() int { return w.tokens }

// Reason returns the reason for the end of the answer, "stop" or "length".
func (w *AnswerBuffer) Reason() string { return w.reason }
