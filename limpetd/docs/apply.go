package docs

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Submission is a document that an operator hands in.
type Submission struct {
	// ID identifies the submission; the operator sends the same id again
	// when the answer was lost.
	ID string
	// File names the document in messages.
	File string
	Body []byte
	// Operator is who hands it in.
	Operator string
	// Untried lets production take a document that was not tried. It is for
	// emergencies, and the time line names the operator.
	Untried bool
}

// Promotion moves the document in force in one stage to this one.
type Promotion struct {
	// ID identifies the promotion like a submission.
	ID string
	// FromStage is where the document was tried; empty means Trial.
	FromStage Stage
	// Digest is that of the document in force there.
	Digest   string
	Operator string
}

// Accepted is the answer to a submission or promotion.
type Accepted struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Repeated means that the submission had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// change is a document about to be accepted.
type change struct {
	id       string
	operator string
	body     []byte
	digest   string
	level    int
	doc      *envdoc.Document
	// source is the stage of a promotion; empty for a submission.
	source Stage
}

// idPattern is the form of submission ids.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Apply accepts a document. It returns when the document is accepted, or with
// code DocumentInvalid, DocumentTooLarge, DocumentConflict, DocumentUnfit,
// DocumentLevel, DocumentNotTried or DocumentStoreDown. After DocumentStoreDown
// with run state unknown, the same submission is sent again.
func (u *Duty) Apply(ctx context.Context, s Submission) (Accepted, error) {
	if err := checkID(s.ID, s.Operator); err != nil {
		return Accepted{}, err
	}
	if u.config.Stage == Production && !s.Untried {
		return Accepted{}, code.Errorf(code.DocumentNotTried, "production takes what was tried: apply the document to trial and promote it")
	}
	doc, level, err := u.decode(s.File, s.Body)
	if err != nil {
		return Accepted{}, err
	}
	c := change{id: s.ID, operator: s.Operator, body: s.Body, digest: envdoc.Digest(s.Body), level: level, doc: doc}
	return u.submit(ctx, c)
}

// Promote accepts the document that is in force in another stage. Its errors are
// those of Apply; DocumentNotTried names the digest that is in force there.
func (u *Duty) Promote(ctx context.Context, p Promotion) (Accepted, error) {
	if err := checkID(p.ID, p.Operator); err != nil {
		return Accepted{}, err
	}
	if p.FromStage == "" {
		p.FromStage = Trial
	}
	if p.FromStage == u.config.Stage {
		return Accepted{}, code.Errorf(code.DocumentNotTried, "this daemon is of stage %s, in which the document is tried; promote through a daemon of the other stage", p.FromStage)
	}
	body, err := u.loadBody(ctx, p.Digest)
	if code.Of(err) == code.StoreNotFound {
		return Accepted{}, code.Errorf(code.DocumentUnknown, "no document with digest %.12s is stored", p.Digest)
	}
	if err != nil {
		return Accepted{}, notStored(err)
	}
	if envdoc.Digest(body) != p.Digest {
		return Accepted{}, code.Errorf(code.StoreCorrupt, "the stored body does not have digest %.12s", p.Digest)
	}
	doc, level, err := u.decode("promoted", body)
	if err != nil {
		return Accepted{}, err
	}
	c := change{id: p.ID, operator: p.Operator, body: body, digest: p.Digest, level: level, doc: doc, source: p.FromStage}
	return u.submit(ctx, c)
}

// checkID refuses a submission that could not be recognised later.
func checkID(id, operator string) error {
	if len(id) > maxSubmission || !idPattern.MatchString(id) {
		return code.Errorf(code.BadParameter, "submission id %q: 1 to %d letters, digits, dots, dashes and underscores", id, maxSubmission)
	}
	if operator == "" {
		return code.Errorf(code.BadOperator, "a submission names its operator")
	}
	return nil
}

