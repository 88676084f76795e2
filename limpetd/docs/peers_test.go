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

// hub joins the member duties of daemons.
type hub struct {
	mu      sync.Mutex
	members map[string]*member.Duty
	docs    map[string]*Duty
	vms     []store.VM
}

// wire is the way of one daemon into the hub.
type wire struct {
	hub  *hub
	from member.Sender
}

var _ member.Transport = wire{}

func (w wire) to(address string) (*member.Duty, *Duty) {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	return w.hub.members[address], w.hub.docs[address]
}

func (w wire) Tell(address string, m member.Message) error {
	u, _ := w.to(address)
	if u != nil {
		time.AfterFunc(time.Millisecond, func() { u.Receive(w.from, m) })
	}
	return nil
}

func (w wire) Exchange(_ context.Context, address string, m member.Message) (member.Message, error) {
	u, _ := w.to(address)
	if u == nil {
		return member.Message{}, code.Errorf(code.PeerDown, "%s", address)
	}
	return u.Exchange(w.from, m), nil
}

func (w wire) Document(_ context.Context, address string) (member.Copy, error) {
	_, d := w.to(address)
	if d == nil {
		return member.Copy{}, code.Errorf(code.PeerDown, "%s", address)
	}
	return d.Copy(d.scope())
}

func (w wire) VMs(context.Context) ([]store.VM, error) { return w.hub.vms, nil }

// TestInForceThroughPeers lets four of five data centres lose the platform: a
// document that the fifth accepts is in force everywhere within 4 s all the
// same, and the cut off ones refuse to accept any.
func TestInForceThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := newTable()
		h := &hub{members: map[string]*member.Duty{}, docs: map[string]*Duty{}}
		for i := range 100 {
			id := fmt.Sprintf("vm-%03d", i)
			h.vms = append(h.vms, store.VM{ID: id, Kind: store.KindEntry, DataCentre: fmt.Sprint(i % 5), Address: id, State: store.StateLive})
		}
		ways := map[string]*link{}
		for _, vm := range h.vms {
			w := wire{hub: h, from: member.Sender{VM: vm.ID, Instance: vm.ID}}
			way := &link{table: platform}
			ways[vm.ID] = way
			h.mu.Lock()
			members := member.New(ctx, member.Config{VM: vm.ID, Instance: vm.ID, DataCentre: vm.DataCentre, Address: vm.ID},
				member.Deps{List: w, Peers: w}, member.WithSeed(uint64(len(ways))))
			h.members[vm.ID] = members
			h.docs[vm.ID] = startWith(ctx, Deps{Table: way, Objects: objects{platform}, Peers: members}, Trial, vm.ID)
			h.mu.Unlock()
		}
		time.Sleep(2 * member.SyncPeriod)
		for _, vm := range h.vms {
			ways[vm.ID].cut.Store(vm.DataCentre != "0")
		}
		for revision := int64(1); revision <= 3; revision++ {
			_, err := h.docs["vm-005"].Apply(ctx, submission(fmt.Sprintf("s%d", revision), revision))
			require.NoError(t, err)
			time.Sleep(inForceWithin)
			for id, u := range h.docs {
				held, _, _ := u.InForce()
				require.Equal(t, revision, held, id)
			}
		}
		_, err := h.docs["vm-001"].Apply(ctx, submission("cut", 4))
		require.Equal(t, code.DocumentStoreDown, code.Of(err))
		require.Equal(t, code.RunNo, code.RunOf(err))
	})
}
