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
	operateTime  = 2 * time.Minute
	operatePause = time.Second
)

var (
	nopLog    = zap.NewNop()
	nopEvents = event.New("", event.WithCapacity(1))
)

// operate applies a document to trial and promotes it to production, as an
// operator does: a submission without an answer is sent again under its id, and
// one that lost a race is made anew.
func (r *rig) operate(change func(*envdoc.Document)) error {
	ctx, cancel := context.WithTimeout(r.ctx, operateTime)
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
		accepted, err := r.apply(ctx, body)
		if code.Of(err) == code.DocumentConflict {
			sleep(ctx, operatePause)
			continue
		}
		if err != nil {
			return fmt.Errorf("apply: %w", err)
		}
		err = r.promote(ctx, accepted.Digest)
		if c := code.Of(err); c == code.DocumentConflict || c == code.DocumentNotTried {
			// Another operator's document was tried meanwhile.
			return nil
		}
		return err
	}
	return ctx.Err()
}

// submissionID returns a new id, the same ones in each run of the cell.
func (r *rig) submissionID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submissions++
	return fmt.Sprintf("submission-%d", r.submissions)
}

// apply applies a document to trial.
func (r *rig) apply(ctx context.Context, body []byte) (docs.Accepted, error) {
	s := docs.Submission{ID: r.submissionID(), File: "lab.yaml", Body: body, Operator: "operator"}
	for {
		d := r.trialDaemon()
		accepted, err := d.docs.Apply(ctx, s)
		if !d.dead() && stored(err) || ctx.Err() != nil {
			return accepted, err
		}
		sleep(ctx, operatePause)
	}
}

// promote promotes a tried document.
func (r *rig) promote(ctx context.Context, digest string) error {
	p := docs.Promotion{ID: r.submissionID(), Digest: digest, Operator: "operator"}
	for {
		d := r.someDaemon()
		accepted, err := d.docs.Promote(ctx, p)
		if !d.dead() && err == nil {
			r.mu.Lock()
			r.accepted = append(r.accepted, acceptance{revision: accepted.Revision, at: time.Now()})
			r.mu.Unlock()
		}
		if !d.dead() && stored(err) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, operatePause)
	}
}

// race lets two operators change the same model at once.
func (r *rig) race() {
	for _, version := range []string{"race-1", "race-2"} {
		r.visit(func() {
			r.lag("race", version)
			err := r.operate(func(d *envdoc.Document) { d.Models[2].Version = version })
			if err != nil && r.ctx.Err() == nil {
				r.violate("document: an operator in a race did not get through: %v", err)
			}
		})
	}
}
