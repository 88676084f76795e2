package front_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// TestErrorOfTheNextServerIsNoPartOfTheStream guards against the text of an error in the middle of a stream, or at
// its end as if it were complete: the stream broke off, and the next server answers with an error.
func TestErrorOfTheNextServerIsNoPartOfTheStream(t *testing.T) {
	const failure = "internal error"
	answer := func(status int, contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if contentType != "" {
				w.Header().Set("Content-Type", contentType)
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	compressed := func(events string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			answer(http.StatusOK, "text/event-stream", gzipped(t, events))(w, r)
		}
	}
	raw := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			}
		}
	}
	for name, next := range map[string]http.HandlerFunc{
		"500":                           answer(http.StatusInternalServerError, "text/plain", failure),
		"500 as an event stream":        answer(http.StatusInternalServerError, "text/event-stream", "data: "+failure+"\n\n"),
		"404":                           answer(http.StatusNotFound, "application/json", failure),
		"200 with a text":               answer(http.StatusOK, "text/plain", failure),
		"200 with a document":           answer(http.StatusOK, "application/json", failure),
		"200 with an event without id":  answer(http.StatusOK, "text/event-stream", "event: error\ndata: "+failure+"\n\n"),
		"200 with a text as a stream":   answer(http.StatusOK, "text/event-stream", failure),
		"200 with a line as a stream":   answer(http.StatusOK, "text/event-stream", failure+"\n"),
		"head in the body":              answer(http.StatusOK, "text/event-stream", "HTTP/1.1 500 Internal Server Error\r\n\r\n"+failure+"\n\n"),
		"event before the last":         answer(http.StatusOK, "text/event-stream", "id: 5\ndata: "+failure+"\n\n"),
		"nothing of another type":       answer(http.StatusOK, "application/json", ""),
		"compressed events":             compressed("id: 6\ndata: " + failure + "\n\n"),
		"event with a text as its id":   answer(http.StatusOK, "text/event-stream", "id: a\ndata: "+failure+"\n\n"),
		"event with an empty id":        answer(http.StatusOK, "text/event-stream", "id\nid:\ndata: "+failure+"\n\n"),
		"event with the ids of two":     answer(http.StatusOK, "text/event-stream", "id: 6\nid: 7\ndata: x\n\ndata: "+failure+"\n\n"),
		"event that skips one":          answer(http.StatusOK, "text/event-stream", "id: 6\nid: 7\ndata: "+failure+"\n\n"),
		"another event":                 answer(http.StatusOK, "text/event-stream", "id: 9\ndata: "+failure+"\n\n"),
		"error without a head":          raw(failure + "\r\n\r\n"),
		"error of HTTP/1.0 to its end":  raw("HTTP/1.0 500 Internal Server Error\r\nId: x1\r\nStamp: 1\r\n\r\n" + failure),
		"stream of HTTP/1.0 to its end": raw("HTTP/1.0 200 OK\r\nId: x1\r\nStamp: 1\r\nContent-Type: text/event-stream\r\n\r\n" + failure),
	} {
		t.Run(name, func(t *testing.T) {
			for range 3 {
				fx := newFixture(t, streamRoute, streamEvents(0, 5, true), func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Last") == "" {
						streamEvents(0, 5, true)(w, r)
						return
					}
					next(w, r)
				})
				_, body, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
				require.Error(t, err, "the response looks complete: %s", body)
				require.NotContains(t, body, failure)
				require.Equal(t, eventText(0, 5), body)
			}
		})
	}
}

// TestCommentsDoNotContinueStream guards against a broken stream that looks complete because the next server sends
// only comments.
func TestCommentsDoNotContinueStream(t *testing.T) {
	const comments = ": a\n\n: b\n\n"
	for _, framing := range framings {
		fx := newFixture(t, streamRoute, streamEvents(0, 5, true), func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last") == "" {
				streamEvents(0, 5, true)(w, r)
				return
			}
			hijack(func(c net.Conn) { _ = writeStream(c, framing, comments, "") })(w, r)
		})
		_, body, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
		require.Error(t, err, "the response looks complete: %s", body)
		require.Contains(t, []string{eventText(0, 5), eventText(0, 5) + comments}, body)
	}
}

// TestStreamWithOtherLineEndsIsResumed guards against a resumed stream that begins again because its ids are not found.
func TestStreamWithOtherLineEndsIsResumed(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		text := func(first, last int) string { return strings.ReplaceAll(eventText(first, last), "\n", lineEnd) }
		serve := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			if last, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
				_, _ = io.WriteString(w, text(last+1, 9))
				return
			}
			_, _ = io.WriteString(w, text(0, 5))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		fx := newFixture(t, streamRoute, serve, serve)
		_, body, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
		require.NoError(t, err, "%q", lineEnd)
		require.Equal(t, text(0, 9), body)
	}
}

// TestStreamThatEndsWithoutEventsIsForwarded guards against taking a whole answer for a broken one: the server of a new
// stream has nothing to send, and says so by a length or a last chunk.
func TestStreamThatEndsWithoutEventsIsForwarded(t *testing.T) {
	for _, framing := range []conns.Framing{conns.Length, conns.Chunked} {
		for _, text := range []string{"", ": a\n", ": a\n\n"} {
			for _, caller := range callers {
				fx := newFixture(t, streamRoute, hijack(func(c net.Conn) { _ = writeStream(c, framing, text, "") }))
				require.Equal(t, received{http.StatusOK, text, true}, fx.callRaw(t, caller.protocol, http.MethodGet, caller.header), "%s %s %q", framing, caller.name, text)
			}
		}
	}
}
