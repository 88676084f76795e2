package demo

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
	"github.com/limpetlb/limpetlb/limpetlab/object"
	"github.com/limpetlb/limpetlb/limpetlab/table"
	"github.com/limpetlb/limpetlb/limpetlab/vmlist"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

// randomFaults is a fault hook that injects faults at random by rules, which
// change while the demo runs. The first rule that matches a call and is drawn
// applies.
type randomFaults struct {
	mu    sync.Mutex
	rand  *rand.Rand
	rules []fault.Rule
}

var _ fault.Provider = (*randomFaults)(nil)

// newRandomFaults returns a hook without rules.
func newRandomFaults(seed uint64) *randomFaults {
	return &randomFaults{rand: rand.New(rand.NewPCG(seed, 1))}
}

// set replaces the rules.
func (f *randomFaults) set(rules ...fault.Rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = rules
}

// Fault implements fault.Provider.
func (f *randomFaults) Fault(call fault.Call) fault.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.rules {
		if (r.Server == "" || r.Server == call.Server) && (r.Step == "" || r.Step == call.Step) && f.rand.Float64() < r.Rate {
			return r.Action
		}
	}
	return fault.Action{}
}

// Probabilities of the random faults.
const (
	orderRate = 0.05
	frameRate = 0.002
	callRate  = 0.05
	storeRate = 0.05
)

// orderRules returns rules for faults of orders to engines.
func orderRules() []fault.Rule {
	var rules []fault.Rule
	for _, step := range []string{"order_load", "order_unload", "order_fence"} {
		rules = append(rules,
			fault.Rule{Step: step, Rate: orderRate, Action: fault.Action{Kind: fault.Drop}},
			fault.Rule{Step: step, Rate: orderRate, Action: fault.Action{Kind: fault.Lost}},
			fault.Rule{Step: step, Rate: orderRate, Action: fault.Action{Kind: fault.Duplicate, Delay: 300 * time.Millisecond}},
			fault.Rule{Step: step, Rate: orderRate, Action: fault.Action{Kind: fault.Delay, Delay: 2 * time.Second}},
		)
	}
	return rules
}

// answerRules returns rules for faults of answers from engines and from the plain
// service.
func answerRules() []fault.Rule {
	return []fault.Rule{
		{Step: "frame", Rate: frameRate, Action: fault.Action{Kind: fault.Cross}},
		{Step: "frame", Rate: frameRate, Action: fault.Action{Kind: fault.Duplicate}},
		{Step: "frame", Rate: frameRate, Action: fault.Action{Kind: fault.Drop}},
		{Step: "generate", Rate: callRate, Action: fault.Action{Kind: fault.Lost}},
		{Step: "generate", Rate: callRate, Action: fault.Action{Kind: fault.Refuse}},
		{Step: "call", Rate: callRate, Action: fault.Action{Kind: fault.Lost}},
		{Step: "call", Rate: callRate, Action: fault.Action{Kind: fault.Drop}},
		{Step: "call", Rate: callRate, Action: fault.Action{Kind: fault.Refuse}},
	}
}

// storeRules returns rules for faults of the table.
func storeRules() []fault.Rule {
	return []fault.Rule{
		{Server: table.ServerName, Step: "apply", Rate: storeRate, Action: fault.Action{Kind: fault.Lost}},
		{Server: table.ServerName, Step: "apply", Rate: storeRate, Action: fault.Action{Kind: fault.Drop}},
		{Server: table.ServerName, Rate: storeRate, Action: fault.Action{Kind: fault.Delay, Delay: 800 * time.Millisecond}},
	}
}

// injectFaults carries out the fault schedule while the load runs. In every
// schedule a new revision of the document is applied before the third step.
func (d *demo) injectFaults(ctx context.Context) {
	interval := d.config.Duration / 8
	steps := d.schedule(ctx)
	for i, step := range steps {
		if !life.Sleep(ctx, interval) {
			return
		}
		if i == 2 {
			d.applyRevision(ctx)
		}
		step()
	}
	d.randomFaults.set()
	d.clearFaults(ctx)
}

