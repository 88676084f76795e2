package docs

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

const (
	// inForceWithin is the time within which an accepted document must be in
	// force at all daemons.
	inForceWithin = 4 * time.Second
	// tableReads is the capacity of the table in reads per second. pollShare
	// is the fraction of the capacity that document polls may use.
	tableReads = 2000
	pollShare  = 0.25
	// daemons is the number of daemons in the polling test.
	daemons = 360
)

// TestPollingAloneReachesAllDaemons applies documents in a fleet of 360 daemons
// without peers, with a table that takes 200 ms per call. Each document must be in
// force at all daemons in time, and idle polling must stay within its share of the
// table's capacity.
func TestPollingAloneReachesAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := newFakeTable()
		platform.delay = 200 * time.Millisecond
		var managers []*Manager
		for i := range daemons {
			managers = append(managers, start(ctx, platform, Trial, fmt.Sprintf("d%d", i)))
			time.Sleep(time.Millisecond)
		}
		for revision := int64(1); revision <= 5; revision++ {
			accepted, err := managers[revision].Apply(ctx, submission(fmt.Sprintf("s%d", revision), revision))
			require.NoError(t, err)
			time.Sleep(inForceWithin)
			for _, u := range managers {
				inForce, digest, ok := u.InForce()
				require.True(t, ok)
				require.Equal(t, revision, inForce)
				require.Equal(t, accepted.Digest, digest)
			}
		}
		time.Sleep(20 * time.Second)
		now, peak, sum := time.Now().Unix(), 0, 0
		platform.update(func(p *fakeTable) {
			for second := now - 20; second < now; second++ {
				peak = max(peak, p.calls[second])
				sum += p.calls[second]
			}
		})
		t.Logf("%d daemons: %.0f reads per second when idle, %d in the busiest second", daemons, float64(sum)/20, peak)
		require.LessOrEqual(t, peak, int(tableReads*pollShare))
	})
}

// TestNewDaemonFetchesFromPeersWhileTableIsDown starts a daemon that never reaches
// the table. It must install the document of a peer, and keep trying to fetch a
// newer revision that was reported once, until a peer has that revision.
func TestNewDaemonFetchesFromPeersWhileTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := newFakeTable()
		stale := start(ctx, platform, Trial, "stale", WithPollInterval(time.Hour))
		_, err := stale.Apply(ctx, submission("one", 1))
		require.NoError(t, err)
		synctest.Wait()
		other := start(ctx, platform, Trial, "other")
		_, err = other.Apply(ctx, submission("two", 2))
		require.NoError(t, err)
		peers := newFakePeers()
		tableLink := &link{fakeTable: platform}
		tableLink.cut.Store(true)
		fresh := startWith(ctx, Deps{Table: tableLink, Objects: fakeObjects{platform}, Peers: peers}, Trial, "fresh")
		time.Sleep(inForceWithin)
		require.Equal(t, code.NoDocument, code.Of(fresh.ReadyError()))
		peers.setReachable(stale)
		time.Sleep(inForceWithin)
		revision, _, _ := fresh.InForce()
		require.Equal(t, int64(1), revision)
		peers.newer <- 2
		time.Sleep(inForceWithin)
		peers.setReachable(stale, other)
		time.Sleep(inForceWithin)
		revision, _, _ = fresh.InForce()
		require.Equal(t, int64(2), revision, "must retry a revision that was reported once")
	})
}

// TestCorruptCopiesAreRejected passes bodies to Install that do not match their digest
// or revision or cannot be decoded.
func TestCorruptCopiesAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := newFakeTable()
		u := start(ctx, platform, Trial, "a")
		_, err := u.Apply(ctx, submission("one", 1))
		require.NoError(t, err)
		body := document(2, "x")
		require.False(t, u.Install(2, envdoc.Digest(document(1, "one")), body))
		require.False(t, u.Install(3, envdoc.Digest(body), body))
		require.False(t, u.Install(2, envdoc.Digest([]byte("a: b")), []byte("a: b")))
		require.Error(t, u.Rejection())
		revision, _, ok := u.InForce()
		require.True(t, ok)
		require.Equal(t, int64(1), revision)
		time.Sleep(inForceWithin)
		require.NoError(t, u.Rejection())
	})
}

// testDaemon is a simulated daemon.
type testDaemon struct {
	manager *Manager
	stop    context.CancelFunc
	link    *link
	peers   *fakePeers
	// revision is the revision that was in force at the last check.
	revision int64
}

// simulation runs daemons of the trial stage through faults and checks which
// documents are in force.
type simulation struct {
	t        *rapid.T
	ctx      context.Context
	platform *fakeTable
	daemons  []*testDaemon
	// production is a daemon of the production stage.
	production *Manager
	// lastID is the last number used in a daemon name or submission id.
	lastID int
	// accepted are the results of all accepted submissions.
	accepted []Accepted
}

// startDaemon starts a daemon of the trial stage.
func (sim *simulation) startDaemon() *testDaemon {
	sim.lastID++
	ctx, stop := context.WithCancel(sim.ctx)
	d := &testDaemon{stop: stop, link: &link{fakeTable: sim.platform}, peers: newFakePeers()}
	deps := Deps{Table: d.link, Objects: fakeObjects{sim.platform}, Peers: d.peers}
	d.manager = startWith(ctx, deps, Trial, fmt.Sprintf("d%d", sim.lastID))
	return d
}

