package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/abort"
	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/sched"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

const (
	// streamBuffer is the size of reads from a stream. An event has some hundred bytes.
	streamBuffer = 4 << 10
	// streamMemory is what a stream usually holds: the buffer of its reads, and as much for an event that is not
	// complete. Its caller may read slowly until the deadline of the call.
	streamMemory = 2 * streamBuffer
	// maxEventSize limits the size of one event, of which each stream keeps one in memory.
	maxEventSize = 128 << 10
	// writeSlack is how long after the deadline of a call its response may still be written.
	writeSlack = 200 * time.Millisecond
)

// errEventTooLong means that an event is larger than maxEventSize.
var errEventTooLong = errors.New("an event is longer than the limit")

// errEventOrder means that the id of an event does not follow the id of the event before.
var errEventOrder = errors.New("the id of an event does not follow the id of the event before")

// errNoContinuation means that a server that was to continue a stream sent an event without an id, although all
// events of the stream so far have one.
var errNoContinuation = errors.New("an event without an id does not continue the stream")

// errNotContinued means that a server that was to continue a stream sent no event. Whether the stream had come to its
// end can't be told from that: its caller can take it up again.
var errNotContinued = errors.New("a response without events does not continue the stream")

// forwardStream forwards the complete events of a response as they arrive. A stream that
// breaks is resumed on another engine if its route allows resuming.
func (a *attempt) forwardStream(ctx context.Context, resp *http.Response, r ResponseHeaders) bool {
	c := a.call
	if r.Load != nil {
		f := c.front
		f.mu.Lock()
		f.balancer.RecordLoad(a.server.ID, *r.Load, time.Now())
		f.mu.Unlock()
	}
	controller := http.NewResponseController(c.writer)
	if err := controller.SetWriteDeadline(c.schedCall.Deadline.Add(writeSlack)); err != nil {
		c.front.deps.Log.Debug("write_deadline_not_set")
	}
	c.front.deps.Guard.Charge(budget.Streams, streamMemory)
	defer c.front.deps.Guard.Release(budget.Streams, streamMemory)
	err := a.copyEvents(ctx, resp, r, controller)
	if err == nil {
		a.conn.Release(resp)
		a.finish(sched.Answered)
		abort.Complete(c.writer, c.request)
		c.outcome.result, c.outcome.status = code.OK, http.StatusOK
		// A longer pause is silence of the server, not a sign that its prompts leave too little time for events.
		if reserver := c.front.deps.Reserver; reserver != nil && c.schedCall.Route.MaxPause > 0 && c.outcome.attempts == 1 && c.maxPause < silenceProbe {
			reserver.RecordStream(c.schedCall.Service, c.maxPause > c.schedCall.Route.MaxPause)
		}
		return false
	}
	if errors.Is(err, errNotContinued) {
		a.conn.Release(resp)
		a.finish(sched.Answered)
		c.front.metrics.notContinued.Inc(1)
		return c.retryOrEnd(ctx, code.StreamBroken, err.Error())
	}
	a.conn.Close()
	if errors.Is(err, errCallerGone) {
		a.finish(sched.Cancelled)
		c.abort(code.CallerGone, err.Error())
		return false
	}
	if c.responseBegun && c.mayRepeat() && ctx.Err() == nil {
		c.front.metrics.resumed.Inc(1)
	}
	return a.handleFailure(ctx, err)
}

// errCallerGone means that writing to the caller failed.
var errCallerGone = errors.New("writing to the caller failed")

