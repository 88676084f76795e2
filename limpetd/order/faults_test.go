package order

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// action is a fault or a change. Its numbers are drawn and select among the available
// kinds, engines and daemons.
type action struct {
	Kind, Fault, Times, Engine, Daemon, Models, Seconds int
	Reads                                               bool
}

func drawAction(kinds int) *rapid.Generator[action] {
	return rapid.Custom(func(rt *rapid.T) action {
		return action{
			Kind:    rapid.IntRange(0, kinds-1).Draw(rt, "kind"),
			Fault:   rapid.IntRange(0, 99).Draw(rt, "fault"),
			Times:   rapid.IntRange(1, 6).Draw(rt, "times"),
			Engine:  rapid.IntRange(0, 2).Draw(rt, "engine"),
			Daemon:  rapid.IntRange(0, 9).Draw(rt, "daemon"),
			Models:  rapid.IntRange(0, 31).Draw(rt, "models"),
			Seconds: rapid.IntRange(1, 12).Draw(rt, "seconds"),
			Reads:   rapid.Bool().Draw(rt, "reads"),
		}
	})
}

// scenario applies actions to a simulation. Its checks depend only on the state of the
// fake engines.
type scenario struct {
	*simulation
	version int
	nextVM  int
	// allowReplicaLoss enables restarts of engines and delayed orders, by which the
	// last replica of a model can be lost. Without them no unload may remove a last
	// replica.
	allowReplicaLoss bool
}

// TestMemoryUnderFaults draws crashes, pauses, lost answers and delayed orders at any
// step. No engine may ever hold more than its memory, and after the faults end every
// declared slot must become resident.
func TestMemoryUnderFaults(t *testing.T) {
	for _, fencing := range []store.Fencing{store.FencingIgnores, store.FencingRefuses} {
		t.Run(string(fencing), func(t *testing.T) {
			t.Parallel()
			checkScenarios(t, fencing, true)
		})
	}
}

// TestLastReplicaUnderFaults draws the same faults except restarts of engines and
// delayed orders. No unload may remove the last replica of a declared model.
func TestLastReplicaUnderFaults(t *testing.T) {
	t.Parallel()
	checkScenarios(t, store.FencingUnknown, false)
}

