package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// Bounds of the tries to apply a document.
const (
	maxApplyTries      = 60
	applyRetryInterval = 500 * time.Millisecond
)

// Apply submits a document as an operator does. While the submission is not
// confirmed, Apply sends it again under the same id through another daemon.
func (f *Fleet) Apply(ctx context.Context, doc *envdoc.Document) error {
	body, err := deploy.Encode(doc)
	if err != nil {
		return err
	}
	submission := admin.Submission{ID: store.NewID(), File: doc.Environment + ".yaml", Body: string(body), Untried: true}
	for try := range maxApplyTries {
		live := f.Live()
		m := live[try%len(live)]
		_, err = admin.NewClient("http://"+m.Daemon.OperatorAddr(), operatorToken).Apply(ctx, submission)
		switch code.Of(err) {
		case code.OK:
			return nil
		case code.DocumentInvalid, code.DocumentUnfit, code.DocumentConflict, code.BadOperator:
			return err
		}
		time.Sleep(applyRetryInterval)
	}
	return fmt.Errorf("apply revision %d: %w", doc.Revision, err)
}
