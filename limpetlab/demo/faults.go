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

// chance is a fault hook whose rules change while the demo runs.
type chance struct {
	mu    sync.Mutex
	rand  *rand.Rand
	rules []fault.Rule
}

var _ fault.Provider = (*chance)(nil)

// newChance returns a hook without rules.
func newChance(seed uint64) *chance {
	return &chance{rand: rand.New(rand.NewPCG(seed, 1))}
}

// set replaces the rules.
func (c *chance) set(rules ...fault.Rule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules = rules
}

// Fault implements fault.Provider.
func (c *chance) Fault(call fault.Call) fault.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rules {
		if (r.Server == "" || r.Server == call.Server) && (r.Step == "" || r.Step == call.Step) && c.rand.Float64() < r.Rate {
			return r.Action
		}
	}
	return fault.Action{}
}

// Rates of the faults that strike by chance.
const (
	orderRate = 0.05
	frameRate = 0.002
	callRate  = 0.05
	storeRate = 0.05
)

// orderRules spoil orders to engines.
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

// answerRules spoil answers of engines and of the plain service.
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

// storeRules spoil the table.
func storeRules() []fault.Rule {
	return []fault.Rule{
		{Server: table.Name, Step: "apply", Rate: storeRate, Action: fault.Action{Kind: fault.Lost}},
		{Server: table.Name, Step: "apply", Rate: storeRate, Action: fault.Action{Kind: fault.Drop}},
		{Server: table.Name, Rate: storeRate, Action: fault.Action{Kind: fault.Delay, Delay: 800 * time.Millisecond}},
	}
}

// faults carries out the schedule over the time of the load. In every schedule
// a new revision is applied while the load goes on.
func (d *demo) faults(ctx context.Context) {
	part := d.config.Duration / 8
	steps := d.schedule(ctx)
	for i, step := range steps {
		if !life.Sleep(ctx, part) {
			return
		}
		if i == 2 {
			d.revise(ctx)
		}
		step()
	}
	d.chance.set()
	d.restore(ctx)
}

// schedule returns what happens at each eighth of the load's time.
func (d *demo) schedule(ctx context.Context) []func() {
	nothing := func() {}
	dcs := d.config.Deployment.DataCentres
	switch d.config.Fault {
	case FaultPartition:
		return []func(){
			func() { d.cut(dcs[0], world.Platform) },
			func() { d.cut(dcs[1], world.Peers) },
			func() { d.restartEngine(dcs[0]) },
			func() { d.heal(dcs[0], dcs[1]) },
			func() { d.cut(dcs[2], world.Platform, world.Peers) },
			func() { d.restartEngine(dcs[2]) },
			func() { d.heal(dcs[2]) },
		}
	case FaultKill:
		return []func(){
			func() { d.kill(ctx) },
			func() { d.restartEngine(dcs[0]) },
			func() { d.chance.set(orderRules()...) },
			func() { d.kill(ctx) },
			func() { d.restartEngine(dcs[1]) },
			func() { d.chance.set(answerRules()...) },
			nothing,
		}
	case FaultStore:
		return []func(){
			func() { d.storeDown() },
			nothing,
			func() { d.storeUp() },
			func() { d.chance.set(storeRules()...) },
			nothing,
			func() { d.storeDown() },
			func() { d.storeUp() },
		}
	case FaultLeave:
		return []func(){
			func() { d.leave(ctx) },
			nothing,
			func() { d.leave(ctx) },
			nothing,
			func() { d.leave(ctx) },
			nothing,
			nothing,
		}
	case FaultFreeze:
		return []func(){
			func() { d.freeze(ctx, dcs[0]) },
			func() { d.restartEngine(dcs[0]) },
			func() { d.chance.set(orderRules()...) },
			func() { d.thaw(ctx) },
			func() { d.freeze(ctx, dcs[1]) },
			func() { d.restartEngine(dcs[1]) },
			nothing,
		}
	case FaultMixed:
		return d.mixed(ctx)
	}
	return []func(){nothing, nothing, nothing, nothing, nothing, nothing, nothing}
}

