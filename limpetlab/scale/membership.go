package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/keys"
	"github.com/limpetlb/limpetlb/limpetd/keys/certs"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// quickPeriod stands for member.DefaultPeriod, to measure in less time.
	quickPeriod = 20 * time.Millisecond
	// warmPeriods go by before it is measured, in toldPeriods. In these each
	// peer is told each report whole again, and a document once.
	warmPeriods = 40
	toldPeriods = 125
	// slotPeriods is the number of periods after which an engine's slots change.
	slotPeriods = 60
	// readEngines is the number of engines that a daemon reads, rounded up.
	readEngines = (NearEngines + NearDaemons - 1) / NearDaemons
	// models and callers in demand at a daemon.
	demandedModels = 30
	limitedCallers = 10
)

// membership measures what a daemon tells and hears. All connections lead to one
// receiver, so that the process does what one daemon does: send to all near
// peers, and receive from as many.
func membership() []measure {
	near := []int{13, 26, NearDaemons - 1}
	last := map[int]told{}
	holder := map[int]told{}
	first := func(ctx context.Context, n int) (float64, error) {
		t, err := tell(ctx, n, true)
		last[n] = t
		return t.bytes, err
	}
	all := func(ctx context.Context, n int) (float64, error) {
		t, err := tell(ctx, n, false)
		holder[n] = t
		return (t.bytes + last[n].bytes) / 2, err
	}
	return []measure{
		{roleMembership, "told and heard a second", unitBytes, "near daemons", near, near[2], first},
		{roleMembership, "the same of the holder", unitBytes, "near daemons", near, near[2], all},
		{roleMembership, "processor time a second, both ends", unitTime, "near daemons", near, near[2],
			func(_ context.Context, n int) (float64, error) { return last[n].processor, nil }},
		{roleMembership, "heap and stacks, both ends", unitBytes, "near daemons", near, near[2],
			func(_ context.Context, n int) (float64, error) { return last[n].memory, nil }},
	}
}

// told is what a daemon's messages cost in a period.
type told struct {
	bytes, processor, memory float64
}

// sharer has to tell what a daemon of the target size has.
type sharer struct {
	rounds atomic.Int64
}

// Share implements member.ShareProvider.
func (s *sharer) Share() member.Share {
	round := int(s.rounds.Add(1))
	var share member.Share
	for i := range readEngines {
		r := report(i, SlotsPerEngine)
		r.Sequence, r.Fence = int64(round), int64(round/slotPeriods)
		r.Running, r.Waiting, r.WaitingTokens = 40+round%7, round%5, 900+round%300
		share.Loads = append(share.Loads, r)
	}
	for k := range demandedModels {
		share.Demand = append(share.Demand, member.ModelDemand{
			Model: fmt.Sprintf("model-%03d", k), PerSecond: 0.2 + float64(round%17*k)/100,
			TokensPerSecond: 60 + float64(round%13*k), Queued: k % 3,
		})
	}
	for k := range limitedCallers {
		share.Use = append(share.Use, member.CallerUse{Caller: fmt.Sprintf("caller-%02d", k), PerSecond: 0.5 + float64(round%11*k)/100})
	}
	return share
}

// wait returns when some rounds were told.
func (s *sharer) wait(ctx context.Context, rounds int64) error {
	for s.rounds.Load() < rounds {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(quickPeriod / 4):
		}
	}
	return nil
}

// entries is a VM list that does not change.
type entries []store.VM

// VMs implements store.VMList.
func (e entries) VMs(context.Context) ([]store.VM, error) { return e, nil }

// entryList lists near entry VMs of one data centre and all others of six.
func entryList(near, all int) entries {
	var list entries
	for i := range all {
		dc := here
		if i >= near {
			dc = remote(i)
		}
		list = append(list, store.VM{
			ID: fmt.Sprintf("entry-vm-%03d", i), Kind: store.KindEntry, DataCentre: dc, Region: "lima",
			Address: fmt.Sprintf("10.0.%d.%d:8081", i/200, i%200), State: store.StateLive,
		})
	}
	return list
}

