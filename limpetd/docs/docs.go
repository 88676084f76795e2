// Package docs keeps a daemon's environment document up to date, and accepts and
// promotes documents for operators. The document that a daemon currently uses is
// called the document in force.
//
// Each environment has two stages, trial and production, and each stage has a
// head row in the platform's table that names the latest accepted document. A
// document is accepted when its head row is written. The write is conditional on
// the head row being unchanged since the document was checked against the row. The
// table also has a row for each submission id, so a submission that is sent
// twice, or again after its answer was lost, is accepted only once. The
// submission rows of the last MaxKeptChanges documents are kept. The bodies are kept
// in the object store, keyed by digest.
//
// Each daemon polls the head row with jitter, and its peers report the revisions
// that are in force at them. A daemon installs the highest revision and never
// returns to a lower one.
// A daemon whose release does not support a feature that the document uses does
// not serve, and reports the reason.
//
// # Usage
//
//	manager := docs.New(ctx, docs.Config{Environment: "andesoft", Stage: docs.Trial},
//		docs.Deps{Table: table, Objects: objects, Peers: members})
//	accepted, err := manager.Apply(ctx, docs.Submission{ID: id, File: name, Body: body, Operator: who})
//	doc, ok := manager.Document()
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

// Stage is a deployment stage of an environment. Each stage has a head row of its
// own.
type Stage string

// The stages. A document is tried in the trial stage and then promoted to the
// production stage.
const (
	Trial      Stage = "trial"
	Production Stage = "production"
)

// Default times and limits.
const (
	// DefaultPollInterval is the mean interval between two reads of the head row.
	DefaultPollInterval = 1500 * time.Millisecond
	// pollJitter is the fraction of the poll interval by which an interval may
	// be shorter or longer.
	pollJitter = 0.2
	// readTimeout limits one read of the poll loop from the table, from the
	// object store or from a peer. The reads of Apply and Promote have no such
	// limit.
	readTimeout = 700 * time.Millisecond
	// maxSubmission is the maximum length of a submission id in bytes.
	maxSubmission = 128
)

// Config identifies the daemon and the stage whose document it uses.
type Config struct {
	// Environment is the environment that documents must name.
	Environment string
	Stage       Stage
	// VM and Instance identify the daemon.
	VM       string
	Instance string
}

// PeerProvider gives access to the other daemons. It is implemented by
// member.Membership.
type PeerProvider interface {
	// Peers returns the live daemons.
	Peers() []member.Peer
	// Announce immediately reports the installed document of this daemon and any
	// rejection to peers.
	Announce(a member.Announcement)
	// NewerRevisions returns a channel that delivers revisions that are in force at a
	// peer and higher than the revision that this daemon announced last.
	NewerRevisions() <-chan int64
	// Document fetches a document with a revision higher than after from a
	// peer.
	Document(ctx context.Context, after int64) (member.DocumentCopy, error)
}

// Deps are the dependencies of a Manager. Peers, Fit, Log, Events and Scope may be
// nil.
type Deps struct {
	Table   store.Table
	Objects store.ObjectStore
	Peers   PeerProvider
	// Fit returns an error if the document's models do not fit the engines.
	Fit    func(*envdoc.Document) error
	Log    *zap.Logger
	Events *event.Timeline
	Scope  tally.Scope
}

// decodeFunc decodes a document and returns it with the feature level that it
// needs.
type decodeFunc func(file string, body []byte) (*envdoc.Document, int, error)

// Option configures a Manager.
type Option func(*Manager)

// WithPollInterval sets the mean interval between two reads of the head row.
func WithPollInterval(d time.Duration) Option {
	return func(u *Manager) { u.pollInterval = d }
}

// WithSeed sets the seed of the poll jitter, to make tests reproducible. Zero means
// a random seed.
func WithSeed(seed uint64) Option {
	return func(u *Manager) { u.seed = seed }
}

// withDecoder replaces the feature level and the decoder, so that a test can
// simulate another release of the daemon.
func withDecoder(level int, f decodeFunc) Option {
	return func(u *Manager) { u.level, u.decode = level, f }
}

