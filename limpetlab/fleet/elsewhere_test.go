package fleet

import (
	"context"
	"testing"

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

// TestModelsElsewhereAnswerInALargeFleet runs more daemons than tell each other
// all load reports, in two data centres with one engine each, neither of which has
// memory for all models but each for those whose home it is. Each model must answer
// through both.
func TestModelsElsewhereAnswerInALargeFleet(t *testing.T) {
	d := deploy.Ibeji()
	d.DataCentres, d.Daemons, d.Engines, d.Models, d.Adapters = []string{"x-1", "x-2"}, member.MeshSize/2+1, 1, 6, 0
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