// mixed joins all faults.
func (d *demo) mixed(ctx context.Context) []func() {
	dcs := d.config.Deployment.DataCentres
	return []func(){
		func() { d.chance.set(append(orderRules(), answerRules()...)...) },
		func() {
			d.cut(dcs[0], world.Platform)
			d.kill(ctx)
		},
		func() {
			d.restartEngine(dcs[0])
			d.leave(ctx)
		},
		func() {
			d.heal(dcs[0])
			d.storeDown()
		},
		func() {
			d.storeUp()
			d.chance.set(append(storeRules(), answerRules()...)...)
		},
		func() {
			d.cut(dcs[1], world.Peers)
			d.restartEngine(dcs[1])
		},
		func() {
			d.heal(dcs[1])
			d.kill(ctx)
		},
	}
}

// storeDown takes the platform's services away.
func (d *demo) storeDown() {
	d.say("fault: table, object store and VM list are down")
	for _, server := range []string{table.Name, object.Name, vmlist.Name} {
		d.switches.Set(server, fault.Action{Kind: fault.Down})
	}
}

// storeUp gives the platform's services back.
func (d *demo) storeUp() {
	d.say("fault ended: table, object store and VM list")
	for _, server := range []string{table.Name, object.Name, vmlist.Name} {
		d.switches.Clear(server)
	}
}

// cut cuts a data centre off.
func (d *demo) cut(dc string, sides ...world.Side) {
	d.say("fault: %s is cut off from %v", dc, sides)
	d.world.Cut(dc, sides...)
}

// heal ends the cuts of data centres.
func (d *demo) heal(dcs ...string) {
	for _, dc := range dcs {
		d.say("fault ended: %s is no longer cut off", dc)
		if err := d.world.Heal(dc); err != nil {
			d.say("heal %s: %v", dc, err)
		}
	}
}

// restartEngine restarts the first engine of a data centre; it begins empty.
func (d *demo) restartEngine(dc string) {
	for _, e := range d.world.Engines {
		if e.VM.DataCentre == dc {
			d.say("fault: %s restarts empty", e.VM.ID)
			e.Restart()
			return
		}
	}
}

// kill ends a daemon at once; the platform replaces its VM.
func (d *demo) kill(ctx context.Context) {
	m := d.fleet.Live()[0]
	d.say("fault: %s dies", m.VM)
	m.Kill()
	d.fleet.Drop(m)
	d.world.List.Remove(m.VM)
	d.replace(ctx, m)
}

// leave lets a daemon leave; the platform lists it as leaving and replaces its
// VM. The balancer takes a moment to notice.
func (d *demo) leave(ctx context.Context) {
	m := d.fleet.Live()[0]
	d.say("%s leaves", m.VM)
	d.world.List.Leave(m.VM)
	d.replace(ctx, m)
	go func() {
		life.Sleep(ctx, balancerLag)
		d.fleet.Drop(m)
	}()
	go func() {
		if err := m.Daemon.Leave(ctx); err != nil {
			d.say("%s left: %v", m.VM, err)
			d.failLeave(ctx)
		}
		m.Kill()
		d.world.List.Remove(m.VM)
		d.say("%s is gone", m.VM)
	}()
}

// failLeave counts a daemon that did not leave in good order, but for one that
// the end of the demo cuts short.
func (d *demo) failLeave(ctx context.Context) {
	if ctx.Err() == nil {
		d.failedLeaves.Add(1)
	}
}

// balancerLag is how long the balancer sends requests to a daemon that leaves.
const balancerLag = 500 * time.Millisecond

// replace starts a daemon in place of one that dies or leaves.
func (d *demo) replace(ctx context.Context, m *fleet.Member) {
	next, err := d.fleet.Join(ctx, m.DataCentre)
	if err != nil {
		d.say("replacing %s: %v", m.VM, err)
		return
	}
	d.say("%s replaces %s", next.VM, m.VM)
}

// restore ends all faults.
func (d *demo) restore(ctx context.Context) {
	d.thaw(ctx)
	for _, dc := range d.config.Deployment.DataCentres {
		if err := d.world.Heal(dc); err != nil {
			d.say("heal %s: %v", dc, err)
		}
	}
	for _, server := range []string{table.Name, object.Name, vmlist.Name} {
		d.switches.Clear(server)
	}
}

// revise applies a revision with a new version of a model.
func (d *demo) revise(ctx context.Context) {
	doc := d.config.Deployment.Document(2)
	doc.Models[1].Version = "2"
	d.judge.Declare(doc)
	go func() {
		if err := d.fleet.Apply(ctx, doc); err != nil {
			d.say("revision 2: %v", err)
		}
	}()
}
