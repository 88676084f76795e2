package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
	goji "goji.io"
	"goji.io/pat"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/event"
)

// MaxBodyBytes is the maximum size of the body of an operator call.
const MaxBodyBytes = 4 << 20

// DocumentManager accepts and promotes documents.
type DocumentManager interface {
	Apply(ctx context.Context, operator string, s Submission) (Accepted, error)
	Promote(ctx context.Context, operator string, p Promotion) (Accepted, error)
}

// StatusProvider returns the state of the environment.
type StatusProvider interface {
	Status(ctx context.Context) (Status, error)
}

// PlanProvider returns the next planned moves of placement.
type PlanProvider interface {
	Plan(ctx context.Context) (Plan, error)
}

// EventsProvider returns the timeline of this daemon (local) or of all daemons.
type EventsProvider interface {
	Events(ctx context.Context, f event.Filter, local bool) (Events, error)
}

// Drainer makes a VM leave or cancels the drain of a backend server.
type Drainer interface {
	Drain(ctx context.Context, operator string, d DrainRequest) error
}

// Deps holds the dependencies of a Server.
type Deps struct {
	Operators []conf.Operator
	Applier   DocumentManager
	Status    StatusProvider
	Plan      PlanProvider
	Events    EventsProvider
	Drainer   Drainer
	// Probes serves /livez, /readyz and /metrics, which require no token.
	Probes   http.Handler
	Log      *zap.Logger
	Timeline *event.Timeline
}

// Server serves the operators' interface.
type Server struct {
	deps Deps
	mux  *goji.Mux
}

var _ http.Handler = (*Server)(nil)

// New returns a server of the operators' interface.
func New(d Deps) *Server {
	s := &Server{deps: d, mux: goji.NewMux()}
	s.mux.HandleFunc(pat.Post("/operator/v1/documents"), s.handlerFor("apply", s.apply))
	s.mux.HandleFunc(pat.Post("/operator/v1/promotions"), s.handlerFor("promote", s.promote))
	s.mux.HandleFunc(pat.Get("/operator/v1/status"), s.handlerFor("status", s.status))
	s.mux.HandleFunc(pat.Get("/operator/v1/plan"), s.handlerFor("plan", s.plan))
	s.mux.HandleFunc(pat.Get("/operator/v1/events"), s.handlerFor("events", s.events))
	s.mux.HandleFunc(pat.Post("/operator/v1/drain"), s.handlerFor("drain", s.drain))
	s.mux.Handle(pat.Get("/*"), d.Probes)
	return s
}

// ServeHTTP handles a call. The body is limited to MaxBodyBytes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	// The errors are ignored: not every response writer supports deadlines, but that of http.Server does.
	if r.ContentLength != 0 {
		_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
		r.Body = &timedBody{ReadCloser: r.Body, controller: controller}
	}
	if !strings.HasPrefix(r.URL.Path, operatorPath) {
		_ = controller.SetWriteDeadline(time.Now().Add(probeTimeout))
	}
	r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// callHandler handles an authenticated operator call and returns the response body.
type callHandler func(r *http.Request, operator string) (any, error)

