package gate

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"mime"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// Names of headers and trailers.
const (
	headerRequestID = relay.RequestIDHeader
	headerCode      = "Limpet-Code"
	headerRun       = relay.RunHeader
	headerPriority  = "Limpet-Priority"
	headerKey       = "Idempotency-Key"
)

// exchange is one request and its answer.
type exchange struct {
	gate    *Gate
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	id      string
	start   time.Time
	catalog *relay.Catalog
	caller  *envdoc.Caller
	// begun tells that the header of the answer is written; the error then
	// goes into the body and the trailers.
	begun bool
	// ended tells that the answer states how it ended already.
	ended bool
	// passed tells that the answer is a backend server's; an error then
	// breaks the connection, so that a cut answer does not look whole.
	passed bool
}

// work wraps the handling of a request that needs a caller: it counts the
// request, checks the key and writes the error that the handling returns.
func (g *Gate) work(handle func(x *exchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inflight.Add(1)
		defer g.inflight.Add(-1)
		x := &exchange{
			gate:    g,
			writer:  w,
			request: r,
			control: http.NewResponseController(w),
			id:      newID(),
			start:   g.now(),
		}
		w.Header().Set(headerRequestID, x.id)
		err := x.admit()
		if err == nil {
			err = handle(x)
		}
		x.end(err)
	})
}

// headerBytes returns the length of the header as HTTP/1.1 writes it.
func headerBytes(r *http.Request) int {
	const between, host = len(": \r\n"), len("Host: \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len(r.Host) + host
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + between
		}
	}
	return n
}

// newID returns a request id.
func newID() string {
	var b [16]byte
	hi, lo := rand.Uint64(), rand.Uint64()
	for i := range 8 {
		b[i] = byte(hi >> (8 * i))
		b[8+i] = byte(lo >> (8 * i))
	}
	return hex.EncodeToString(b[:])
}

// admit finds the caller. New work is refused while the daemon leaves.
func (x *exchange) admit() error {
	if n, limit := headerBytes(x.request), x.gate.config.MaxHeaderBytes; n > limit {
		x.writer.Header().Set("Connection", "close")
		return code.Errorf(code.HeaderTooLarge, "the header has %d bytes, %d are allowed", n, limit)
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
		return code.Errorf(code.BadKey, "the key is not known")
	}
	x.caller = caller
	return nil
}

// body reads the whole body within the limits. An error has code BodyTooLarge,
// SlowCaller or CallerGone.
func (x *exchange) body(limit int64) ([]byte, error) {
	if x.request.ContentLength > limit {
		x.writer.Header().Set("Connection", "close")
		return nil, tooLarge(limit)
	}
	// Not every writer has deadlines; the server's has.
	_ = x.control.SetReadDeadline(time.Now().Add(x.gate.config.BodyTime))
	body, err := x.read(limit)
	_ = x.control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	x.writer.Header().Set("Connection", "close")
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, code.Errorf(code.SlowCaller, "the body did not arrive within %s", x.gate.config.BodyTime)
	}
	return nil, code.WithRun(code.Errorf(code.CallerGone, "the body broke off"), code.RunNo)
}

// read reads the body into a buffer of the announced size.
func (x *exchange) read(limit int64) ([]byte, error) {
	from := http.MaxBytesReader(x.writer, x.request.Body, limit)
	if n := x.request.ContentLength; n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(from, body)
		return body, err
	}
	return io.ReadAll(from)
}

func tooLarge(limit int64) error {
	return code.Errorf(code.BodyTooLarge, "the body exceeds %d bytes", limit)
}

// jsonBody reads a body of JSON.
func (x *exchange) jsonBody(limit int64) ([]byte, error) {
	kind, err := x.contentType()
	if err != nil {
		return nil, err
	}
	if kind != kindJSON {
		return nil, code.Errorf(code.BadContentType, "content type %q is not %s", kind, kindJSON)
	}
	return x.body(limit)
}

// Content types.
const (
	kindJSON   = "application/json"
	kindJSONL  = "application/jsonl"
	kindNDJSON = "application/x-ndjson"
)

// contentType returns the type of the body without its parameters; JSON where
// the caller names none.
func (x *exchange) contentType() (string, error) {
	value := x.request.Header.Get("Content-Type")
	if value == "" || value == kindJSON {
		return kindJSON, nil
	}
	kind, _, err := mime.ParseMediaType(value)
	if err != nil {
		return "", code.Errorf(code.BadContentType, "content type %q cannot be read", value)
	}
	return kind, nil
}

// state writes how the exchange ended into headers or, once these are written,
// into trailers.
func (x *exchange) state(c code.Code, run code.Run) {
	h := x.writer.Header()
	prefix := ""
	if x.begun {
		prefix = http.TrailerPrefix
	}
	h.Set(prefix+headerCode, strconv.Itoa(int(c)))
	h.Set(prefix+headerRun, string(run))
	x.ended = true
}

// json writes an answer.
func (x *exchange) json(status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return code.Errorf(code.Internal, "answer: %w", err)
	}
	x.raw(status, kindJSON, body)
	return nil
}

// raw writes an answer of a content type.
func (x *exchange) raw(status int, kind string, body []byte) {
	if !x.ended {
		x.state(code.OK, code.RunYes)
	}
	h := x.writer.Header()
	h.Set("Content-Type", kind)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.begun = true
	x.slow()
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body)
}

// slow gives the caller its time to accept the next part of the answer.
func (x *exchange) slow() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.gate.config.SlowCaller))
}

// end writes the error of an exchange and keeps its books.
func (x *exchange) end(err error) {
	c := code.Of(err)
	if err != nil && !x.passed {
		x.fail(err)
	} else if x.begun && !x.ended {
		x.state(code.OK, code.RunYes)
	}
	_ = x.control.SetWriteDeadline(time.Time{})
	x.gate.counts.count(c, x.gate.now().Sub(x.start))
	kind := event.RequestEnded
	if c >= code.CallerLimit && c <= code.ShedDeadline {
		kind = event.RequestShed
	}
	x.gate.deps.Events.Add(event.Event{Kind: kind, Request: x.id, Code: int(c)})
	if err != nil {
		x.log(err)
	}
	if err != nil && x.passed {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) log(err error) {
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

// fail writes an error: as the whole answer, or as the last event of a stream.
func (x *exchange) fail(err error) {
	if x.begun {
		x.state(code.Of(err), code.RunOf(err))
		x.slow()
		_, _ = x.writer.Write(wire.AppendError(nil, err, x.id))
		_ = x.control.Flush()
		return
	}
	x.state(code.Of(err), code.RunOf(err))
	h := x.writer.Header()
	if wait := retryAfter(err); wait > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(wait)))
	}
	if code.Of(err) == code.BadKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body, _ := json.Marshal(wire.NewError(err, x.id))
	x.raw(code.Of(err).Info().Status, kindJSON, body)
}

// seconds rounds up to whole seconds.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
