package wire

import (
	"errors"
	"io"
	"mime"
)

// EventStreamType is the media type of server-sent events.
const EventStreamType = "text/event-stream"

// EventScanner finds the ends of events in a stream of server-sent events. Lines end with a
// line feed, a carriage return or both. A blank line ends an event. Lines that begin with a
// colon are comments.
type EventScanner struct {
	// lineStarted is whether the current line has any bytes.
	lineStarted bool
	// comment is whether the current line is a comment.
	comment bool
	// afterReturn is whether the last byte was a carriage return.
	afterReturn bool
	// started is whether any line follows the last blank line, inEvent whether one of these
	// is not a comment.
	started, inEvent bool
	events           int
}

// Scan scans the next bytes of the stream. It returns the length of the part of b that ends
// with the last blank line after an event or comment; 0 if there is none.
func (s *EventScanner) Scan(b []byte) int {
	end := 0
	for i, c := range b {
		secondOfPair := c == '\n' && s.afterReturn
		s.afterReturn = c == '\r'
		switch {
		case secondOfPair:
			if end > 0 && end == i {
				end++
			}
		case c != '\n' && c != '\r':
			if !s.lineStarted {
				s.comment = c == ':'
			}
			s.inEvent = s.inEvent || !s.comment
			s.lineStarted, s.started = true, true
		case s.lineStarted:
			s.lineStarted = false
		case s.started:
			if s.inEvent {
				s.events++
			}
			s.started, s.inEvent = false, false
			end = i + 1
		}
	}
	return end
}

// Events returns the number of complete events.
func (s *EventScanner) Events() int { return s.events }

// Complete reports whether a stream that has ended is complete: it doesn't end inside an event
// and, if untilClose is set, has an event. untilClose is whether only the end of the connection
// ends the stream, and neither a length nor a last chunk does: without an event such a stream
// can't be distinguished from one that broke before its first event.
func (s *EventScanner) Complete(untilClose bool) bool {
	return !s.inEvent && (!untilClose || s.events > 0)
}

// EventReader reads a stream of server-sent events that only the end of its connection ends. At
// the end of a stream that is not complete its error is io.ErrUnexpectedEOF.
type EventReader struct {
	source  io.Reader
	scanner EventScanner
}

// NewEventReader returns a reader of source.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Read implements io.Reader.
func (r *EventReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.scanner.Scan(b[:n])
	if errors.Is(err, io.EOF) && !r.scanner.Complete(true) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// IsEventStream reports whether a Content-Type header names a stream of server-sent events, whatever
// its parameters.
func IsEventStream(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && mediaType == EventStreamType
}