// partition lets the first split daemons reach each other and the other daemons
// reach each other, and reports the newest revision in force among its reachable
// peers to each daemon.
func (sim *simulation) partition(split int) {
	for i, a := range sim.daemons {
		var reachable []*Manager
		newest := int64(0)
		for j, b := range sim.daemons {
			if i == j || (i < split) != (j < split) {
				continue
			}
			reachable = append(reachable, b.manager)
			revision, _, _ := b.manager.InForce()
			newest = max(newest, revision)
		}
		a.peers.setReachable(reachable...)
		select {
		case a.peers.newer <- newest:
		default:
		}
	}
}

// check requires that each daemon has an accepted document in force and never an
// older document than before, that accepted revisions have no gaps, that each
// promoted document was in force in the trial stage at that time, and that results
// of submissions match the heads.
func (sim *simulation) check() {
	synctest.Wait()
	sim.platform.mu.Lock()
	defer sim.platform.mu.Unlock()
	for _, d := range sim.daemons {
		revision, digest, ok := d.manager.InForce()
		if !ok {
			require.Zero(sim.t, d.revision, "a daemon lost its document")
			continue
		}
		require.GreaterOrEqual(sim.t, revision, d.revision)
		d.revision = revision
		require.LessOrEqual(sim.t, int(revision), len(sim.platform.trialHeads))
		require.Equal(sim.t, sim.platform.trialHeads[revision-1].Digest, digest)
	}
	for i, head := range sim.platform.trialHeads {
		require.Equal(sim.t, int64(i+1), head.Revision)
	}
	for _, p := range sim.platform.promotions {
		require.Equal(sim.t, p[1].Digest, p[0].Digest, "production has a document that was not in force in trial")
	}
	for _, a := range sim.accepted {
		require.Equal(sim.t, sim.platform.trialHeads[a.Revision-1].Digest, a.Digest)
	}
}

// apply submits a document to a random daemon, and once more if the outcome is
// unknown.
func (sim *simulation) apply() {
	d := sim.daemons[rapid.IntRange(0, len(sim.daemons)-1).Draw(sim.t, "daemon")]
	base, _ := d.manager.installed()
	sim.lastID++
	sub := submission(fmt.Sprintf("s%d", sim.lastID), base+1)
	sim.platform.update(func(t *fakeTable) {
		t.loseAnswers = rapid.IntRange(0, 2).Draw(sim.t, "lose")
		t.dropWrites = rapid.IntRange(0, 6).Draw(sim.t, "drop")
	})
	for range 2 {
		accepted, err := d.manager.Apply(sim.ctx, sub)
		if err == nil {
			sim.accepted = append(sim.accepted, accepted)
		}
		if code.RunOf(err) != code.RunUnknown {
			return
		}
	}
}

// promote promotes the document in force at a daemon, which may be outdated.
func (sim *simulation) promote(d *testDaemon) {
	_, digest, ok := d.manager.InForce()
	if !ok {
		return
	}
	sim.lastID++
	before := len(sim.platform.promotions)
	_, err := sim.production.Promote(sim.ctx, Promotion{ID: fmt.Sprintf("p%d", sim.lastID), Digest: digest, Operator: "ana"})
	if code.RunOf(err) == code.RunNo {
		require.Len(sim.t, sim.platform.promotions, before, "promoted although the error rules it out: %v", err)
	}
	if err == nil {
		require.Len(sim.t, sim.platform.promotions, before+1)
	}
}

// step performs one random action or fault.
func (sim *simulation) step() {
	i := rapid.IntRange(0, len(sim.daemons)-1).Draw(sim.t, "who")
	d := sim.daemons[i]
	switch rapid.SampledFrom([]string{"apply", "apply", "cut", "heal", "restart", "outage", "partition", "wait", "promote"}).Draw(sim.t, "step") {
	case "apply":
		sim.apply()
	case "cut":
		d.link.cut.Store(true)
	case "heal":
		d.link.cut.Store(false)
	case "restart":
		d.stop()
		sim.daemons[i] = sim.startDaemon()
	case "outage":
		down := rapid.Bool().Draw(sim.t, "down")
		sim.platform.update(func(t *fakeTable) { t.down = down })
	case "promote":
		sim.promote(d)
	case "partition":
		sim.partition(rapid.IntRange(0, len(sim.daemons)).Draw(sim.t, "split"))
	case "wait":
		time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(sim.t, "ms")) * time.Millisecond)
	}
}

// TestRandomFaults checks which documents are in force during random submissions,
// promotions, lost answers, restarts, outages and partitions, and that all daemons
// have the newest document in force once the faults have ended.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			sim := &simulation{t: r, ctx: ctx, platform: newFakeTable()}
			for range 4 {
				sim.daemons = append(sim.daemons, sim.startDaemon())
			}
			sim.production = start(ctx, sim.platform, Production, "production")
			for range rapid.IntRange(5, 40).Draw(r, "steps") {
				sim.step()
				sim.check()
			}
			sim.platform.update(func(t *fakeTable) { t.down, t.loseAnswers, t.dropWrites = false, 0, 0 })
			for _, d := range sim.daemons {
				d.link.cut.Store(false)
			}
			time.Sleep(inForceWithin)
			sim.check()
			for _, d := range sim.daemons {
				require.Equal(r, int64(len(sim.platform.trialHeads)), d.revision)
			}
		})
	})
}
