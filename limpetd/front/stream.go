package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

const (
	// streamBuffer is the size of reads from a stream; an event has some hundred bytes.
	streamBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
	// writeSlack is how long after the end of a call its answer may still be written.
	writeSlack = 200 * time.Millisecond
)

// errEventTooLong means that an event does not end.
var errEventTooLong = errors.New("an event is longer than the limit")

// errEventOrder means that an engine sent an event that does not follow the last one.
var errEventOrder = errors.New("an event does not follow the one before")

// stream passes the events of an answer on as they come, whole ones only. A stream
// that breaks is resumed at another engine if its route allows that.
func (s *send) stream(ctx context.Context, a *http.Response, r Reply) bool {
	c := s.call
	if r.Load != nil {
		f := c.front
		f.mu.Lock()
		f.book.Told(s.server.ID, *r.Load, time.Now())
		f.mu.Unlock()
	}
	control := http.NewResponseController(c.writer)
	if err := control.SetWriteDeadline(c.need.Until.Add(writeSlack)); err != nil {
		c.front.deps.Log.Debug("write_deadline_not_set")
	}
	err := s.events(ctx, a, r, control)
	if err == nil {
		s.conn.Release(a)
		s.end(sched.Answered)
		c.outcome.result, c.outcome.status = code.OK, http.StatusOK
		if v := c.front.deps.Reserver; v != nil && c.need.Route.MaxPause > 0 && c.outcome.sends == 1 {
			v.Streamed(c.need.Service, c.pause > c.need.Route.MaxPause)
		}
		return false
	}
	s.conn.Close()
	if errors.Is(err, errCaller) {
		s.end(sched.Left)
		c.cut(code.CallerGone, err.Error())
		return false
	}
	if c.begun && c.need.Route.Repeatable() && ctx.Err() == nil {
		c.front.metrics.resumed.Inc(1)
	}
	return s.broken(ctx, err)
}

// errCaller means that the caller takes no more bytes.
var errCaller = errors.New("the caller takes no more bytes")

// events copies whole events until the answer ends; nil if it ended properly.
func (s *send) events(ctx context.Context, a *http.Response, r Reply, control *http.ResponseController) error {
	c := s.call
	buffer := make([]byte, streamBuffer)
	var pending []byte
	for {
		if a.ContentLength < 0 {
			if err := s.await(ctx); err != nil {
				return err
			}
		}
		n, err := a.Body.Read(buffer)
		if n > 0 {
			pending = append(pending, buffer[:n]...)
			whole := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
			if whole >= len(eventEnd) {
				if err := s.forward(pending[:whole], a, r, control); err != nil {
					return err
				}
				pending = append(pending[:0], pending[whole:]...)
			}
			if len(pending) > maxEvent {
				return errEventTooLong
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0:
			if !c.begun {
				s.begin(a, r)
			}
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// begin writes the head of the answer, that of the first engine.
func (s *send) begin(a *http.Response, r Reply) {
	c := s.call
	s.start(r)
	if c.begun {
		return
	}
	c.begun = true
	c.firstAt = time.Now()
	copyHeader(c.writer.Header(), a.Header)
	c.writeHead(a.StatusCode)
}

// forward passes whole events on.
func (s *send) forward(events []byte, a *http.Response, r Reply, control *http.ResponseController) error {
	c := s.call
	last, err := follow(events, c.event)
	if err != nil {
		return err
	}
	now := time.Now()
	if !c.lastAt.IsZero() {
		c.pause = max(c.pause, now.Sub(c.lastAt))
	}
	c.lastAt = now
	if !s.started {
		s.begin(a, r)
	} else {
		f := c.front
		f.mu.Lock()
		f.book.Heard(s.server.ID, now.Sub(s.heard), now)
		f.mu.Unlock()
	}
	s.heard = now
	if _, err := c.writer.Write(events); err != nil {
		return errors.Join(errCaller, err)
	}
	if err := control.Flush(); err != nil {
		return errors.Join(errCaller, err)
	}
	c.event = last
	return nil
}

// idField begins the line of an event that holds its id.
var idField = []byte("id:")

// follow checks that the ids of events increase by one from last on, and returns the
// last one. Ids that are not numbers are not checked.
func follow(events []byte, last string) (string, error) {
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		events = rest
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		id := string(bytes.TrimSpace(line[len(idField):]))
		before, errBefore := strconv.ParseInt(last, 10, 64)
		now, errNow := strconv.ParseInt(id, 10, 64)
		if errBefore == nil && errNow == nil && now != before+1 {
			return last, errEventOrder
		}
		last = id
	}
	return last, nil
}
