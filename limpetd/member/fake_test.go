package member

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// fakeNetwork simulates the network between memberships and the platform's VM list.
type fakeNetwork struct {
	mu          sync.Mutex
	memberships map[string]*Membership
	list        []store.VM
	// history holds all versions of the VM list, oldest first.
	history []listVersion
	lag     time.Duration
	delay   time.Duration
	// blocked reports whether messages between two addresses are lost.
	blocked func(from, to string) bool
	// loseEvery is the number of messages of which one is lost; 0 if none is. attempts counts
	// the messages, and lost those that were lost so.
	loseEvery, attempts, lost int

	sent  int
	reads int
	// unanswered counts messages to VMs without a membership.
	unanswered int
}

// listVersion is a version of the VM list and the time at which it was published.
type listVersion struct {
	at  time.Time
	vms []store.VM
}

// endpoint connects one daemon to the network.
type endpoint struct {
	network *fakeNetwork
	vm      string
}

var (
	_ Transport      = endpoint{}
	_ store.VMLister = endpoint{}
)

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{memberships: map[string]*Membership{}, delay: 2 * time.Millisecond, blocked: func(string, string) bool { return false }}
}

// setList publishes a list. Reads return it after the lag.
func (f *fakeNetwork) setList(vms ...store.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = vms
	f.history = append(f.history, listVersion{at: time.Now(), vms: vms})
}

// block replaces the function that selects lost messages.
func (f *fakeNetwork) block(blocked func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

// membershipAt returns the membership at an address. The result is false if there is none
// or the connection is blocked.
func (p endpoint) membershipAt(address string) (*Membership, bool) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	u, ok := p.network.memberships[address]
	return u, ok && !p.network.loses() && !p.network.blocked(p.vm, address) && !p.network.blocked(address, p.vm)
}

// loses reports whether the next message is one of those that are lost. f.mu must be held.
func (f *fakeNetwork) loses() bool {
	f.attempts++
	lost := f.loseEvery > 0 && f.attempts%f.loseEvery == 0
	if lost {
		f.lost++
	}
	return lost
}

// setLoss makes the network lose one of every messages from now on.
func (f *fakeNetwork) setLoss(every int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseEvery, f.attempts, f.lost = every, 0, 0
}

// lossRate returns the share of messages that were lost since setLoss.
func (f *fakeNetwork) lossRate() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.lost) / float64(f.attempts)
}

func (p endpoint) sender() Sender {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return Sender{VM: p.vm, Instance: p.network.memberships[p.vm].config.Instance}
}

// Send loses blocked messages without an error, as a network does.
func (p endpoint) Send(address string, m Message) error {
	u, ok := p.membershipAt(address)
	p.network.mu.Lock()
	p.network.sent++
	if u == nil {
		p.network.unanswered++
	}
	p.network.mu.Unlock()
	if !ok {
		return nil
	}
	from := p.sender()
	time.AfterFunc(p.network.delay, func() { u.Receive(from, m) })
	return nil
}

func (p endpoint) Exchange(_ context.Context, address string, m Message) (Message, error) {
	u, ok := p.membershipAt(address)
	time.Sleep(p.network.delay)
	if !ok {
		return Message{}, code.Errorf(code.PeerDown, "%s", address)
	}
	return u.Exchange(p.sender(), m), nil
}

func (p endpoint) Document(_ context.Context, address string) (DocumentCopy, error) {
	u, ok := p.membershipAt(address)
	if !ok {
		return DocumentCopy{}, code.Errorf(code.PeerDown, "%s", address)
	}
	return DocumentCopy{Revision: u.announcedRevision}, nil
}

// VMs returns the newest version of the list that is at least as old as the lag.
func (p endpoint) VMs(context.Context) ([]store.VM, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.reads++
	if p.network.blocked(p.vm, "platform") {
		return nil, code.Errorf(code.StoreDown, "the platform is unreachable")
	}
	vms := p.network.history[0].vms
	for _, l := range p.network.history {
		if time.Since(l.at) >= p.network.lag {
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
func (f *fakeNetwork) start(ctx context.Context, vm store.VM, instance string, change func(*Deps)) *Membership {
	p := endpoint{network: f, vm: vm.ID}
	deps := Deps{List: p, Peers: p}
	if change != nil {
		change(&deps)
	}
	config := Config{VM: vm.ID, Instance: instance, DataCentre: vm.DataCentre, Region: vm.Region, Address: vm.Address}
	f.mu.Lock()
	defer f.mu.Unlock()
	u := New(ctx, config, deps, WithSeed(uint64(len(f.memberships)+1)))
	f.memberships[vm.ID] = u
	return u
}

// startFleet starts n daemons on new VMs, distributed evenly over data centres.
func (f *fakeNetwork) startFleet(ctx context.Context, n, centres int) []*Membership {
	var vms []store.VM
	for i := range n {
		dc := i % centres
		vms = append(vms, entryVM(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("dc-%d", dc), fmt.Sprintf("region-%d", dc%2)))
	}
	f.setList(vms...)
	var memberships []*Membership
	for _, vm := range vms {
		memberships = append(memberships, f.start(ctx, vm, vm.ID+"-1", nil))
	}
	return memberships
}

// vmState returns the state of a VM in a list, or "" if the VM is not listed.
func vmState(vms []store.VM, id string) store.State {
	for _, vm := range vms {
		if vm.ID == id {
			return vm.State
		}
	}
	return ""
}