// introduce lets a duty hear of all daemons.
func introduce(u *member.Duty, vms entries) {
	var all member.Message
	for _, vm := range vms[1:] {
		all.Daemons = append(all.Daemons, member.Daemon{
			VM: vm.ID, Instance: vm.ID + "-instance", Sequence: 3, DataCentre: vm.DataCentre, Region: vm.Region,
			Address: vm.Address, Revision: 7, Digest: envdoc.Digest(nil), Level: 1, Ready: true,
		})
	}
	u.Receive(member.Sender{VM: vms[1].ID}, all)
}

// listen lets a duty hear the near daemons each second until ctx ends.
func listen(ctx context.Context, u *member.Duty, near entries) {
	for ctx.Err() == nil {
		for _, vm := range near {
			u.Receive(member.Sender{VM: vm.ID}, member.Message{})
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// secrets returns certificates for both ends of a connection.
func secrets(ctx context.Context) (*keys.Duty, error) {
	a, err := certs.NewAuthority()
	if err != nil {
		return nil, err
	}
	certificate, key, err := a.Issue(keys.PeerName)
	if err != nil {
		return nil, err
	}
	c := keys.Config{Certificate: keys.Secret(certificate), Key: keys.Secret(key), Authority: keys.Secret(a.PEM)}
	return keys.New(ctx, c, keys.Deps{})
}

// tell lets one daemon tell near others of all for some periods. Demand goes to
// one of them while it is known which has placed models, else to all.
func tell(ctx context.Context, near int, placed bool) (told, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tls, err := secrets(ctx)
	if err != nil {
		return told{}, err
	}
	vms := entryList(near+1, TargetDaemons)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return told{}, err
	}
	config := peer.Config{Environment: "andesoft/production", VM: vms[0].ID, Instance: "sender"}
	receiver := member.New(ctx, member.Config{VM: vms[1].ID, Instance: "receiver", Address: vms[1].Address},
		member.Deps{List: vms, Peers: mute{}, Receiver: mute{}}, member.WithPeriod(time.Hour), member.WithSeed(1))
	peer.NewServer(ctx, config, l, peer.ServerDeps{TLS: tls.PeerServer(), Members: receiver})
	c := &counter{}
	client := peer.NewClient(ctx, config, peer.ClientDeps{TLS: tls.PeerClient()},
		peer.WithDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", l.Addr().String())
			return counted{conn, c}, err
		}))
	shares, holder := &sharer{}, ""
	if placed {
		holder = vms[1].ID
	}
	sender := member.New(ctx, member.Config{VM: vms[0].ID, Instance: "sender", DataCentre: here, Region: "lima", Address: vms[0].Address},
		member.Deps{List: vms, Peers: client, Shares: shares, Holder: func() string { return holder }},
		member.WithPeriod(quickPeriod), member.WithSeed(1))
	introduce(sender, vms)
	go listen(ctx, sender, vms[1:near+1])
	if err := shares.wait(ctx, warmPeriods); err != nil {
		return told{}, err
	}
	rounds, spent, before := shares.rounds.Load(), processor(), c.bytes.Load()
	sender.Announce(member.Announcement{Revision: 1, Digest: envdoc.Digest(nil)})
	if err := shares.wait(ctx, rounds+toldPeriods); err != nil {
		return told{}, err
	}
	n := float64(shares.rounds.Load() - rounds)
	return told{
		bytes:     2 * float64(c.bytes.Load()-before) / n,
		processor: float64(processor()-spent) / n / float64(time.Microsecond),
		memory:    inUse(),
	}, nil
}

// inUse returns the bytes of heap and stacks in use.
func inUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// mute takes what it is told, and reaches nobody.
type mute struct{}

// errMute is the answer of a daemon that reaches nobody.
var errMute = errors.New("reaches nobody")

// Receive implements member.ShareReceiver.
func (mute) Receive(string, member.Share) {}

// Tell implements member.Transport.
func (mute) Tell(string, member.Message) error { return nil }

// Exchange implements member.Transport.
func (mute) Exchange(context.Context, string, member.Message) (member.Message, error) {
	return member.Message{}, errMute
}

// Document implements member.Transport.
func (mute) Document(context.Context, string) (member.Copy, error) { return member.Copy{}, errMute }

// Holders implements the questions of package reach.
func (mute) Holders(context.Context, string, []envdoc.Slot) ([]engine.Report, error) {
	return nil, errMute
}
