package gate

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"mime"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/abort"
	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// Header and trailer names.
const (
	headerRequestID = relay.RequestIDHeader
	headerCode      = "Limpet-Code"
	headerRun       = relay.RunHeader
	headerPriority  = "Limpet-Priority"
	headerKey       = "Idempotency-Key"
)

// exchange is one HTTP request and its response.
type exchange struct {
	gate       *Gate
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	id         string
	start      time.Time
	catalog    *relay.Catalog
	caller     *envdoc.Caller
	// headerWritten reports whether the response header is written. A later
	// error is written to the body and the trailers.
	headerWritten bool
	// resultWritten reports whether the result code and the run state are already
	// in the headers or trailers.
	resultWritten bool
	// proxied reports whether the response is that of a backend server. An
	// error then aborts the connection, so that the caller does not take a
	// truncated response for a complete one.
	proxied bool
	// unframed reports whether the response has no length.
	unframed bool
	// bodyRead reports whether the body was read to its end, held is its memory.
	bodyRead bool
	held     int64
}

// callerHandler returns an HTTP handler for requests that need a caller's key.
// The handler counts the request as in flight, authenticates the caller, calls
// handle and writes the error that handle returns.
func (g *Gate) callerHandler(handle func(x *exchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inflight.Add(1)
		defer g.inflight.Add(-1)
		defer abort.End(r)
		x := &exchange{
			gate:       g,
			writer:     w,
			request:    r,
			controller: http.NewResponseController(w),
			id:         newRequestID(),
			start:      g.now(),
		}
		w.Header().Set(headerRequestID, x.id)
		err := x.authenticate()
		if err == nil {
			err = handle(x)
		}
		x.finish(err)
	})
}

// newRequestID returns a random request ID.
func newRequestID() string {
	var b [16]byte
	hi, lo := rand.Uint64(), rand.Uint64()
	for i := range 8 {
		b[i] = byte(hi >> (8 * i))
		b[8+i] = byte(lo >> (8 * i))
	}
	return hex.EncodeToString(b[:])
}

// authenticate sets the catalog and the caller of the exchange. It rejects
// requests with an oversized header or an unknown key, and all requests while
// the daemon is leaving or has no document.
func (x *exchange) authenticate() error {
	if _, err := x.gate.deps.Guard.Header(x.writer, x.request, int64(x.gate.config.MaxHeaderBytes)); err != nil {
		return err
	}
	if x.gate.leaving.Load() {
		x.writer.Header().Set("Connection", "close")
		return code.Errorf(code.Stopping, "the daemon is leaving")
	}
	catalog, err := x.gate.catalogs.Catalog()
	if err != nil {
		return err
	}
	x.catalog = catalog
	scheme, key, _ := strings.Cut(x.request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return code.Errorf(code.BadKey, "the header Authorization: Bearer is missing")
	}
	caller, ok := catalog.CallerByKey(key)
	if !ok {
		return code.Errorf(code.BadKey, "no caller has this key")
	}
	x.caller = caller
	return nil
}

// hold changes the memory that is charged for the body, or for what was decoded from it, to n bytes. An error has code
// MemoryShort.
func (x *exchange) hold(n int64) error {
	if more := n - x.held; more > 0 {
		if err := x.gate.deps.Guard.Reserve(x.writer, budget.Waiting, more); err != nil {
			return err
		}
	} else {
		x.gate.deps.Guard.Release(budget.Waiting, -more)
	}
	x.held = n
	return nil
}

// readBody reads the whole request body, of at most limit bytes and within
// BodyTimeout. Each byte is charged as factor bytes. An error has code BodyTooLarge, MemoryShort, SlowCaller or CallerGone.
func (x *exchange) readBody(limit, factor int64) ([]byte, error) {
	// The error is ignored: not every response writer supports deadlines, but
	// that of http.Server does.
	_ = x.controller.SetReadDeadline(time.Now().Add(x.gate.config.BodyTimeout))
	body, err := x.gate.deps.Guard.ReadBody(x.writer, x.request, limit, guard.WithFactor(factor))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, code.Errorf(code.SlowCaller, "the body was not received within %s", x.gate.config.BodyTimeout)
	}
	if err != nil {
		return nil, err
	}
	_ = x.controller.SetReadDeadline(time.Time{})
	x.bodyRead, x.held = true, factor*int64(cap(body))
	return body, nil
}

// decodeFactor is what a byte of the body of a request for a generation takes at most while it is decoded, and while its
// prompt is encoded for an engine.
var decodeFactor = 1 + wire.DecodeBytes(1)

// decodeBody reads a request body whose content type is JSON and decodes it, within the memory of the process.
func (x *exchange) decodeBody(limit int64, decode func([]byte) (wire.Generation, error)) (wire.Generation, error) {
	body, err := x.readJSONBody(limit)
	if err != nil {
		return wire.Generation{}, err
	}
	if n := int64(cap(body)) + wire.DecodeBytesOf(body); n > x.held {
		if err := x.hold(n); err != nil {
			return wire.Generation{}, err
		}
	}
	g, err := decode(body)
	if err != nil {
		return g, err
	}
	return g, x.hold(int64(len(g.Prompt)) + engine.EncodeBytes(g.Prompt))
}

