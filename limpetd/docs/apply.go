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

// Submission is a document that an operator submits.
type Submission struct {
	// ID identifies the submission. When the answer was lost, the operator
	// sends the submission again with the same id.
	ID string
	// File is the file name of the document in error messages.
	File string
	Body []byte
	// Operator is the name of the operator who submits the document.
	Operator string
	// AllowUntried allows the production stage to accept a document that was not
	// tried in another stage. It is for emergencies. The event timeline
	// records the operator.
	AllowUntried bool
}

// Promotion copies the document in force in another stage to the stage of this
// daemon.
type Promotion struct {
	// ID identifies the promotion, like Submission.ID.
	ID string
	// FromStage is the stage in which the document was tried; empty means
	// Trial.
	FromStage Stage
	// Digest is the digest of the document in force in FromStage.
	Digest   string
	Operator string
}

// Accepted is the result of an accepted submission or promotion.
type Accepted struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Repeated reports whether the submission was accepted earlier.
	Repeated bool `json:"repeated,omitempty"`
}

// candidate is a decoded document that is to be accepted.
type candidate struct {
	// id is the submission id.
	id       string
	operator string
	body     []byte
	digest   string
	// level is the feature level that the document needs.
	level int
	doc   *envdoc.Document
	// source is the stage that the document is promoted from; empty for a
	// submission.
	source Stage
}

// idPattern matches valid submission ids.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Apply submits a document and returns once the document is accepted. Otherwise the
// error has code DocumentInvalid, DocumentTooLarge, DocumentConflict,
// DocumentUnfit, DocumentLevel, DocumentNotTried or DocumentStoreDown, or
// BadParameter or BadOperator for an invalid id or a missing operator. After
// DocumentStoreDown with run state unknown, the caller must send the same
// submission again.
func (u *Manager) Apply(ctx context.Context, s Submission) (Accepted, error) {
	if err := checkIdentity(s.ID, s.Operator); err != nil {
		return Accepted{}, err
	}
	if u.config.Stage == Production && !s.AllowUntried {
		return Accepted{}, code.Errorf(code.DocumentNotTried, "production accepts only documents that were tried: apply the document to trial and promote it")
	}
	doc, level, err := u.decode(s.File, s.Body)
	if err != nil {
		return Accepted{}, err
	}
	c := candidate{id: s.ID, operator: s.Operator, body: s.Body, digest: envdoc.Digest(s.Body), level: level, doc: doc}
	return u.submit(ctx, c)
}

// Promote submits the document that is in force in another stage. The errors are
// those of Apply, and DocumentUnknown or StoreCorrupt if the body is missing or
// does not have the digest. DocumentNotTried names the digest that is in force in
// the other stage.
func (u *Manager) Promote(ctx context.Context, p Promotion) (Accepted, error) {
	if err := checkIdentity(p.ID, p.Operator); err != nil {
		return Accepted{}, err
	}
	if p.FromStage == "" {
		p.FromStage = Trial
	}
	if p.FromStage == u.config.Stage {
		return Accepted{}, code.Errorf(code.DocumentNotTried, "cannot promote from stage %s to itself; send the promotion to a daemon of the other stage", p.FromStage)
	}
	body, err := u.loadBody(ctx, p.Digest)
	if code.Of(err) == code.StoreNotFound {
		return Accepted{}, code.Errorf(code.DocumentUnknown, "no document with digest %.12s is stored", p.Digest)
	}
	if err != nil {
		return Accepted{}, notAccepted(err)
	}
	if envdoc.Digest(body) != p.Digest {
		return Accepted{}, code.Errorf(code.StoreCorrupt, "the stored body does not match digest %.12s", p.Digest)
	}
	doc, level, err := u.decode("promoted", body)
	if err != nil {
		return Accepted{}, err
	}
	c := candidate{id: p.ID, operator: p.Operator, body: body, digest: p.Digest, level: level, doc: doc, source: p.FromStage}
	return u.submit(ctx, c)
}

// checkIdentity rejects an invalid submission id, by which a repeated submission
// could not be recognised, and a missing operator.
func checkIdentity(id, operator string) error {
	if len(id) > maxSubmission || !idPattern.MatchString(id) {
		return code.Errorf(code.BadParameter, "invalid submission id %q: must be 1 to %d letters, digits, dots, dashes and underscores, and begin with a letter or digit", id, maxSubmission)
	}
	if operator == "" {
		return code.Errorf(code.BadOperator, "the submission names no operator")
	}
	return nil
}