// schedule returns the steps of the fault schedule. injectFaults waits for one
// eighth of the load's duration before each step.
func (d *demo) schedule(ctx context.Context) []func() {
	noFault := func() {}
	dcs := d.config.Deployment.DataCentres
	switch d.config.Fault {
	case FaultPartition:
		return []func(){
			func() { d.partition(dcs[0], world.FromPlatform) },
			func() { d.partition(dcs[1], world.FromPeers) },
			func() { d.restartEngine(dcs[0]) },
			func() { d.heal(dcs[0], dcs[1]) },
			func() { d.partition(dcs[2], world.FromPlatform, world.FromPeers) },
			func() { d.restartEngine(dcs[2]) },
			func() { d.heal(dcs[2]) },
		}
	case FaultKill:
		return []func(){
			func() { d.killDaemon(ctx) },
			func() { d.restartEngine(dcs[0]) },
			func() { d.randomFaults.set(orderRules()...) },
			func() { d.killDaemon(ctx) },
			func() { d.restartEngine(dcs[1]) },
			func() { d.randomFaults.set(answerRules()...) },
			noFault,
		}
	case FaultStore:
		return []func(){
			func() { d.storeDown() },
			noFault,
			func() { d.storeUp() },
			func() { d.randomFaults.set(storeRules()...) },
			noFault,
			func() { d.storeDown() },
			func() { d.storeUp() },
		}
	case FaultLeave:
		return []func(){
			func() { d.leaveDaemon(ctx) },
			noFault,
			func() { d.leaveDaemon(ctx) },
			noFault,
			func() { d.leaveDaemon(ctx) },
			noFault,
			noFault,
		}
	case FaultFreeze:
		return []func(){
			func() { d.freeze(ctx, dcs[0]) },
			func() { d.restartEngine(dcs[0]) },
			func() { d.randomFaults.set(orderRules()...) },
			func() { d.thaw(ctx) },
			func() { d.freeze(ctx, dcs[1]) },
			func() { d.restartEngine(dcs[1]) },
			noFault,
		}
	case FaultMixed:
		return d.mixedSchedule(ctx)
	}
	return []func(){noFault, noFault, noFault, noFault, noFault, noFault, noFault}
}

// mixedSchedule returns a schedule that combines the faults of the schedules
// partition, kill, store and leave.
func (d *demo) mixedSchedule(ctx context.Context) []func() {
	dcs := d.config.Deployment.DataCentres
	return []func(){
		func() { d.randomFaults.set(append(orderRules(), answerRules()...)...) },
		func() {
			d.partition(dcs[0], world.FromPlatform)
			d.killDaemon(ctx)
		},
		func() {
			d.restartEngine(dcs[0])
			d.leaveDaemon(ctx)
		},
		func() {
			d.heal(dcs[0])
			d.storeDown()
		},
		func() {
			d.storeUp()
			d.randomFaults.set(append(storeRules(), answerRules()...)...)
		},
		func() {
			d.partition(dcs[1], world.FromPeers)
			d.restartEngine(dcs[1])
		},
		func() {
			d.heal(dcs[1])
			d.killDaemon(ctx)
		},
	}
}

// storeDown makes the platform's services unreachable.
func (d *demo) storeDown() {
	d.logProgress("fault: table, object store and VM list are down")
	for _, server := range []string{table.ServerName, object.ServerName, vmlist.ServerName} {
		d.switches.Set(server, fault.Action{Kind: fault.Down})
	}
}

// storeUp makes the platform's services reachable again.
func (d *demo) storeUp() {
	d.logProgress("fault ended: table, object store and VM list")
	for _, server := range []string{table.ServerName, object.ServerName, vmlist.ServerName} {
		d.switches.Clear(server)
	}
}