// copyEvents forwards complete events until the response ends. It returns nil if the
// response is complete.
func (a *attempt) copyEvents(ctx context.Context, resp *http.Response, r ResponseHeaders, controller *http.ResponseController) error {
	c := a.call
	framing := conns.FramingOf(resp)
	buffer := make([]byte, streamBuffer)
	var unsent []byte
	var scanner wire.EventScanner
	for {
		if framing != conns.Length {
			if err := a.awaitBytes(ctx); err != nil {
				return err
			}
		}
		n, err := resp.Body.Read(buffer)
		c.outcome.received.bytes += n
		if n > 0 {
			before := scanner.Events()
			end := scanner.Scan(buffer[:n])
			c.outcome.received.events = scanner.Events()
			if end > 0 {
				end += len(unsent)
			}
			unsent = append(unsent, buffer[:n]...)
			if end > 0 {
				if err := a.forwardEvents(unsent[:end], scanner.Events()-before, resp, r, controller); err != nil {
					return err
				}
				unsent = append(unsent[:0], unsent[end:]...)
			}
			if len(unsent) > maxEventSize {
				return errEventTooLong
			}
		}
		switch {
		case errors.Is(err, io.EOF) && scanner.Complete(framing == conns.UntilClose):
			if a.continues && scanner.Events() == 0 {
				return errNotContinued
			}
			if !c.responseBegun {
				a.beginResponse(resp, r)
			}
			return c.writeRest(unsent)
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// writeRest writes what follows the last event of a complete stream: blank lines and comments.
func (c *call) writeRest(rest []byte) error {
	if len(rest) == 0 {
		return nil
	}
	if _, err := c.writer.Write(rest); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// beginResponse writes the head of the response to the caller, unless the head was written
// by an earlier attempt.
func (a *attempt) beginResponse(resp *http.Response, r ResponseHeaders) {
	c := a.call
	a.recordStart(r)
	if c.responseBegun {
		return
	}
	c.responseBegun = true
	c.firstAt = time.Now()
	abort.Begin(c.request)
	copyHeader(c.writer.Header(), resp.Header)
	c.writeHead(resp.StatusCode)
}

// forwardEvents writes complete events, of which there are count, to the caller.
func (a *attempt) forwardEvents(events []byte, count int, resp *http.Response, r ResponseHeaders, controller *http.ResponseController) error {
	c := a.call
	last, numbered, err := checkEventIDs(events, c.lastEvent)
	if err != nil {
		return err
	}
	if a.continues && numbered < count {
		return errNoContinuation
	}
	c.unnumbered = c.unnumbered || numbered < count
	now := time.Now()
	if !c.lastAt.IsZero() {
		c.maxPause = max(c.maxPause, now.Sub(c.lastAt))
	}
	c.lastAt = now
	if !a.started {
		a.pinSoftware(now)
		a.beginResponse(resp, r)
	} else {
		f := c.front
		f.mu.Lock()
		f.balancer.RecordEvent(a.server.ID, now.Sub(a.lastEventAt), now)
		f.ends.hear(a, now)
		f.clearAbandoned(a.server, now)
		a.recordAnswer(false, now)
		f.mu.Unlock()
	}
	a.lastEventAt = now
	if _, err := c.writer.Write(events); err != nil {
		return errors.Join(errCallerGone, err)
	}
	if err := controller.Flush(); err != nil {
		return errors.Join(errCallerGone, err)
	}
	c.lastEvent = last
	return nil
}

// idField starts the line of an event that holds the event's id.
var idField = []byte("id:")

// checkEventIDs checks that the ids of events increase by one, starting after last. It returns
// the last id and the number of events with an id. The last id of an event is its id. Ids that are
// not numbers are not checked. An id that is empty, or no number after one that is, does not count:
// no stream can go on after it.
func checkEventIDs(events []byte, last string) (string, int, error) {
	numbered := 0
	id := ""
	for len(events) > 0 {
		var line []byte
		line, events = cutLine(events)
		if bytes.HasPrefix(line, idField) {
			id = string(bytes.TrimSpace(line[len(idField):]))
			continue
		}
		if id == "" || len(line) > 0 {
			continue
		}
		previous, errPrevious := strconv.ParseInt(last, 10, 64)
		current, errCurrent := strconv.ParseInt(id, 10, 64)
		if errPrevious == nil && errCurrent == nil && current != previous+1 {
			return last, numbered, errEventOrder
		}
		if errPrevious != nil || errCurrent == nil {
			numbered++
		}
		last, id = id, ""
	}
	return last, numbered, nil
}

// cutLine returns the first line of b and what follows it. A line feed, a carriage return or both end a line.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	i := bytes.IndexByte(line, '\r')
	switch {
	case i < 0:
		return line, rest
	case i == len(line)-1:
		return line[:i], rest
	}
	return line[:i], b[i+1:]
}
