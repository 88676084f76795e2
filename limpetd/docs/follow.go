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

// follow reads the head at each poll and whenever a peer has a newer document.
func (u *Duty) follow(ctx context.Context) error {
	random := rand.New(rand.NewPCG(u.seed, hash(u.config.Instance)))
	if u.seed == 0 {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	var newer <-chan int64
	if u.deps.Peers != nil {
		newer = u.deps.Peers.Newer()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	wanted := int64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			u.read(ctx)
			u.heard(ctx, wanted)
			timer.Reset(jitter(u.poll, random.Float64()))
		case <-u.wake:
			u.read(ctx)
		case revision := <-newer:
			wanted = max(wanted, revision)
			u.heard(ctx, wanted)
		}
	}
}

// jitter spreads the polls of daemons; draw is between 0 and 1.
func jitter(poll time.Duration, draw float64) time.Duration {
	return time.Duration(float64(poll) * (1 + pollJitter*(2*draw-1)))
}

// hash is a seed made of a string.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// read takes the document that the head names. When the table cannot be read
// and there is no document yet, peers are asked.
func (u *Duty) read(ctx context.Context) {
	head, ok, err := u.readHead(ctx)
	switch {
	case err != nil:
		u.deps.Scope.Counter("document_read_failed").Inc(1)
		u.deps.Log.Debug("document_read_failed", zap.Error(err))
		if revision, _ := u.held(); revision == 0 {
			u.fetchFromPeer(ctx)
		}
	case ok:
		u.takeHead(ctx, head)
	}
}

// readHead reads the head row; false while there is none.
func (u *Duty) readHead(ctx context.Context) (Head, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read, err := u.deps.Table.Get(ctx, headKey(u.scope()))
	if err != nil || len(read) == 0 {
		return Head{}, false, err
	}
	head, err := decodeHead(read[0])
	if err != nil {
		return Head{}, false, err
	}
	return head, true, nil
}

// takeHead fetches the body that a head names and takes it.
func (u *Duty) takeHead(ctx context.Context, head Head) {
	revision, digest := u.held()
	if head.Revision < revision {
		u.deps.Scope.Counter("document_stale_head").Inc(1)
		return
	}
	if head.Revision == revision {
		if head.Digest == digest {
			u.clear()
		} else {
			u.refuse(code.Errorf(code.StoreCorrupt, "revision %d is in force with digest %.12s, the table has %.12s", revision, digest, head.Digest))
		}
		return
	}
	if head.Level > u.level {
		u.refuseLevel(head.Revision, head.Level)
		return
	}
	body, err := u.body(ctx, head.Digest)
	if err != nil {
		u.deps.Scope.Counter("document_body_failed").Inc(1)
		u.fetchFromPeer(ctx)
		return
	}
	u.Take(head.Revision, head.Digest, body)
}

// body fetches a body from the object store.
func (u *Duty) body(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return u.loadBody(ctx, digest)
}

// heard fetches a document that a peer has in force, if it is newer. It is tried
// again with each poll until a document of that revision is held.
func (u *Duty) heard(ctx context.Context, revision int64) {
	held, _ := u.held()
	if revision <= held || u.refuses(revision) {
		return
	}
	u.fetchFromPeer(ctx)
}

// fetchFromPeer takes the newest document that a peer hands on.
func (u *Duty) fetchFromPeer(ctx context.Context) {
	if u.deps.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	held, _ := u.held()
	c, err := u.deps.Peers.Document(ctx, held)
	if err != nil {
		u.deps.Log.Debug("document_peer_failed", zap.Error(err))
		return
	}
	u.Take(c.Revision, c.Digest, c.Body)
}

// held returns the newest document taken, whether or not it may be served.
func (u *Duty) held() (revision int64, digest string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current.revision, u.current.digest
}

// refuses tells whether a revision was found to need a newer daemon.
func (u *Duty) refuses(revision int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return revision <= u.tooNew
}

// Take puts an accepted document in force if it is newer than the one in force.
// It returns whether it did.
func (u *Duty) Take(revision int64, digest string, body []byte) bool {
	if envdoc.Digest(body) != digest {
		u.refuse(code.Errorf(code.StoreCorrupt, "the body of revision %d does not have digest %.12s", revision, digest))
		return false
	}
	doc, level, err := u.decode("revision", body)
	switch {
	case err != nil:
		u.refuse(err)
		return false
	case level > u.level:
		u.refuseLevel(revision, level)
		return false
	case doc.Revision != revision || doc.Environment != u.config.Environment:
		u.refuse(code.Errorf(code.StoreCorrupt, "the body of revision %d is revision %d of %q", revision, doc.Revision, doc.Environment))
		return false
	}
	if !u.install(state{doc: doc, revision: revision, digest: digest, body: body}) {
		return false
	}
	u.record(event.DocumentTaken, code.OK, digest, revision)
	u.announce()
	return true
}

// install replaces the document in force by a newer one.
func (u *Duty) install(s state) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s.revision <= u.current.revision || s.revision <= u.tooNew {
		return false
	}
	u.current, u.refusal, u.lacking = s, nil, false
	close(u.changed)
	u.changed = make(chan struct{})
	u.deps.Scope.Gauge("document_revision").Update(float64(s.revision))
	return true
}

// refuseLevel notes that a revision needs a newer daemon. From then on nothing is
// in force here until a later revision can be honoured.
func (u *Duty) refuseLevel(revision int64, level int) {
	u.mu.Lock()
	u.tooNew = max(u.tooNew, revision)
	u.lacking = u.tooNew > u.current.revision
	u.mu.Unlock()
	u.refuse(code.Errorf(code.DocumentLevel, "revision %d needs feature level %d, this daemon has %d", revision, level, u.level))
}

// clear drops a refusal once the document in force is known to be the newest.
func (u *Duty) clear() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.lacking {
		u.refusal = nil
	}
}

// refuse notes why a newer document is not taken. A reason is told once.
func (u *Duty) refuse(err error) {
	u.mu.Lock()
	same := u.refusal != nil && u.refusal.Error() == err.Error()
	if !u.lacking || code.Of(err) == code.DocumentLevel {
		u.refusal = err
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

// announce tells peers what is in force here.
func (u *Duty) announce() {
	if u.deps.Peers == nil {
		return
	}
	revision, digest := u.held()
	u.deps.Peers.Announce(member.Announcement{Revision: revision, Digest: digest, Refused: code.Of(u.Refusal())})
}