// submit checks and commits a candidate. For a submission id that was accepted
// before, submit returns the earlier result.
func (u *Manager) submit(ctx context.Context, c candidate) (Accepted, error) {
	if c.doc.Environment != u.config.Environment {
		return Accepted{}, code.Errorf(code.DocumentInvalid, "the document is for environment %q, this daemon serves environment %q", c.doc.Environment, u.config.Environment)
	}
	snap, err := u.readSnapshot(ctx, c)
	if err != nil {
		return Accepted{}, notAccepted(err)
	}
	if snap.earlier != nil {
		return u.repeatedResult(c, *snap.earlier)
	}
	if err := u.check(c, snap); err != nil {
		return Accepted{}, err
	}
	if err := u.storeBody(ctx, c.digest, c.body); err != nil {
		return Accepted{}, notAccepted(err)
	}
	head := Head{
		Revision: c.doc.Revision, Digest: c.digest, Level: c.level, Change: snap.head.Change + 1,
		Submission: c.id, Operator: c.operator, At: time.Now().UTC(),
	}
	if err := u.commit(ctx, c, snap, head); err != nil {
		return Accepted{}, err
	}
	u.installAccepted(c)
	u.prune(ctx, head.Change-MaxKeptChanges)
	return Accepted{Revision: head.Revision, Digest: head.Digest}, nil
}

// readSnapshot reads the rows that the acceptance of a candidate depends on.
func (u *Manager) readSnapshot(ctx context.Context, c candidate) (snapshot, error) {
	headRowKey, submissionRowKey := headKey(u.scope()), submissionKey(u.scope(), c.id)
	keys := []string{headRowKey, submissionRowKey}
	sourceRowKey := ""
	if c.source != "" {
		sourceRowKey = headKey(Scope(u.config.Environment, c.source))
		keys = append(keys, sourceRowKey)
	}
	rows, err := u.deps.Table.Get(ctx, keys...)
	if err != nil {
		return snapshot{}, err
	}
	return parseSnapshot(rows, headRowKey, submissionRowKey, sourceRowKey)
}

// repeatedResult returns the result of a submission id that was accepted earlier, and
// requests an immediate read of the head row. The error has code DocumentConflict if
// the id was used for another document.
func (u *Manager) repeatedResult(c candidate, earlier Head) (Accepted, error) {
	if earlier.Digest != c.digest {
		return Accepted{}, code.Errorf(code.DocumentConflict, "submission id %s was used for another document, revision %d", c.id, earlier.Revision)
	}
	u.triggerPoll()
	return Accepted{Revision: earlier.Revision, Digest: earlier.Digest, Repeated: true}, nil
}