// submit accepts a change, or finds that it was accepted before.
func (u *Duty) submit(ctx context.Context, c change) (Accepted, error) {
	if c.doc.Environment != u.config.Environment {
		return Accepted{}, code.Errorf(code.DocumentInvalid, "the document is for environment %q, this is %q", c.doc.Environment, u.config.Environment)
	}
	read, err := u.readRows(ctx, c)
	if err != nil {
		return Accepted{}, notStored(err)
	}
	if read.found != nil {
		return u.again(c, *read.found)
	}
	if err := u.check(c, read); err != nil {
		return Accepted{}, err
	}
	if err := u.storeBody(ctx, c.digest, c.body); err != nil {
		return Accepted{}, notStored(err)
	}
	head := Head{
		Revision: c.doc.Revision, Digest: c.digest, Level: c.level, Change: read.head.Change + 1,
		Submission: c.id, Operator: c.operator, At: time.Now().UTC(),
	}
	if err := u.commit(ctx, c, read, head); err != nil {
		return Accepted{}, err
	}
	u.accepted(c)
	u.prune(ctx, head.Change-KeptChanges)
	return Accepted{Revision: head.Revision, Digest: head.Digest}, nil
}

// readRows reads what the change depends on.
func (u *Duty) readRows(ctx context.Context, c change) (rows, error) {
	headAt, submissionAt := headKey(u.scope()), submissionKey(u.scope(), c.id)
	keys := []string{headAt, submissionAt}
	sourceAt := ""
	if c.source != "" {
		sourceAt = headKey(Scope(u.config.Environment, c.source))
		keys = append(keys, sourceAt)
	}
	read, err := u.deps.Table.Get(ctx, keys...)
	if err != nil {
		return rows{}, err
	}
	return parseRows(read, headAt, submissionAt, sourceAt)
}

// again answers a submission that was accepted before.
func (u *Duty) again(c change, found Head) (Accepted, error) {
	if found.Digest != c.digest {
		return Accepted{}, code.Errorf(code.DocumentConflict, "submission id %s was used for another document, revision %d", c.id, found.Revision)
	}
	u.nudge()
	return Accepted{Revision: found.Revision, Digest: found.Digest, Repeated: true}, nil
}

// check refuses a change that must not be accepted now.
func (u *Duty) check(c change, read rows) error {
	if c.source != "" && read.source.Digest != c.digest {
		return code.Errorf(code.DocumentNotTried, "in force in %s is revision %d with digest %.12s, not %.12s",
			c.source, read.source.Revision, read.source.Digest, c.digest)
	}
	if err := checkBase(c, read.head); err != nil {
		return err
	}
	if err := u.checkLevels(c); err != nil {
		return err
	}
	if u.deps.Fit == nil {
		return nil
	}
	return u.deps.Fit(c.doc)
}

// checkBase requires the change to follow the head: a submission by one
// revision, a promotion by any number.
func checkBase(c change, head Head) error {
	next := c.doc.Revision == head.Revision+1
	if c.source != "" || head.Revision == 0 {
		next = c.doc.Revision > head.Revision
	}
	if next {
		return nil
	}
	return conflict(c, head)
}

// conflict is the error of a change whose base is not in force.
func conflict(c change, head Head) error {
	return code.Errorf(code.DocumentConflict, "revision %d cannot follow: revision %d (digest %.12s, by %s, submission %s) is in force; rebase and give it revision %d",
		c.doc.Revision, head.Revision, head.Digest, head.Operator, head.Submission, head.Revision+1)
}

// checkLevels refuses a document that a live daemon cannot honour.
func (u *Duty) checkLevels(c change) error {
	if c.level > u.level {
		return code.Errorf(code.DocumentLevel, "the document needs feature level %d, this daemon has %d", c.level, u.level)
	}
	if u.deps.Peers == nil {
		return nil
	}
	var old []string
	for _, p := range u.deps.Peers.Peers() {
		if !p.Leaving && p.Level < c.level {
			old = append(old, fmt.Sprintf("%s (level %d)", p.VM, p.Level))
		}
	}
	if len(old) == 0 {
		return nil
	}
	return code.Errorf(code.DocumentLevel, "the document needs feature level %d; replace first: %s", c.level, strings.Join(old, ", "))
}

