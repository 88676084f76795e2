package docs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// network connects the daemons of a test.
type network struct {
	// mu guards members and docs, which are keyed by address.
	mu      sync.Mutex
	members map[string]*member.Membership
	docs    map[string]*Manager
	vms     []store.VM
}

// transport is the transport of one daemon on a network. It is also the VM list.
type transport struct {
	network *network
	from    member.Sender
}

var _ member.Transport = transport{}

// find returns the managers of the daemon at an address, or nil.
func (tr transport) find(address string) (*member.Membership, *Manager) {
	tr.network.mu.Lock()
	defer tr.network.mu.Unlock()
	return tr.network.members[address], tr.network.docs[address]
}

func (tr transport) Send(address string, m member.Message) error {
	u, _ := tr.find(address)
	if u != nil {
		time.AfterFunc(time.Millisecond, func() { u.Receive(tr.from, m) })
	}
	return nil
}

func (tr transport) Exchange(_ context.Context, address string, m member.Message) (member.Message, error) {
	u, _ := tr.find(address)
	if u == nil {
		return member.Message{}, code.Errorf(code.PeerDown, "%s", address)
	}
	return u.Exchange(tr.from, m), nil
}

func (tr transport) Document(_ context.Context, address string) (member.DocumentCopy, error) {
	_, d := tr.find(address)
	if d == nil {
		return member.DocumentCopy{}, code.Errorf(code.PeerDown, "%s", address)
	}
	return d.Copy(d.scope())
}

func (tr transport) VMs(context.Context) ([]store.VM, error) { return tr.network.vms, nil }

// TestDocumentPropagatesThroughPeers disconnects four of five data centres from the
// table. A document that the fifth accepts must still be in force at all daemons
// within 4 s, and a disconnected daemon must not accept a document.
func TestDocumentPropagatesThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := newFakeTable()
		n := &network{members: map[string]*member.Membership{}, docs: map[string]*Manager{}}
		for i := range 100 {
			id := fmt.Sprintf("vm-%03d", i)
			n.vms = append(n.vms, store.VM{ID: id, Kind: store.KindEntry, DataCentre: fmt.Sprint(i % 5), Address: id, State: store.StateLive})
		}
		links := map[string]*link{}
		for _, vm := range n.vms {
			tr := transport{network: n, from: member.Sender{VM: vm.ID, Instance: vm.ID}}
			tableLink := &link{fakeTable: platform}
			links[vm.ID] = tableLink
			n.mu.Lock()
			members := member.New(ctx, member.Config{VM: vm.ID, Instance: vm.ID, DataCentre: vm.DataCentre, Address: vm.ID},
				member.Deps{List: tr, Peers: tr}, member.WithSeed(uint64(len(links))))
			n.members[vm.ID] = members
			n.docs[vm.ID] = startWith(ctx, Deps{Table: tableLink, Objects: fakeObjects{platform}, Peers: members}, Trial, vm.ID)
			n.mu.Unlock()
		}
		time.Sleep(2 * member.SyncPeriod)
		for _, vm := range n.vms {
			links[vm.ID].cut.Store(vm.DataCentre != "0")
		}
		for revision := int64(1); revision <= 3; revision++ {
			_, err := n.docs["vm-005"].Apply(ctx, submission(fmt.Sprintf("s%d", revision), revision))
			require.NoError(t, err)
			time.Sleep(inForceWithin)
			for id, u := range n.docs {
				inForce, _, _ := u.InForce()
				require.Equal(t, revision, inForce, id)
			}
		}
		_, err := n.docs["vm-001"].Apply(ctx, submission("cut", 4))
		require.Equal(t, code.DocumentStoreDown, code.Of(err))
		require.Equal(t, code.RunNo, code.RunOf(err))
	})
}
