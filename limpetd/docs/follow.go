package docs

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

// pollHead reads the head row at once, after each poll interval and on request, and
// fetches a document when a peer reports a newer revision. It returns when ctx is
// done.
func (u *Manager) pollHead(ctx context.Context) error {
	random := rand.New(rand.NewPCG(u.seed, fnv1a(u.config.Instance)))
	if u.seed == 0 {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	var newer <-chan int64
	if u.deps.Peers != nil {
		newer = u.deps.Peers.NewerRevisions()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	newestReported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			u.refresh(ctx)
			u.fetchIfNewer(ctx, newestReported)
			timer.Reset(jitter(u.pollInterval, random.Float64()))
		case <-u.pollNow:
			u.refresh(ctx)
		case revision := <-newer:
			newestReported = max(newestReported, revision)
			u.fetchIfNewer(ctx, newestReported)
		}
	}
}

// jitter returns interval changed by up to pollJitter in either direction, so that
// daemons do not poll in step. draw is a random number between 0 and 1.
func jitter(interval time.Duration, draw float64) time.Duration {
	return time.Duration(float64(interval) * (1 + pollJitter*(2*draw-1)))
}

// fnv1a returns the 64-bit FNV-1a hash of s, used as a random seed.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// refresh reads the head row and installs the document that it names. If the table
// cannot be read and no document is installed yet, refresh fetches one from a peer.
func (u *Manager) refresh(ctx context.Context) {
	head, ok, err := u.readHead(ctx)
	switch {
	case err != nil:
		u.deps.Scope.Counter("document_read_failed").Inc(1)
		u.deps.Log.Debug("document_read_failed", zap.Error(err))
		if revision, _ := u.installed(); revision == 0 {
			u.fetchFromPeer(ctx)
		}
	case ok:
		u.installHead(ctx, head)
	}
}

// readHead reads the head row. The result is false if the row does not exist.
func (u *Manager) readHead(ctx context.Context) (Head, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := u.deps.Table.Get(ctx, headKey(u.scope()))
	if err != nil || len(rows) == 0 {
		return Head{}, false, err
	}
	head, err := decodeHead(rows[0])
	if err != nil {
		return Head{}, false, err
	}
	return head, true, nil
}

// installHead installs the document that head names, unless it is the installed
// document, is older, or needs a higher feature level. The body comes from the
// object store or, if that fails, from a peer.
func (u *Manager) installHead(ctx context.Context, head Head) {
	revision, digest := u.installed()
	if head.Revision < revision {
		u.deps.Scope.Counter("document_stale_head").Inc(1)
		return
	}
	if head.Revision == revision {
		if head.Digest == digest {
			u.clearRejection()
		} else {
			u.reject(code.Errorf(code.StoreCorrupt, "revision %d is in force with digest %.12s, but the table has digest %.12s", revision, digest, head.Digest))
		}
		return
	}
	if head.Level > u.level {
		u.rejectLevel(head.Revision, head.Level)
		return
	}
	body, err := u.fetchBody(ctx, head.Digest)
	if err != nil {
		u.deps.Scope.Counter("document_body_failed").Inc(1)
		u.fetchFromPeer(ctx)
		return
	}
	u.Install(head.Revision, head.Digest, body)
}

// fetchBody reads a body from the object store within readTimeout.
func (u *Manager) fetchBody(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return u.loadBody(ctx, digest)
}

// fetchIfNewer fetches a document from a peer if revision, which a peer reported, is
// higher than the installed revision and is not known to be unsupported. The poll
// loop calls fetchIfNewer after each poll, so that a failed fetch is repeated until a
// document of that revision is installed.
func (u *Manager) fetchIfNewer(ctx context.Context, revision int64) {
	installed, _ := u.installed()
	if revision <= installed || u.isUnsupported(revision) {
		return
	}
	u.fetchFromPeer(ctx)
}

