package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
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

// MaxDocumentBytes is the largest body of an operator call.
const MaxDocumentBytes = 4 << 20

// Applier accepts documents.
type Applier interface {
	Apply(ctx context.Context, operator string, s Submission) (Accepted, error)
	Promote(ctx context.Context, operator string, p Promotion) (Accepted, error)
}

// StatusProvider tells the state of the environment.
type StatusProvider interface {
	Status(ctx context.Context) (Status, error)
}

// PlanProvider explains what placement would do next.
type PlanProvider interface {
	Plan(ctx context.Context) (Plan, error)
}

// EventsProvider returns the time line, of this daemon alone or of all.
type EventsProvider interface {
	Events(ctx context.Context, f event.Filter, local bool) (Events, error)
}

// Drainer makes a VM leave.
type Drainer interface {
	Drain(ctx context.Context, operator string, d Drain) error
}

// Deps is what a Server depends on.
type Deps struct {
	Operators []conf.Operator
	Applier   Applier
	Status    StatusProvider
	Plan      PlanProvider
	Events    EventsProvider
	Drainer   Drainer
	// Probes serves /livez, /readyz and /metrics, without a token.
	Probes http.Handler
	Log    *zap.Logger
	Line   *event.Line
}

// Server serves the operators' interface.
type Server struct {
	deps Deps
	mux  *goji.Mux
}

var _ http.Handler = (*Server)(nil)

// New returns a server.
func New(d Deps) *Server {
	s := &Server{deps: d, mux: goji.NewMux()}
	s.mux.HandleFunc(pat.Post("/operator/v1/documents"), s.operator("apply", s.apply))
	s.mux.HandleFunc(pat.Post("/operator/v1/promotions"), s.operator("promote", s.promote))
	s.mux.HandleFunc(pat.Get("/operator/v1/status"), s.operator("status", s.status))
	s.mux.HandleFunc(pat.Get("/operator/v1/plan"), s.operator("plan", s.plan))
	s.mux.HandleFunc(pat.Get("/operator/v1/events"), s.operator("events", s.events))
	s.mux.HandleFunc(pat.Post("/operator/v1/drain"), s.operator("drain", s.drain))
	s.mux.Handle(pat.Get("/*"), d.Probes)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, MaxDocumentBytes)
	s.mux.ServeHTTP(w, r)
}

// call answers an authenticated call with a value or an error.
type call func(r *http.Request, operator string) (any, error)

// operator wraps a call with authentication, record and encoding.
func (s *Server) operator(name string, c call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, err := s.authenticate(r)
		var answer any
		if err == nil {
			answer, err = c(r, operator)
		}
		s.record(name, operator, err)
		if err != nil {
			writeFault(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

// authenticate returns the operator's name. All digests are compared, so that
// the time taken tells nothing about them.
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

// record writes the call to the log and the time line.
func (s *Server) record(name, operator string, err error) {
	c := code.Of(err)
	s.deps.Line.Add(event.Event{Kind: event.OperatorCall, Code: int(c), Text: name + " by " + operator})
	s.deps.Log.Info("operator_call", zap.String("call", name), zap.String("operator", operator),
		zap.Int("code", int(c)), zap.Error(err))
}

func (s *Server) apply(r *http.Request, operator string) (any, error) {
	var m Submission
	if err := readJSON(r, &m); err != nil {
		return nil, err
	}
	if m.ID == "" {
		return nil, code.Errorf(code.BadParameter, "a submission needs an id")
	}
	return s.deps.Applier.Apply(r.Context(), operator, m)
}

func (s *Server) promote(r *http.Request, operator string) (any, error) {
	var m Promotion
	if err := readJSON(r, &m); err != nil {
		return nil, err
	}
	if m.ID == "" || m.Digest == "" {
		return nil, code.Errorf(code.BadParameter, "a promotion needs an id and a digest")
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
	var m Drain
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

// parseFilter reads the filter of an events call.
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
			return f, code.Errorf(code.BadParameter, "limit %q is not a number of events", v)
		}
	}
	return f, nil
}

func parseTime(v string) (time.Time, error) {
	if v == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, v)
	if err != nil {
		return t, code.Errorf(code.BadParameter, "time %q is not of the form 2006-01-02T15:04:05Z", v)
	}
	return t, nil
}

// readJSON reads a strict JSON body.
func readJSON(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return code.Errorf(code.MalformedBody, "operator call: %w", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeFault(w http.ResponseWriter, err error) {
	c := code.Of(err)
	writeJSON(w, c.Info().Status, Fault{Code: int(c), Name: c.Info().Name, Message: err.Error()})
}
