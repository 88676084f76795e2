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
	// heldTimeout bounds the time until each model is held in one of the data
	// centres in heldChecks successive checks, one each second. Each daemon
	// reads load reports each second and sends them to its peers.
	heldTimeout = 2 * time.Minute
	heldChecks  = 5
)

// TestLargeFleetServesModelsHeldInOtherDataCentre checks that each model
// answers through both of two data centres, although neither has memory for all
// models. Each data centre has one engine. The fleet has more daemons than
// exchange load reports with all others (member.MeshSize), so the daemons lack
// the reports of the other data centre. The home data centres of the models
// follow from the names of the data centres: x-1 and x-2 each have memory for
// the models at home there, whereas one of lagos-1 and lagos-2 is the home of
// more models than it has memory for. The test does not run with the race
// detector, which needs about 0.3 MB for each of the more than 36,000
// goroutines.
func TestLargeFleetServesModelsHeldInOtherDataCentre(t *testing.T) {
	for _, dataCentres := range [][]string{{"x-1", "x-2"}, {"lagos-1", "lagos-2"}} {
		t.Run(dataCentres[0], func(t *testing.T) { testLargeFleet(t, dataCentres) })
	}
}

// testLargeFleet starts a fleet in two data centres and requests all models
// through one daemon of each.
func testLargeFleet(t *testing.T, dataCentres []string) {
	d := deploy.Ibeji()
	d.DataCentres, d.Daemons, d.Engines, d.Models, d.Adapters = dataCentres, member.MeshSize/2+1, 1, 6, 0
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
		s := awaitStatus(t, c, func(s admin.Status) bool {
			return len(s.Daemons) == 2*d.Daemons && len(s.Engines) == 1 && s.Engines[0].Slots >= 3 && s.Engines[0].Unresolved == 0
		})
		require.Less(t, s.Engines[0].Slots, d.Models)
	}
	c := caller.New()
	defer c.Close()
	checks := 0
	require.Eventually(t, func() bool {
		held := map[string]bool{}
		for _, e := range w.Engines {
			for _, s := range e.Books().Resident {
				model, _, _ := strings.Cut(s, "@")
				held[model] = true
			}
		}
		checks++
		if len(held) < d.Models {
			checks = 0
		}
		return checks > heldChecks
	}, heldTimeout, time.Second, "no engine holds some model")
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