// check returns an error if the candidate must not be accepted on top of the
// snapshot.
func (u *Manager) check(c candidate, snap snapshot) error {
	if c.source != "" && snap.source.Digest != c.digest {
		return code.Errorf(code.DocumentNotTried, "stage %s has revision %d with digest %.12s in force, not digest %.12s",
			c.source, snap.source.Revision, snap.source.Digest, c.digest)
	}
	if err := checkRevision(c, snap.head); err != nil {
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

// checkRevision requires the candidate's revision to be higher than the revision of
// the head. A submission must be exactly one higher unless there is no head yet; a
// promotion may skip revisions.
func checkRevision(c candidate, head Head) error {
	follows := c.doc.Revision == head.Revision+1
	if c.source != "" || head.Revision == 0 {
		follows = c.doc.Revision > head.Revision
	}
	if follows {
		return nil
	}
	return conflictError(c, head)
}

// conflictError returns the error for a candidate whose revision does not follow
// the revision of head.
func conflictError(c candidate, head Head) error {
	return code.Errorf(code.DocumentConflict, "revision %d conflicts: revision %d (digest %.12s, by %s, submission %s) is in force; rebase the document and give it revision %d",
		c.doc.Revision, head.Revision, head.Digest, head.Operator, head.Submission, head.Revision+1)
}

// checkLevels rejects a document that needs a higher feature level than this daemon
// or one of the live daemons has. Daemons that are leaving do not count.
func (u *Manager) checkLevels(c candidate) error {
	if c.level > u.level {
		return code.Errorf(code.DocumentLevel, "the document needs feature level %d, this daemon has %d", c.level, u.level)
	}
	if u.deps.Peers == nil {
		return nil
	}
	var outdated []string
	for _, p := range u.deps.Peers.Peers() {
		if !p.Leaving && p.Level < c.level {
			outdated = append(outdated, fmt.Sprintf("%s (level %d)", p.VM, p.Level))
		}
	}
	if len(outdated) == 0 {
		return nil
	}
	return code.Errorf(code.DocumentLevel, "the document needs feature level %d; upgrade these daemons first: %s", c.level, strings.Join(outdated, ", "))
}

// commit writes the head row and returns nil if the candidate was accepted. A write
// that conflicts or stays unanswered is resolved by reading the rows again.
func (u *Manager) commit(ctx context.Context, c candidate, snap snapshot, head Head) error {
	tx, err := u.transaction(c, snap, head)
	if err != nil {
		return err
	}
	err = store.Commit(ctx, u.deps.Table, tx)
	switch code.Of(err) {
	case code.OK:
		return nil
	case code.StoreConflict, code.StoreUnknown:
		return u.resolveOutcome(ctx, c, snap, err)
	default:
		return notAccepted(err)
	}
}

// resolveOutcome reads the rows again to determine whether a candidate was accepted
// whose write was not confirmed. cause is the error of the write. If the rows do
// not show the outcome, the error has code DocumentStoreDown with run state
// unknown.
func (u *Manager) resolveOutcome(ctx context.Context, c candidate, snap snapshot, cause error) error {
	latest, err := u.readSnapshot(ctx, c)
	switch {
	case err != nil:
		cause = err
	case latest.earlier != nil && latest.earlier.Digest == c.digest:
		return nil
	case latest.headVersion != snap.headVersion:
		return conflictError(c, latest.head)
	case latest.sourceVersion != snap.sourceVersion:
		return code.Errorf(code.DocumentNotTried, "revision %d with digest %.12s replaced digest %.12s in stage %s",
			latest.source.Revision, latest.source.Digest, c.digest, c.source)
	}
	err = code.Errorf(code.DocumentStoreDown, "submission %s may have been accepted; send it again: %w", c.id, cause)
	return code.WithRun(err, code.RunUnknown)
}

// transaction returns the conditional write that accepts a candidate. It requires
// that the head rows are unchanged since snap and that the submission id is new.
func (u *Manager) transaction(c candidate, snap snapshot, head Head) (store.Tx, error) {
	value, err := head.encode()
	if err != nil {
		return store.Tx{}, err
	}
	scope := u.scope()
	tx := store.Tx{ID: fmt.Sprintf("document-%s-%.12s", c.id, c.digest)}
	tx.Require(headKey(scope), snap.headVersion)
	tx.Require(submissionKey(scope, c.id), 0)
	if c.source != "" {
		tx.Require(headKey(Scope(u.config.Environment, c.source)), snap.sourceVersion)
	}
	tx.Put(headKey(scope), value)
	tx.Put(submissionKey(scope, c.id), value)
	tx.Put(changeKey(scope, head.Change), value)
	return tx, nil
}

// notAccepted returns the error for a candidate that was certainly not accepted
// because the table or the object store failed.
func notAccepted(err error) error {
	return code.WithRun(code.Errorf(code.DocumentStoreDown, "the document was not accepted: %w", err), code.RunNo)
}

// installAccepted records the acceptance of a candidate, installs the document at
// this daemon and announces the document to peers.
func (u *Manager) installAccepted(c candidate) {
	u.record(event.DocumentApplied, code.OK, c.digest+" by "+c.operator, c.doc.Revision)
	u.Install(c.doc.Revision, c.digest, c.body)
}

// prune deletes the change row and the submission row of the document with the
// given change number. The rows stay if the deletion fails.
func (u *Manager) prune(ctx context.Context, change int64) {
	if change < 1 {
		return
	}
	rows, err := u.deps.Table.Get(ctx, changeKey(u.scope(), change))
	if err != nil || len(rows) == 0 {
		return
	}
	h, err := decodeHead(rows[0])
	if err != nil {
		return
	}
	tx := store.Tx{ID: fmt.Sprintf("prune-%s-%d", u.config.Instance, change)}
	tx.Require(rows[0].Key, rows[0].Version)
	tx.Delete(rows[0].Key)
	tx.Delete(submissionKey(u.scope(), h.Submission))
	if err := u.deps.Table.Apply(ctx, tx); err != nil {
		u.deps.Log.Debug("document_prune_failed", zap.Error(err))
	}
}

// triggerPoll requests an immediate read of the head row.
func (u *Manager) triggerPoll() {
	select {
	case u.pollNow <- struct{}{}:
	default:
	}
}

// record logs an event about a document and adds the event to the timeline. The text
// of the event consists of the scope, the revision and text.
func (u *Manager) record(kind event.Kind, c code.Code, text string, revision int64) {
	text = fmt.Sprintf("%s revision %d %s", u.scope(), revision, text)
	u.deps.Log.Info(string(kind), zap.String("text", text), zap.Int("code", int(c)))
	if u.deps.Events != nil {
		u.deps.Events.Add(event.Event{Kind: kind, VM: u.config.VM, Code: int(c), Text: text})
	}
}
