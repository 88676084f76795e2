package member

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// fabric is the network and the VM list between duties.
type fabric struct {
	mu     sync.Mutex
	duties map[string]*Duty
	vms    []store.VM
	// listed is the list of the past, when each was set.
	history []listing
	lag     time.Duration
	delay   time.Duration
	// blocked tells which messages are lost.
	blocked func(from, to string) bool
	tells   int
	reads   int
	// unanswered counts messages to VMs without a duty.
	unanswered int
}

// listing is the VM list as it was from a time on.
type listing struct {
	at  time.Time
	vms []store.VM
}

// port is the way of one daemon into the fabric.
type port struct {
	f  *fabric
	vm string
}

var (
	_ Transport    = port{}
	_ store.VMList = port{}
)

func newFabric() *fabric {
	return &fabric{duties: map[string]*Duty{}, delay: 2 * time.Millisecond, blocked: func(string, string) bool { return false }}
}

// set publishes a list; it is read after the lag.
func (f *fabric) set(vms ...store.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
	f.history = append(f.history, listing{at: time.Now(), vms: vms})
}

// block replaces what is lost.
func (f *fabric) block(blocked func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

// to returns the duty at an address unless the way is blocked.
func (p port) to(address string) (*Duty, bool) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	u, ok := p.f.duties[address]
	return u, ok && !p.f.blocked(p.vm, address) && !p.f.blocked(address, p.vm)
}

func (p port) sender() Sender {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return Sender{VM: p.vm, Instance: p.f.duties[p.vm].config.Instance}
}

// Tell loses messages silently, as a network does.
func (p port) Tell(address string, m Message) error {
	u, ok := p.to(address)
	p.f.mu.Lock()
	p.f.tells++
	if u == nil {
		p.f.unanswered++
	}
	p.f.mu.Unlock()
	if !ok {
		return nil
	}
	from := p.sender()
	time.AfterFunc(p.f.delay, func() { u.Receive(from, m) })
	return nil
}

func (p port) Exchange(_ context.Context, address string, m Message) (Message, error) {
	u, ok := p.to(address)
	time.Sleep(p.f.delay)
	if !ok {
		return Message{}, code.Errorf(code.PeerDown, "%s", address)
	}
	return u.Exchange(p.sender(), m), nil
}

func (p port) Document(_ context.Context, address string) (Copy, error) {
	u, ok := p.to(address)
	if !ok {
		return Copy{}, code.Errorf(code.PeerDown, "%s", address)
	}
	return Copy{Revision: u.announced}, nil
}

// VMs returns the list as it was before the lag.
func (p port) VMs(context.Context) ([]store.VM, error) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.f.reads++
	if p.f.blocked(p.vm, "platform") {
		return nil, code.Errorf(code.StoreDown, "cut off")
	}
	vms := p.f.history[0].vms
	for _, l := range p.f.history {
		if time.Since(l.at) >= p.f.lag {
			vms = l.vms
		}
	}
	return vms, nil
}

// entryVM returns an entry VM whose address is its id.
func entryVM(id, dataCentre, region string) store.VM {
	return store.VM{ID: id, Kind: store.KindEntry, DataCentre: dataCentre, Region: region, Address: id, State: store.StateLive}
}

// start starts a daemon on a VM.
func (f *fabric) start(ctx context.Context, vm store.VM, instance string, change func(*Deps)) *Duty {
	p := port{f: f, vm: vm.ID}
	deps := Deps{List: p, Peers: p}
	if change != nil {
		change(&deps)
	}
	config := Config{VM: vm.ID, Instance: instance, DataCentre: vm.DataCentre, Region: vm.Region, Address: vm.Address}
	f.mu.Lock()
	defer f.mu.Unlock()
	u := New(ctx, config, deps, WithSeed(uint64(len(f.duties)+1)))
	f.duties[vm.ID] = u
	return u
}

// fleet starts daemons on new VMs over data centres.
func (f *fabric) fleet(ctx context.Context, n, centres int) []*Duty {
	var vms []store.VM
	for i := range n {
		dc := i % centres
		vms = append(vms, entryVM(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("dc-%d", dc), fmt.Sprintf("region-%d", dc%2)))
	}
	f.set(vms...)
	var duties []*Duty
	for _, vm := range vms {
		duties = append(duties, f.start(ctx, vm, vm.ID+"-1", nil))
	}
	return duties
}

// state returns the state of a VM in a list; empty if it is not there.
func state(vms []store.VM, id string) store.State {
	for _, vm := range vms {
		if vm.ID == id {
			return vm.State
		}
	}
	return ""
}