// handlerFor returns an HTTP handler that authenticates the operator, calls h,
// records the call under the given name and encodes the response.
func (s *Server) handlerFor(name string, h callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, err := s.authenticate(r)
		var answer any
		if err == nil {
			answer, err = h(r, operator)
		}
		s.recordCall(name, operator, err)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

// authenticate returns the name of the operator whose token the request has. The
// digest of the token is compared with the digests of all operators in constant
// time, so that the response time reveals nothing about them.
func (s *Server) authenticate(r *http.Request) (string, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	name := ""
	for _, o := range s.deps.Operators {
		if subtle.ConstantTimeCompare(sum[:], o.TokenSHA256[:]) == 1 {
			name = o.Name
		}
	}
	if !ok || name == "" {
		return "", code.Errorf(code.BadOperator, "no operator has this token")
	}
	return name, nil
}

// recordCall records the call in the log and in the timeline.
func (s *Server) recordCall(name, operator string, err error) {
	c := code.Of(err)
	s.deps.Timeline.Add(event.Event{Kind: event.OperatorCall, Code: int(c), Text: name + " by " + operator})
	s.deps.Log.Info("operator_call", zap.String("call", name), zap.String("operator", operator),
		zap.Int("code", int(c)), zap.Error(err))
}

// apply handles a call that submits a document.
func (s *Server) apply(r *http.Request, operator string) (any, error) {
	var m Submission
	if err := readJSON(r, &m); err != nil {
		return nil, err
	}
	if m.ID == "" {
		return nil, code.Errorf(code.BadParameter, "the submission has no id")
	}
	return s.deps.Applier.Apply(r.Context(), operator, m)
}

// promote handles a promotion call.
func (s *Server) promote(r *http.Request, operator string) (any, error) {
	var m Promotion
	if err := readJSON(r, &m); err != nil {
		return nil, err
	}
	if m.ID == "" || m.Digest == "" {
		return nil, code.Errorf(code.BadParameter, "the promotion has no id or no digest")
	}
	return s.deps.Applier.Promote(r.Context(), operator, m)
}

func (s *Server) status(r *http.Request, _ string) (any, error) {
	return s.deps.Status.Status(r.Context())
}

func (s *Server) plan(r *http.Request, _ string) (any, error) {
	return s.deps.Plan.Plan(r.Context())
}

func (s *Server) drain(r *http.Request, operator string) (any, error) {
	var m DrainRequest
	if err := readJSON(r, &m); err != nil {
		return nil, err
	}
	return m, s.deps.Drainer.Drain(r.Context(), operator, m)
}

func (s *Server) events(r *http.Request, _ string) (any, error) {
	f, err := parseFilter(r)
	if err != nil {
		return nil, err
	}
	return s.deps.Events.Events(r.Context(), f, r.URL.Query().Get("local") == "true")
}

// parseFilter returns the filter in the query of an events call.
func parseFilter(r *http.Request) (event.Filter, error) {
	q := r.URL.Query()
	f := event.Filter{Request: q.Get("request"), Model: q.Get("model"), VM: q.Get("vm")}
	var err error
	if f.Since, err = parseTime(q.Get("since")); err != nil {
		return f, err
	}
	if f.Until, err = parseTime(q.Get("until")); err != nil {
		return f, err
	}
	if v := q.Get("limit"); v != "" {
		if f.Limit, err = strconv.Atoi(v); err != nil || f.Limit < 0 {
			return f, code.Errorf(code.BadParameter, "limit %q must be a number of events, at least 0", v)
		}
	}
	return f, nil
}

// parseTime parses a time in RFC 3339 format; empty text is the zero time.
func parseTime(v string) (time.Time, error) {
	if v == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, v)
	if err != nil {
		return t, code.Errorf(code.BadParameter, "time %q must have the form 2006-01-02T15:04:05Z", v)
	}
	return t, nil
}

// maxBodyBytes is the largest body of a call of an operator.
const maxBodyBytes = 16 << 20

const (
	// operatorPath is the prefix of the paths of operators' calls.
	operatorPath = "/operator/"
	// bodyTimeout is how long the body of an operator's call may take to arrive, probeTimeout the time for a
	// response to a health check or with metrics.
	bodyTimeout  = time.Minute
	probeTimeout = 30 * time.Second
)

// timedBody is a body that must arrive within bodyTimeout. The time does not apply to the handling of the call.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readJSON decodes a JSON body of at most maxBodyBytes into v and rejects unknown fields.
func readJSON(r *http.Request, v any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return code.Errorf(code.MalformedBody, "read the body of the operator call: %w", err)
	case len(body) > maxBodyBytes:
		return code.Errorf(code.BodyTooLarge, "the body of the operator call is over %d bytes", maxBodyBytes)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return code.Errorf(code.MalformedBody, "decode the body of the operator call: %w", err)
	}
	return nil
}

// writeJSON writes a response with the given HTTP status and v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError writes an error response with the code and HTTP status of err.
func writeError(w http.ResponseWriter, err error) {
	c := code.Of(err)
	writeJSON(w, c.Info().Status, ErrorBody{Code: int(c), Name: c.Info().Name, Message: err.Error()})
}
