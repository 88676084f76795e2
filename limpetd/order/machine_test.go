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

// action is a fault or a change, drawn by number. The numbers choose among what
// there is.
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

// machine carries actions out on a world. What it checks is read from the
// engines alone.
type machine struct {
	*world
	version int
	next    int
	// harsh lets engines restart and orders come late, so that the last
	// replica can be lost; without it no unload may take it away.
	harsh bool
}

// TestMemoryUnderFaults draws crashes, pauses, lost answers and late orders at
// any step: no engine may ever hold more than it has, and once the faults end
// every declared slot is resident.
func TestMemoryUnderFaults(t *testing.T) {
	for _, fencing := range []store.Fencing{store.FencingIgnores, store.FencingRefuses} {
		t.Run(string(fencing), func(t *testing.T) {
			t.Parallel()
			checkMachine(t, fencing, true)
		})
	}
}

// TestLastReplicaUnderFaults draws the same faults, but for restarts and late
// orders: no unload may take the last replica of a declared model.
func TestLastReplicaUnderFaults(t *testing.T) {
	t.Parallel()
	checkMachine(t, store.FencingUnknown, false)
}

func checkMachine(t *testing.T, fencing store.Fencing, harsh bool) {
	m := &machine{harsh: harsh}
	draw := rapid.SliceOfN(drawAction(len(m.kinds())), 3, 25)
	rapid.Check(t, func(rt *rapid.T) {
		script := draw.Draw(rt, "script")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = play(t, fencing, harsh, script) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// play carries a script out and returns what went wrong.
func play(t *testing.T, fencing store.Fencing, harsh bool, script []action) string {
	m := &machine{world: newWorld(t, 3, 4400, fencing), harsh: harsh, version: 1, next: 3}
	defer m.stop()
	m.start("vm-1")
	m.start("vm-2")
	m.declare(document(4, 1, 2000, "1"))
	kinds := m.kinds()
	for i, a := range script {
		kinds[a.Kind](a)
		m.run(time.Duration(a.Seconds) * time.Second)
		if fault := m.check(); fault != "" {
			return fmt.Sprintf("after action %d: %s", i, fault)
		}
	}
	return m.heal()
}

func (m *machine) kinds() []func(a action) {
	kinds := []func(a action){
		m.tableFault, m.orderFault, m.pauseOne, m.resumeAll, m.killOne,
		m.declareNext, m.restartDaemon, m.clearFaults, m.leaveOne, m.cutPeers,
	}
	if m.harsh {
		kinds = append(kinds, m.restartEngine, m.loseReports)
	}
	return kinds
}

func (m *machine) check() string {
	if over := m.overcommitted(); over != "" {
		return "memory: " + over
	}
	if last := m.lastUnloads(); !m.harsh && len(last) > 0 {
		return fmt.Sprintf("last replicas unloaded: %v", last)
	}
	return ""
}

// heal ends all faults and requires that the declared slots become resident.
func (m *machine) heal() string {
	m.clearFaults(action{})
	m.resumeAll(action{})
	m.run(3 * time.Minute)
	if fault := m.check(); fault != "" {
		return "after healing: " + fault
	}
	if missing := m.missing(); len(missing) > 0 {
		return fmt.Sprintf("not resident: %v, status %s", missing, m.statuses())
	}
	return ""
}

// statuses returns the state of each daemon.
func (m *machine) statuses() string {
	var all string
	for _, d := range m.daemons {
		all += fmt.Sprintf("%s: %+v\n", d.vm, d.duty.Status())
	}
	return all
}

func (m *machine) tableFault(a action) {
	f := tableDown + tableFault(a.Fault)%tableLate
	n := a.Times
	m.table.setFault(func(write bool) tableFault {
		if n <= 0 || (!write && !a.Reads) {
			return tableUp
		}
		n--
		return f
	})
}

func (m *machine) orderFault(a action) {
	e := m.engines[a.Engine]
	last := orderMute
	if m.harsh {
		last = orderLate
	}
	n := a.Times
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = func(engine.Order) orderFault {
		if n <= 0 {
			return orderUp
		}
		n--
		return orderDown + orderFault(a.Fault)%last
	}
}

func (m *machine) clearFaults(action) {
	m.table.setFault(func(bool) tableFault { return tableUp })
	for _, e := range m.engines {
		e.mu.Lock()
		e.fault = nil
		e.mu.Unlock()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.lost)
	m.cut = false
}

func (m *machine) pick(a action) *fakeDaemon { return m.daemons[a.Daemon%len(m.daemons)] }

func (m *machine) pauseOne(a action) { m.pick(a).pause() }

func (m *machine) resumeAll(action) {
	for _, d := range m.daemons {
		d.resume()
	}
}

// killOne ends a daemon; another VM takes its place.
func (m *machine) killOne(a action) {
	m.kill(m.pick(a), true)
	m.start("vm-" + strconv.Itoa(m.next))
	m.next++
}

// restartDaemon starts a new process on a VM.
func (m *machine) restartDaemon(a action) {
	d := m.pick(a)
	m.kill(d, true)
	m.start(d.vm)
}

// leaveOne has a daemon leave, with too little time for what it has sent.
func (m *machine) leaveOne(a action) {
	d := m.pick(a)
	d.resume()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Times)*time.Second)
	defer cancel()
	_ = d.duty.Leave(ctx)
	m.killOne(a)
}

// cutPeers keeps daemons from asking each other.
func (m *machine) cutPeers(action) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = true
}

func (m *machine) restartEngine(a action) { m.engines[a.Engine].restart() }

func (m *machine) loseReports(a action) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost[m.engines[a.Engine].vm.ID] = true
}

// declareNext changes versions, and whether there is a fourth model.
func (m *machine) declareNext(a action) {
	m.version++
	old, _ := m.Document()
	doc := document(3+a.Models>>4, 1, 2000, "1")
	for i := range doc.Models {
		switch {
		case a.Models&(1<<i) != 0:
			doc.Models[i].Version = fmt.Sprint(m.version)
		case i < len(old.Models):
			doc.Models[i].Version = old.Models[i].Version
		}
	}
	m.declare(doc)
}
