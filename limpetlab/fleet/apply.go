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

// Bounds of applying a document.
const (
	applyTries = 60
	applyPause = 500 * time.Millisecond
)

// Apply submits a document as an operator does, again under the same id through
// another daemon while it is not confirmed.
func (f *Fleet) Apply(ctx context.Context, doc *envdoc.Document) error {
	body, err := deploy.Encode(doc)
	if err != nil {
		return err
	}
	submission := admin.Submission{ID: store.NewID(), File: doc.Environment + ".yaml", Body: string(body), Untried: true}
	for try := range applyTries {
		live := f.Live()
		m := live[try%len(live)]
		_, err = admin.NewClient("http://"+m.Daemon.OperatorAddr(), operatorToken).Apply(ctx, submission)
		switch code.Of(err) {
		case code.OK:
			return nil
		case code.DocumentInvalid, code.DocumentUnfit, code.DocumentConflict, code.BadOperator:
			return err
		}
		time.Sleep(applyPause)
	}
	return fmt.Errorf("apply revision %d: %w", doc.Revision, err)
}
