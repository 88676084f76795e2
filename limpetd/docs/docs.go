// Package docs keeps the environment document in force at a daemon, and accepts
// and promotes documents for operators.
//
// A document is accepted when its head row in the platform's table is written,
// on condition that the head is still the one that the document replaces. Each
// environment has a head for trial and one for production. A submission is
// recognised by its id for ever: the same submission sent twice, or sent again
// after its answer was lost, is accepted once. The bodies are kept in the object
// store by their digest.
//
// Each daemon reads the head in a jittered poll and hears of newer revisions
// from its peers. It takes the highest revision and never goes back. A daemon
// whose release lacks a feature that the document uses does not serve by it and
// says so.
//
// # Usage
//
//	duty := docs.New(ctx, docs.Config{Environment: "andesoft", Stage: docs.Trial},
//		docs.Deps{Table: table, Objects: objects, Peers: members})
//	accepted, err := duty.Apply(ctx, docs.Submission{ID: id, File: name, Body: body, Operator: who})
//	doc, ok := duty.Document()
package docs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Stage is a step of an environment with a document head of its own.
type Stage string

// The stages. A document is tried in one and promoted to the other.
const (
	Trial      Stage = "trial"
	Production Stage = "production"
)

// Times and limits of the duty.
const (
	// DefaultPoll is the mean time between two reads of the head.
	DefaultPoll = 1500 * time.Millisecond
	// pollJitter is the part of the poll by which it varies.
	pollJitter = 0.2
	// readTimeout bounds a read of the table or the object store, and a
	// question to a peer.
	readTimeout = 700 * time.Millisecond
	// maxSubmission is the length of the longest submission id in bytes.
	maxSubmission = 128
)

// Config states which document the daemon keeps.
type Config struct {
	// Environment is the name that documents must have.
	Environment string
	Stage       Stage
	VM          string
	Instance    string
}

// PeerProvider knows the other daemons. It is implemented by member.Duty.
type PeerProvider interface {
	// Peers returns the live daemons.
	Peers() []member.Peer
	// Announce tells peers at once what this daemon has in force.
	Announce(a member.Announcement)
	// Newer delivers revisions that peers have in force and this daemon has
	// not announced.
	Newer() <-chan int64
	// Document fetches a document newer than revision from a peer.
	Document(ctx context.Context, after int64) (member.Copy, error)
}

// Deps are what the duty works with. Peers, Fit, Events and Scope may be nil.
type Deps struct {
	Table   store.Table
	Objects store.Objects
	Peers   PeerProvider
	// Fit refuses a document that the engines cannot hold.
	Fit    func(*envdoc.Document) error
	Log    *zap.Logger
	Events *event.Line
	Scope  tally.Scope
}

// decodeFunc reads a document and returns the feature level that it needs.
type decodeFunc func(file string, body []byte) (*envdoc.Document, int, error)

// Option changes a Duty.
type Option func(*Duty)

// WithPoll sets the mean time between two reads of the head.
func WithPoll(d time.Duration) Option {
	return func(u *Duty) { u.poll = d }
}

// WithSeed fixes the jitter, for tests.
func WithSeed(seed uint64) Option {
	return func(u *Duty) { u.seed = seed }
}

// withDecoder stands for another release of the daemon.
func withDecoder(level int, f decodeFunc) Option {
	return func(u *Duty) { u.level, u.decode = level, f }
}

// Duty keeps the document in force. It is safe for concurrent use.
type Duty struct {
	config Config
	deps   Deps
	poll   time.Duration
	seed   uint64
	level  int
	decode decodeFunc
	tomb   *tomb.Tomb
	// wake asks for a read of the head at once. When it is full a read is
	// asked for already, and the new wish is dropped.
	wake chan struct{}

	mu      sync.Mutex
	current state
	refusal error
	// tooNew is the highest revision that needs a newer daemon; lacking means
	// that it is higher than the one held.
	tooNew  int64
	lacking bool
	changed chan struct{}
}

// state is the document in force.
type state struct {
	doc      *envdoc.Document
	revision int64
	digest   string
	body     []byte
}

// New starts the duty. It ends with ctx.
func New(ctx context.Context, config Config, deps Deps, opts ...Option) *Duty {
	u := &Duty{
		config: config, deps: deps, poll: DefaultPoll, level: envdoc.Level, decode: decodeDocument,
		wake: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	if u.deps.Log == nil {
		u.deps.Log = zap.NewNop()
	}
	if u.deps.Scope == nil {
		u.deps.Scope = tally.NoopScope
	}
	for _, o := range opts {
		o(u)
	}
	var inner context.Context
	u.tomb, inner = life.WithContext(ctx)
	u.tomb.Go(func() error { return u.follow(inner) })
	return u
}

// Wait returns when the duty has ended.
func (u *Duty) Wait() error {
	if err := u.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// decodeDocument is the decoder of this release.
func decodeDocument(file string, body []byte) (*envdoc.Document, int, error) {
	doc, err := envdoc.Decode(file, body)
	if err != nil {
		return nil, 0, err
	}
	return doc, envdoc.RequiredLevel(doc), nil
}

// Document returns the document in force. It is false while there is none, and
// while the document in force needs a newer daemon.
func (u *Duty) Document() (*envdoc.Document, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current.doc == nil || u.lacking {
		return nil, false
	}
	return u.current.doc, true
}

// InForce returns the revision and digest of the document in force.
func (u *Duty) InForce() (revision int64, digest string, ok bool) {
	if _, ok := u.Document(); !ok {
		return 0, "", false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current.revision, u.current.digest, true
}

// Unready returns why the daemon must not serve: nil, or an error with code
// NoDocument or DocumentLevel.
func (u *Duty) Unready() error {
	if _, ok := u.Document(); ok {
		return nil
	}
	if err := u.Refusal(); code.Of(err) == code.DocumentLevel {
		return err
	}
	return code.Errorf(code.NoDocument, "no document of %s is in force", u.scope())
}

// Refusal returns why a newer document was not taken, or nil.
func (u *Duty) Refusal() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refusal
}

// Changed returns a channel that is closed at the next change of what is in
// force.
func (u *Duty) Changed() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.changed
}

// Copy returns the document in force as peers fetch it. The error has code
// PeerUntrusted for another environment or stage, NoDocument, or DocumentLevel
// while the document in force needs a newer daemon.
func (u *Duty) Copy(environment string) (member.Copy, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if environment != u.scope() {
		return member.Copy{}, code.Errorf(code.PeerUntrusted, "this daemon keeps documents of %s", u.scope())
	}
	if u.lacking {
		return member.Copy{}, code.Errorf(code.DocumentLevel, "revision %d of %s needs a newer daemon than this", u.tooNew, u.scope())
	}
	if u.current.doc == nil {
		return member.Copy{}, code.Errorf(code.NoDocument, "no document of %s is in force", u.scope())
	}
	return member.Copy{Revision: u.current.revision, Digest: u.current.digest, Body: u.current.body}, nil
}

// scope names the environment and stage.
func (u *Duty) scope() string {
	return Scope(u.config.Environment, u.config.Stage)
}

// Scope names an environment and stage, as peer.Config.Environment expects.
func Scope(environment string, stage Stage) string {
	return environment + "/" + string(stage)
}