// readJSONBody reads a request body whose content type is JSON.
func (x *exchange) readJSONBody(limit int64) ([]byte, error) {
	mediaType, err := x.contentType()
	if err != nil {
		return nil, err
	}
	if mediaType != contentTypeJSON {
		return nil, code.Errorf(code.BadContentType, "content type %q is not %s", mediaType, contentTypeJSON)
	}
	return x.readBody(limit, decodeFactor)
}

// Content types of requests and responses.
const (
	contentTypeJSON   = "application/json"
	contentTypeJSONL  = "application/jsonl"
	contentTypeNDJSON = "application/x-ndjson"
)

// contentType returns the media type of the request body without its parameters,
// or JSON if the request has no Content-Type header.
func (x *exchange) contentType() (string, error) {
	value := x.request.Header.Get("Content-Type")
	if value == "" || value == contentTypeJSON {
		return contentTypeJSON, nil
	}
	mediaType, _, err := mime.ParseMediaType(value)
	if err != nil {
		return "", code.Errorf(code.BadContentType, "content type %q is malformed", value)
	}
	return mediaType, nil
}

// setResult sets the result code and the run state as headers or, once the header
// is written, as trailers.
func (x *exchange) setResult(c code.Code, run code.RunState) {
	h := x.writer.Header()
	prefix := ""
	if x.headerWritten {
		prefix = http.TrailerPrefix
	}
	h.Set(prefix+headerCode, strconv.Itoa(int(c)))
	h.Set(prefix+headerRun, string(run))
	x.resultWritten = true
}

// writeJSON writes v as the whole response.
func (x *exchange) writeJSON(status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return code.Errorf(code.Internal, "encode response: %w", err)
	}
	x.writeBody(status, contentTypeJSON, body)
	return nil
}

// writeBody writes the whole response with a body of the given content type.
func (x *exchange) writeBody(status int, contentType string, body []byte) {
	if !x.resultWritten {
		x.setResult(code.OK, code.RunYes)
	}
	h := x.writer.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.headerWritten = true
	x.extendWriteDeadline()
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body)
}

// beginUnframed is called before a response without a length is written.
func (x *exchange) beginUnframed() {
	x.unframed = true
	abort.Begin(x.request)
}

// extendWriteDeadline sets the deadline for the caller to accept the next part of
// the response.
func (x *exchange) extendWriteDeadline() {
	_ = x.controller.SetWriteDeadline(time.Now().Add(x.gate.config.WriteTimeout))
}

// finish writes err, if any, to the caller and records the result of the exchange
// in metrics, events and the log. An error of a proxied response aborts the
// connection.
func (x *exchange) finish(err error) {
	c := code.Of(err)
	x.gate.deps.Guard.Release(budget.Waiting, x.held)
	if !x.bodyRead && x.request.ContentLength != 0 {
		guard.EndBody(x.writer)
	}
	if err != nil && !x.proxied {
		x.writeError(err)
	} else if x.headerWritten && !x.resultWritten {
		x.setResult(code.OK, code.RunYes)
	}
	if x.unframed && (err == nil || !x.proxied) {
		abort.Complete(x.writer, x.request)
	}
	_ = x.controller.SetWriteDeadline(time.Time{})
	x.gate.metrics.record(c, x.gate.now().Sub(x.start))
	kind := event.RequestEnded
	if c >= code.CallerLimit && c <= code.ShedDeadline {
		kind = event.RequestShed
	}
	x.gate.deps.Events.Add(event.Event{Kind: kind, Request: x.id, Code: int(c)})
	if err != nil {
		x.logFailure(err)
	}
	if err != nil && x.proxied {
		abort.Response(x.request)
	}
}

// logFailure logs the error with which the exchange ended.
func (x *exchange) logFailure(err error) {
	name := ""
	if x.caller != nil {
		name = x.caller.Name
	}
	x.gate.deps.Log.Info("request_failed",
		zap.String("request_id", x.id),
		zap.String("caller", name),
		zap.String("path", x.request.URL.Path),
		zap.Int("code", int(code.Of(err))),
		zap.String("run", string(code.RunOf(err))),
		zap.Error(err))
}

// writeError writes err as the whole response, or as the last event of a stream.
func (x *exchange) writeError(err error) {
	if x.headerWritten {
		x.setResult(code.Of(err), code.RunOf(err))
		x.extendWriteDeadline()
		_, _ = x.writer.Write(wire.AppendError(nil, err, x.id))
		_ = x.controller.Flush()
		return
	}
	x.setResult(code.Of(err), code.RunOf(err))
	h := x.writer.Header()
	if wait := retryAfter(err); wait > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(wait)))
	}
	if code.Of(err) == code.BadKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body, _ := json.Marshal(wire.NewError(err, x.id))
	x.writeBody(code.Of(err).Info().Status, contentTypeJSON, body)
}

// ceilSeconds returns d in seconds, rounded up.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
