//go:build !race

package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/node"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

const (
	// settleTime bounds the time until each model is held in one of the data
	// centres, at settledLooks looks in a row, one a second: reports are read
	// each second and told on.
	settleTime   = 2 * time.Minute
	settledLooks = 5
)

// TestModelsElsewhereAnswerInALargeFleet runs without the race detector, which keeps
// about 0.3 MB for each of the 36,000 and more goroutines. It runs more daemons than tell each other
// all load reports, in two data centres with one engine each, neither of which has
// memory for all models. Each model must answer through both. The homes of the
// models fit into x-1 and x-2; of lagos-1 and lagos-2 one is the home of more than
// it has memory for.
func TestModelsElsewhereAnswerInALargeFleet(t *testing.T) {
	for _, centres := range [][]string{{"x-1", "x-2"}, {"lagos-1", "lagos-2"}} {
		t.Run(centres[0], func(t *testing.T) { answerElsewhere(t, centres) })
	}
}

// answerElsewhere runs a fleet in two data centres and asks for all models.
func answerElsewhere(t *testing.T, centres []string) {
	d := deploy.Ibeji()
	d.DataCentres, d.Daemons, d.Engines, d.Models, d.Adapters = centres, member.MeshSize/2+1, 1, 6, 0
	doc := d.Document(1)
	for i := range doc.Models {
		doc.Models[i].MinReplicas = 1
	}
	d.EngineMB = 0
	for _, m := range doc.Models {
		d.EngineMB += m.MemoryMB * 65 / 100
	}
	w, err := world.Start(t.Context(), world.Config{Deployment: d})
	require.NoError(t, err)
	t.Cleanup(w.Stop)
	f := New(d, w, func(ctx context.Context, c conf.Config) (Daemon, error) { return node.New(ctx, c) })
	t.Cleanup(f.Stop)
	require.NoError(t, f.StartAll(t.Context()))
	require.NoError(t, f.Apply(t.Context(), doc))

	members := f.Live()[:2]
	for _, m := range members {
		c := admin.NewClient("http://"+m.Daemon.OperatorAddr(), operatorToken)
		s := await(t, c, func(s admin.Status) bool {
			return len(s.Daemons) == 2*d.Daemons && len(s.Engines) == 1 && s.Engines[0].Slots >= 3 && s.Engines[0].Unresolved == 0
		})
		require.Less(t, s.Engines[0].Slots, d.Models)
	}
	c := caller.New()
	defer c.Close()
	settled := 0
	require.Eventually(t, func() bool {
		held := map[string]bool{}
		for _, e := range w.Engines {
			for _, s := range e.Books().Resident {
				model, _, _ := strings.Cut(s, "@")
				held[model] = true
			}
		}
		settled++
		if len(held) < d.Models {
			settled = 0
		}
		return settled > settledLooks
	}, settleTime, time.Second, "a model is held nowhere")
	for _, m := range members {
		for _, x := range doc.Models {
			a := c.Generate(t.Context(), m.Daemon.CallerAddr(), caller.Generation{
				Key: deploy.Key(deploy.CallerUrgent), Model: x.Name, Prompt: "p", MaxTokens: 4, Priority: deploy.PriorityNormal,
			})
			require.Equal(t, code.OK, a.Code, "%s in %s: %v", x.Name, m.DataCentre, a.Err)
			require.True(t, a.Whole)
		}
	}
}