// commit writes the head and finds out whether the submission was accepted.
func (u *Duty) commit(ctx context.Context, c change, read rows, head Head) error {
	tx, err := u.transaction(c, read, head)
	if err != nil {
		return err
	}
	err = store.Commit(ctx, u.deps.Table, tx)
	switch code.Of(err) {
	case code.OK:
		return nil
	case code.StoreConflict, code.StoreUnknown:
		return u.settle(ctx, c, read, err)
	default:
		return notStored(err)
	}
}

// settle reads what became of a submission whose write was not confirmed.
func (u *Duty) settle(ctx context.Context, c change, read rows, cause error) error {
	now, err := u.readRows(ctx, c)
	switch {
	case err != nil:
		cause = err
	case now.found != nil && now.found.Digest == c.digest:
		return nil
	case now.headVersion != read.headVersion:
		return conflict(c, now.head)
	case now.sourceVersion != read.sourceVersion:
		return code.Errorf(code.DocumentNotTried, "revision %d with digest %.12s took the place of %.12s in %s",
			now.source.Revision, now.source.Digest, c.digest, c.source)
	}
	err = code.Errorf(code.DocumentStoreDown, "it is not known whether submission %s was accepted; send it again: %w", c.id, cause)
	return code.WithRun(err, code.RunUnknown)
}

// transaction returns the conditional write of a change.
func (u *Duty) transaction(c change, read rows, head Head) (store.Tx, error) {
	value, err := head.encode()
	if err != nil {
		return store.Tx{}, err
	}
	scope := u.scope()
	tx := store.Tx{ID: fmt.Sprintf("document-%s-%.12s", c.id, c.digest)}
	tx.Require(headKey(scope), read.headVersion)
	tx.Require(submissionKey(scope, c.id), 0)
	if c.source != "" {
		tx.Require(headKey(Scope(u.config.Environment, c.source)), read.sourceVersion)
	}
	tx.Put(headKey(scope), value)
	tx.Put(submissionKey(scope, c.id), value)
	tx.Put(changeKey(scope, head.Change), value)
	return tx, nil
}

// notStored is the error of a change that certainly was not accepted.
func notStored(err error) error {
	return code.WithRun(code.Errorf(code.DocumentStoreDown, "the document was not stored: %w", err), code.RunNo)
}

// accepted takes the document here and tells peers.
func (u *Duty) accepted(c change) {
	u.record(event.DocumentApplied, code.OK, c.digest+" by "+c.operator, c.doc.Revision)
	u.Take(c.doc.Revision, c.digest, c.body)
}

// prune deletes the rows of an old change. A failure leaves them.
func (u *Duty) prune(ctx context.Context, change int64) {
	if change < 1 {
		return
	}
	old, err := u.deps.Table.Get(ctx, changeKey(u.scope(), change))
	if err != nil || len(old) == 0 {
		return
	}
	h, err := decodeHead(old[0])
	if err != nil {
		return
	}
	tx := store.Tx{ID: fmt.Sprintf("prune-%s-%d", u.config.Instance, change)}
	tx.Require(old[0].Key, old[0].Version)
	tx.Delete(old[0].Key)
	tx.Delete(submissionKey(u.scope(), h.Submission))
	if err := u.deps.Table.Apply(ctx, tx); err != nil {
		u.deps.Log.Debug("document_prune_failed", zap.Error(err))
	}
}

// nudge asks for a read of the head at once.
func (u *Duty) nudge() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// record logs and adds to the time line.
func (u *Duty) record(kind event.Kind, c code.Code, text string, revision int64) {
	text = fmt.Sprintf("%s revision %d %s", u.scope(), revision, text)
	u.deps.Log.Info(string(kind), zap.String("text", text), zap.Int("code", int(c)))
	if u.deps.Events != nil {
		u.deps.Events.Add(event.Event{Kind: kind, VM: u.config.VM, Code: int(c), Text: text})
	}
}