// fetchFromPeer fetches a document that is newer than the installed one from a peer
// and installs it.
func (u *Manager) fetchFromPeer(ctx context.Context) {
	if u.deps.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	installed, _ := u.installed()
	c, err := u.deps.Peers.Document(ctx, installed)
	if err != nil {
		u.deps.Log.Debug("document_peer_failed", zap.Error(err))
		return
	}
	u.Install(c.Revision, c.Digest, c.Body)
}

// installed returns the revision and digest of the latest installed document, also
// while blocked is set. The revision is 0 if there is none.
func (u *Manager) installed() (revision int64, digest string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current.revision, u.current.digest
}

// isUnsupported reports whether revision is not higher than the highest revision
// found to need a newer release of the daemon.
func (u *Manager) isUnsupported(revision int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return revision <= u.unsupported
}

// Install verifies an accepted document and installs it if it is newer than the
// installed one. It reports whether the document was installed.
func (u *Manager) Install(revision int64, digest string, body []byte) bool {
	if envdoc.Digest(body) != digest {
		u.reject(code.Errorf(code.StoreCorrupt, "the body of revision %d does not match digest %.12s", revision, digest))
		return false
	}
	doc, level, err := u.decode("revision", body)
	switch {
	case err != nil:
		u.reject(err)
		return false
	case level > u.level:
		u.rejectLevel(revision, level)
		return false
	case doc.Revision != revision || doc.Environment != u.config.Environment:
		u.reject(code.Errorf(code.StoreCorrupt, "the body of revision %d contains revision %d of environment %q", revision, doc.Revision, doc.Environment))
		return false
	}
	if !u.install(acceptedDocument{doc: doc, revision: revision, digest: digest, body: body}) {
		return false
	}
	u.record(event.DocumentTaken, code.OK, digest, revision)
	u.announce()
	return true
}

// install replaces the installed document by next, and reports whether it did. The
// revision of next must be higher than the installed revision and than the highest
// unsupported revision.
func (u *Manager) install(next acceptedDocument) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if next.revision <= u.current.revision || next.revision <= u.unsupported {
		return false
	}
	u.current, u.rejection, u.blocked = next, nil, false
	close(u.changed)
	u.changed = make(chan struct{})
	u.deps.Scope.Gauge("document_revision").Update(float64(next.revision))
	return true
}

// rejectLevel records that a revision needs a higher feature level than this daemon
// has. Unless a higher revision is installed, no document is then in force at this
// daemon until a later, supported revision is installed.
func (u *Manager) rejectLevel(revision int64, level int) {
	u.mu.Lock()
	u.unsupported = max(u.unsupported, revision)
	u.blocked = u.unsupported > u.current.revision
	u.mu.Unlock()
	u.reject(code.Errorf(code.DocumentLevel, "revision %d needs feature level %d, this daemon has %d", revision, level, u.level))
}

// clearRejection removes the recorded rejection after the table has confirmed that
// the installed document is the newest, except while blocked is set.
func (u *Manager) clearRejection() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.blocked {
		u.rejection = nil
	}
}

// reject records why a document is not installed, and logs and announces the
// rejection. An error that equals the recorded one is not reported again. While
// blocked is set, only an error with code DocumentLevel replaces the recorded one.
func (u *Manager) reject(err error) {
	u.mu.Lock()
	same := u.rejection != nil && u.rejection.Error() == err.Error()
	if !u.blocked || code.Of(err) == code.DocumentLevel {
		u.rejection = err
	}
	if !same {
		close(u.changed)
		u.changed = make(chan struct{})
	}
	revision, digest := u.current.revision, u.current.digest
	u.mu.Unlock()
	if same {
		return
	}
	u.deps.Log.Warn("document_refused", zap.String("scope", u.scope()), zap.Error(err))
	u.record(event.DocumentRefused, code.Of(err), digest, revision)
	u.announce()
}

// announce reports the installed document and any rejection to peers.
func (u *Manager) announce() {
	if u.deps.Peers == nil {
		return
	}
	revision, digest := u.installed()
	u.deps.Peers.Announce(member.Announcement{Revision: revision, Digest: digest, Refused: code.Of(u.Rejection())})
}