func checkScenarios(t *testing.T, fencing store.Fencing, allowReplicaLoss bool) {
	sc := &scenario{allowReplicaLoss: allowReplicaLoss}
	draw := rapid.SliceOfN(drawAction(len(sc.actions())), 3, 25)
	rapid.Check(t, func(rt *rapid.T) {
		script := draw.Draw(rt, "script")
		var violation string
		synctest.Test(t, func(t *testing.T) { violation = runScript(t, fencing, allowReplicaLoss, script) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// runScript applies a script of actions and returns the first violation.
func runScript(t *testing.T, fencing store.Fencing, allowReplicaLoss bool, script []action) string {
	sc := &scenario{simulation: newSimulation(t, 3, 4400, fencing), allowReplicaLoss: allowReplicaLoss, version: 1, nextVM: 3}
	defer sc.stop()
	sc.start("vm-1")
	sc.start("vm-2")
	sc.declare(document(4, 1, 2000, "1"))
	actions := sc.actions()
	for i, a := range script {
		actions[a.Kind](a)
		sc.run(time.Duration(a.Seconds) * time.Second)
		if failure := sc.violation(); failure != "" {
			return fmt.Sprintf("after action %d: %s", i, failure)
		}
	}
	return sc.checkRecovery()
}

func (sc *scenario) actions() []func(a action) {
	actions := []func(a action){
		sc.failTable, sc.failOrders, sc.pauseDaemon, sc.resumeDaemons, sc.replaceDaemon,
		sc.declareNext, sc.restartDaemon, sc.clearFaults, sc.leaveDaemon, sc.disconnectPeers,
	}
	if sc.allowReplicaLoss {
		actions = append(actions, sc.restartEngine, sc.loseReports)
	}
	return actions
}

func (sc *scenario) violation() string {
	if over := sc.overcommitted(); over != "" {
		return "memory: " + over
	}
	if unloads := sc.unloadedLastReplicas(); !sc.allowReplicaLoss && len(unloads) > 0 {
		return fmt.Sprintf("last replicas unloaded: %v", unloads)
	}
	return ""
}

// checkRecovery ends all faults and requires that the declared slots become resident.
func (sc *scenario) checkRecovery() string {
	sc.clearFaults(action{})
	sc.resumeDaemons(action{})
	sc.run(3 * time.Minute)
	if failure := sc.violation(); failure != "" {
		return "after the faults ended: " + failure
	}
	if missing := sc.missing(); len(missing) > 0 {
		return fmt.Sprintf("not resident: %v, status %s", missing, sc.describeStatus())
	}
	return ""
}

// describeStatus returns the status of each daemon.
func (sc *scenario) describeStatus() string {
	var text string
	for _, d := range sc.daemons {
		text += fmt.Sprintf("%s: %+v\n", d.vm, d.controller.Status())
	}
	return text
}

func (sc *scenario) failTable(a action) {
	f := tableDown + tableFault(a.Fault)%tableDelayed
	n := a.Times
	sc.table.setFault(func(write bool) tableFault {
		if n <= 0 || (!write && !a.Reads) {
			return tableAvailable
		}
		n--
		return f
	})
}

func (sc *scenario) failOrders(a action) {
	e := sc.engines[a.Engine]
	faults := orderUnanswered
	if sc.allowReplicaLoss {
		faults = orderDelayed
	}
	n := a.Times
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = func(engine.Order) orderFault {
		if n <= 0 {
			return orderDelivered
		}
		n--
		return orderUnreachable + orderFault(a.Fault)%faults
	}
}

func (sc *scenario) clearFaults(action) {
	sc.table.setFault(func(bool) tableFault { return tableAvailable })
	for _, e := range sc.engines {
		e.mu.Lock()
		e.fault = nil
		e.mu.Unlock()
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	clear(sc.lostReports)
	sc.peersUnreachable = false
}

func (sc *scenario) pickDaemon(a action) *fakeDaemon { return sc.daemons[a.Daemon%len(sc.daemons)] }

func (sc *scenario) pauseDaemon(a action) { sc.pickDaemon(a).pause() }

func (sc *scenario) resumeDaemons(action) {
	for _, d := range sc.daemons {
		d.resume()
	}
}

// replaceDaemon ends a daemon and starts one on a new VM.
func (sc *scenario) replaceDaemon(a action) {
	sc.kill(sc.pickDaemon(a), true)
	sc.start("vm-" + strconv.Itoa(sc.nextVM))
	sc.nextVM++
}

// restartDaemon starts a new process on a daemon's VM.
func (sc *scenario) restartDaemon(a action) {
	d := sc.pickDaemon(a)
	sc.kill(d, true)
	sc.start(d.vm)
}

// leaveDaemon makes a daemon leave, with too little time for the orders in flight.
func (sc *scenario) leaveDaemon(a action) {
	d := sc.pickDaemon(a)
	d.resume()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Times)*time.Second)
	defer cancel()
	_ = d.controller.Leave(ctx)
	sc.replaceDaemon(a)
}

// disconnectPeers keeps daemons from querying each other.
func (sc *scenario) disconnectPeers(action) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.peersUnreachable = true
}

func (sc *scenario) restartEngine(a action) { sc.engines[a.Engine].restart() }

func (sc *scenario) loseReports(a action) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.lostReports[sc.engines[a.Engine].vm.ID] = true
}

// declareNext declares new versions, with or without a fourth model.
func (sc *scenario) declareNext(a action) {
	sc.version++
	old, _ := sc.Document()
	doc := document(3+a.Models>>4, 1, 2000, "1")
	for i := range doc.Models {
		switch {
		case a.Models&(1<<i) != 0:
			doc.Models[i].Version = fmt.Sprint(sc.version)
		case i < len(old.Models):
			doc.Models[i].Version = old.Models[i].Version
		}
	}
	sc.declare(doc)
}
