package matrix

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// Times of an operator.
const (
	operatorTimeout = 2 * time.Minute
	retryInterval   = time.Second
)

var (
	nopLog    = zap.NewNop()
	nopEvents = event.New("", event.WithCapacity(1))
)

// applyAndPromote applies a changed document to the trial environment and
// promotes it to production, as an operator does. A submission without an
// answer is sent again under the same id. A submission that is rejected because
// another operator's document was accepted first is rebuilt on the newer
// revision.
func (r *rig) applyAndPromote(change func(*envdoc.Document)) error {
	ctx, cancel := context.WithTimeout(r.ctx, operatorTimeout)
	defer cancel()
	for ctx.Err() == nil {
		revision, _, _ := r.trialDaemon().docs.InForce()
		doc := r.deployment.Document(revision + 1)
		change(doc)
		r.judge.Declare(doc)
		body, err := deploy.Encode(doc)
		if err != nil {
			return err
		}
		accepted, err := r.applyToTrial(ctx, body)
		if code.Of(err) == code.DocumentConflict {
			sleep(ctx, retryInterval)
			continue
		}
		if err != nil {
			return fmt.Errorf("apply: %w", err)
		}
		err = r.promote(ctx, accepted.Digest)
		if c := code.Of(err); c == code.DocumentConflict || c == code.DocumentNotTried {
			// Another operator's document was applied in the meantime.
			return nil
		}
		return err
	}
	return ctx.Err()
}

// submissionID returns a new submission id. Each run of a cell gets the same
// sequence of ids.
func (r *rig) submissionID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submissions++
	return fmt.Sprintf("submission-%d", r.submissions)
}

// applyToTrial applies a document to the trial environment.
func (r *rig) applyToTrial(ctx context.Context, body []byte) (docs.Accepted, error) {
	s := docs.Submission{ID: r.submissionID(), File: "lab.yaml", Body: body, Operator: "operator"}
	for {
		d := r.trialDaemon()
		accepted, err := d.docs.Apply(ctx, s)
		if !d.isStopped() && isFinal(err) || ctx.Err() != nil {
			return accepted, err
		}
		sleep(ctx, retryInterval)
	}
}

// promote promotes a document of the trial environment to production and
// records its acceptance.
func (r *rig) promote(ctx context.Context, digest string) error {
	p := docs.Promotion{ID: r.submissionID(), Digest: digest, Operator: "operator"}
	for {
		d := r.randomDaemon()
		accepted, err := d.docs.Promote(ctx, p)
		if !d.isStopped() && err == nil {
			r.mu.Lock()
			r.accepted = append(r.accepted, acceptance{revision: accepted.Revision, at: time.Now()})
			r.mu.Unlock()
		}
		if !d.isStopped() && isFinal(err) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, retryInterval)
	}
}

// raceOperators starts two operators that change the same model at the same
// time.
func (r *rig) raceOperators() {
	for _, version := range []string{"race-1", "race-2"} {
		r.spawnClient(func() {
			r.delayMessage("race", version)
			err := r.applyAndPromote(func(d *envdoc.Document) { d.Models[2].Version = version })
			if err != nil && r.ctx.Err() == nil {
				r.recordViolation("document: an operator that raced another one failed: %v", err)
			}
		})
	}
}