// partition cuts a data centre off from the platform, from the other data
// centres, or from both.
func (d *demo) partition(dc string, sides ...world.Partition) {
	d.logProgress("fault: %s is cut off from %v", dc, sides)
	d.world.Disconnect(dc, sides...)
}

// heal ends the partitions of data centres.
func (d *demo) heal(dcs ...string) {
	for _, dc := range dcs {
		d.logProgress("fault ended: %s is no longer cut off", dc)
		if err := d.world.Reconnect(dc); err != nil {
			d.logProgress("heal %s: %v", dc, err)
		}
	}
}

// restartEngine restarts the first engine of a data centre, which then holds no
// models.
func (d *demo) restartEngine(dc string) {
	for _, e := range d.world.Engines {
		if e.VM.DataCentre == dc {
			d.logProgress("fault: engine %s restarts without models", e.VM.ID)
			e.Restart()
			return
		}
	}
}

// killDaemon ends a daemon without notice; the platform replaces its VM.
func (d *demo) killDaemon(ctx context.Context) {
	m := d.fleet.Live()[0]
	d.logProgress("fault: %s is killed", m.VM)
	m.Kill()
	d.fleet.Drop(m)
	d.world.VMList.Remove(m.VM)
	d.replaceDaemon(ctx, m)
}

// leaveDaemon makes a daemon leave the fleet; the platform lists its VM as leaving
// and replaces the VM. The balancer removes the daemon after balancerLag.
func (d *demo) leaveDaemon(ctx context.Context) {
	m := d.fleet.Live()[0]
	d.logProgress("%s is leaving", m.VM)
	d.world.VMList.MarkLeaving(m.VM)
	d.replaceDaemon(ctx, m)
	go func() {
		life.Sleep(ctx, balancerLag)
		d.fleet.Drop(m)
	}()
	go func() {
		if err := m.Daemon.Leave(ctx); err != nil {
			d.logProgress("%s left with an error: %v", m.VM, err)
			d.countFailedLeave(ctx)
		}
		m.Kill()
		d.world.VMList.Remove(m.VM)
		d.logProgress("%s has left", m.VM)
	}()
}

// countFailedLeave counts a daemon whose Leave returned an error, unless the demo
// has ended and thereby interrupted the daemon.
func (d *demo) countFailedLeave(ctx context.Context) {
	if ctx.Err() == nil {
		d.failedLeaves.Add(1)
	}
}

// balancerLag is how long the balancer still sends requests to a daemon that
// leaves or is suspended.
const balancerLag = 500 * time.Millisecond

// replaceDaemon starts a daemon to replace a daemon that was killed or leaves.
func (d *demo) replaceDaemon(ctx context.Context, m *fleet.Member) {
	replacement, err := d.fleet.Join(ctx, m.DataCentre)
	if err != nil {
		d.logProgress("replace %s: %v", m.VM, err)
		return
	}
	d.logProgress("%s replaces %s", replacement.VM, m.VM)
}

// clearFaults ends all faults but the random ones.
func (d *demo) clearFaults(ctx context.Context) {
	d.thaw(ctx)
	for _, dc := range d.config.Deployment.DataCentres {
		if err := d.world.Reconnect(dc); err != nil {
			d.logProgress("heal %s: %v", dc, err)
		}
	}
	for _, server := range []string{table.ServerName, object.ServerName, vmlist.ServerName} {
		d.switches.Clear(server)
	}
}

// applyRevision applies revision 2 of the document, with a new version of one
// model.
func (d *demo) applyRevision(ctx context.Context) {
	doc := d.config.Deployment.Document(2)
	doc.Models[1].Version = "2"
	d.checker.AddDocument(doc)
	go func() {
		if err := d.fleet.Apply(ctx, doc); err != nil {
			d.logProgress("apply revision 2: %v", err)
		}
	}()
}