// Manager keeps the document in force of one daemon up to date. It is safe for
// concurrent use.
type Manager struct {
	config Config
	deps   Deps
	// pollInterval is the mean interval between two reads of the head row.
	pollInterval time.Duration
	seed         uint64
	// level is the feature level of this daemon.
	level  int
	decode decodeFunc
	tomb   *tomb.Tomb
	// pollNow requests an immediate read of the head row. While a request is
	// pending in its buffer of length 1, further requests are dropped.
	pollNow chan struct{}

	mu sync.Mutex
	// current is the latest installed document, also while blocked is set.
	current acceptedDocument
	// rejection is why a document from the table or a peer was rejected, or nil.
	rejection error
	// unsupported is the highest revision found so far that needs a newer
	// release of the daemon.
	unsupported int64
	// blocked reports whether unsupported is higher than the revision of
	// current. The daemon then has no document in force.
	blocked bool
	// changed is closed and replaced when a document is installed, or rejected
	// for a new reason.
	changed chan struct{}
}

// acceptedDocument is an accepted document with its revision, digest and body.
type acceptedDocument struct {
	doc      *envdoc.Document
	revision int64
	digest   string
	body     []byte
}

// New returns a Manager and starts its poll loop. The loop ends when ctx is done.
func New(ctx context.Context, config Config, deps Deps, opts ...Option) *Manager {
	u := &Manager{
		config: config, deps: deps, pollInterval: DefaultPollInterval, level: envdoc.FeatureLevel, decode: decodeDocument,
		pollNow: make(chan struct{}, 1), changed: make(chan struct{}),
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
	var loopCtx context.Context
	u.tomb, loopCtx = life.WithContext(ctx)
	u.tomb.Go(func() error { return u.pollHead(loopCtx) })
	return u
}

// Wait blocks until the poll loop has ended and returns its error. The end of the
// context is not an error.
func (u *Manager) Wait() error {
	if err := u.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// decodeDocument decodes a document with the decoder of this release.
func decodeDocument(file string, body []byte) (*envdoc.Document, int, error) {
	doc, err := envdoc.Decode(file, body)
	if err != nil {
		return nil, 0, err
	}
	return doc, envdoc.RequiredLevel(doc), nil
}

// Document returns the document in force. The result is false while none is
// installed, and while the accepted document needs a newer release of the daemon.
func (u *Manager) Document() (*envdoc.Document, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current.doc == nil || u.blocked {
		return nil, false
	}
	return u.current.doc, true
}

// InForce returns the revision and digest of the document in force. ok is false
// when Document returns false.
func (u *Manager) InForce() (revision int64, digest string, ok bool) {
	if _, ok := u.Document(); !ok {
		return 0, "", false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current.revision, u.current.digest, true
}

// ReadyError returns nil if a document is in force. Otherwise the daemon must not
// serve, and the error has code NoDocument or DocumentLevel.
func (u *Manager) ReadyError() error {
	if _, ok := u.Document(); ok {
		return nil
	}
	if err := u.Rejection(); code.Of(err) == code.DocumentLevel {
		return err
	}
	return code.Errorf(code.NoDocument, "no document of %s is in force", u.scope())
}

// Rejection returns the error with which this daemon rejected a document from the
// table or a peer, or nil. Installing a document clears the error, and so does a head
// row that names the installed document, unless a newer release is needed.
func (u *Manager) Rejection() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rejection
}

// Changed returns a channel that is closed when the next document is installed, or
// rejected for a new reason.
func (u *Manager) Changed() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.changed
}

// Copy returns the document in force in the form in which peers fetch it.
// peerScope is the scope of the peer, see Scope. The error has code PeerUntrusted
// for another environment or stage, NoDocument if no document is installed, or
// DocumentLevel while the accepted document needs a newer release of the daemon.
func (u *Manager) Copy(peerScope string) (member.DocumentCopy, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if peerScope != u.scope() {
		return member.DocumentCopy{}, code.Errorf(code.PeerUntrusted, "this daemon serves documents of %s", u.scope())
	}
	if u.blocked {
		return member.DocumentCopy{}, code.Errorf(code.DocumentLevel, "revision %d of %s needs a newer release of the daemon", u.unsupported, u.scope())
	}
	if u.current.doc == nil {
		return member.DocumentCopy{}, code.Errorf(code.NoDocument, "no document of %s is in force", u.scope())
	}
	return member.DocumentCopy{Revision: u.current.revision, Digest: u.current.digest, Body: u.current.body}, nil
}

// scope returns the scope of this daemon's documents.
func (u *Manager) scope() string {
	return Scope(u.config.Environment, u.config.Stage)
}

// Scope returns the name of an environment and stage, which is also the form of
// peer.Config.Environment.
func Scope(environment string, stage Stage) string {
	return environment + "/" + string(stage)
}
