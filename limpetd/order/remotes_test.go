package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// fakeRemotes holds the answers of the other data centres.
type fakeRemotes struct{ remotes []place.Remote }

func (f *fakeRemotes) Remotes() []place.Remote { return f.remotes }

// TestRemotesMergeReportsAndAnswers requires that recent reports and answers add up, and
// that data centres with outdated ones are marked as unknown.
func TestRemotesMergeReportsAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 0, 0, store.FencingIgnores)
		slot := func(model, adapter string) envdoc.Slot {
			return envdoc.Slot{Model: model, Adapter: adapter, Version: "0"}
		}
		doc := &envdoc.Document{Models: []envdoc.Model{{Name: "a", Adapters: []envdoc.Adapter{{Name: "x"}}}, {Name: "b"}, {Name: "c"}}}
		now := time.Now()
		s.reports["e2"] = receivedReport{engine.Report{Slots: []envdoc.Slot{slot("a", ""), slot("b", "")}}, now}
		answers := &fakeRemotes{}
		l := &loop{controller: &Controller{config: Config{DataCentre: testDataCentre}, deps: Deps{Reports: s, Remotes: answers}}, document: doc, vms: []store.VM{
			{ID: "e1", Kind: store.KindEngine, DataCentre: testDataCentre, State: store.StateLive},
			{ID: "e3", Kind: store.KindEngine, DataCentre: "dc3", State: store.StateLive, Pool: "p", MemoryMB: 3},
			{ID: "e2", Kind: store.KindEngine, DataCentre: "dc2", State: store.StateLive, Pool: "p", MemoryMB: 2},
		}}
		two, three := []place.EngineMemory{{Pool: "p", MemoryMB: 2}}, []place.EngineMemory{{Pool: "p", MemoryMB: 3}}
		require.Equal(t, []place.Remote{
			{DataCentre: "dc2", Models: []string{"a", "b"}, WithAdapters: []string{"b"}, Engines: two}, {DataCentre: "dc3", Incomplete: true, Engines: three},
		}, l.remotes(now))

		answers.remotes = []place.Remote{
			{DataCentre: "dc2", Incomplete: true}, {DataCentre: "dc3", Models: []string{"c", "a"}, WithAdapters: []string{"c", "a"}, QueriedAt: now},
			{DataCentre: "unlisted", QueriedAt: now},
		}
		got := l.remotes(now.Add(MaxReportAge))
		require.Equal(t, place.Remote{DataCentre: "dc3", Models: []string{"a", "c"}, WithAdapters: []string{"a", "c"}, Engines: three, QueriedAt: now}, got[1])
		require.True(t, got[0].Incomplete, "without recent reports the data centre may hold more")
		require.Len(t, got, 2)
		got = l.remotes(now.Add(MaxRemoteAnswerAge + time.Millisecond))
		require.Equal(t, place.Remote{DataCentre: "dc3", Incomplete: true, Engines: three, QueriedAt: now}, got[1])
	})
}

// TestLastReplicaYields requires that a last replica is unloaded only while another
// data centre is known to keep the model.
func TestLastReplicaYields(t *testing.T) {
	p := place.NewPlanner()
	doc := document(12, 0, 10, "1")
	remote := place.Remote{DataCentre: "dc2"}
	for _, m := range doc.Models {
		remote.Models = append(remote.Models, m.Name)
	}
	at := func(centre string, held ...string) place.Remote {
		return place.Remote{DataCentre: centre, Models: held}
	}
	require.False(t, p.MayUnload(envdoc.Slot{Model: doc.Models[0].Name}, testDataCentre, nil), "no plan was made yet")
	p.Plan(place.Input{Document: doc, DataCentre: testDataCentre, Remotes: []place.Remote{remote}})
	yields := 0
	for _, m := range doc.Models {
		slot := envdoc.Slot{Model: m.Name, Version: "1"}
		here := p.MayUnload(slot, testDataCentre, []place.Remote{at("dc2", m.Name)})
		there := p.MayUnload(slot, "dc2", []place.Remote{at(testDataCentre, m.Name)})
		require.NotEqual(t, here, there, "exactly one of the two data centres must yield")
		require.False(t, p.MayUnload(slot, testDataCentre, []place.Remote{at("dc2")}))
		slot.Adapter = "x"
		require.False(t, p.MayUnload(slot, testDataCentre, []place.Remote{at("dc2", m.Name)}), "the adapters are not known to be in dc2")
		if here {
			yields++
		}
	}
	require.Positive(t, yields)
}
