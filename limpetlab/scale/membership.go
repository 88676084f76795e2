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
	// shortPeriod replaces member.DefaultPeriod to shorten the measurement.
	shortPeriod = 20 * time.Millisecond
	// warmupPeriods is the number of periods before the measurement, and
	// measuredPeriods the number of periods that are measured. In these, each peer
	// receives each report in full again, and one announcement of a document.
	warmupPeriods   = 40
	measuredPeriods = 125
	// slotChangePeriods is the number of periods after which an engine's slots
	// change.
	slotChangePeriods = 60
	// enginesPerDaemon is the number of engines whose reports a daemon reads,
	// rounded up.
	enginesPerDaemon = (EnginesPerDataCentre + DaemonsPerDataCentre - 1) / DaemonsPerDataCentre
	// demandedModels is the number of models in demand at a daemon, limitedCallers
	// the number of callers whose use the daemon reports.
	demandedModels = 30
	limitedCallers = 10
)

// membershipMeasures measures the messages that a daemon sends and receives. All
// connections lead to one receiver, so that the process does the work of one
// daemon: it sends to all near peers and receives from as many.
func membershipMeasures() []measure {
	near := []int{13, 26, DaemonsPerDataCentre - 1}
	withHolder := map[int]membershipCost{}
	withoutHolder := map[int]membershipCost{}
	daemonBytes := func(ctx context.Context, n int) (float64, error) {
		cost, err := measureMembership(ctx, n, true)
		withHolder[n] = cost
		return cost.bytes, err
	}
	holderBytes := func(ctx context.Context, n int) (float64, error) {
		cost, err := measureMembership(ctx, n, false)
		withoutHolder[n] = cost
		return (cost.bytes + withHolder[n].bytes) / 2, err
	}
	return []measure{
		{roleMembership, "told and heard a second", unitBytes, "near daemons", near, near[2], daemonBytes},
		{roleMembership, "the same of the holder", unitBytes, "near daemons", near, near[2], holderBytes},
		{roleMembership, "processor time a second, both ends", unitTime, "near daemons", near, near[2],
			func(_ context.Context, n int) (float64, error) { return withHolder[n].cpuTime, nil }},
		{roleMembership, "heap and stacks, both ends", unitBytes, "near daemons", near, near[2],
			func(_ context.Context, n int) (float64, error) { return withHolder[n].memory, nil }},
	}
}

// membershipCost holds what a daemon's messages cost in a period: bytes on the
// wire, processor time in microseconds and memory in bytes.
type membershipCost struct {
	bytes, cpuTime, memory float64
}

// reportProvider provides as many reports, demand and callers' use as a daemon of
// an environment of the target size has.
type reportProvider struct {
	rounds atomic.Int64
}

// DaemonReport implements member.DaemonReportProvider.
func (s *reportProvider) DaemonReport() member.DaemonReport {
	round := int(s.rounds.Add(1))
	var share member.DaemonReport
	for i := range enginesPerDaemon {
		r := newReport(i, SlotsPerEngine)
		r.Sequence, r.Fence = int64(round), int64(round/slotChangePeriods)
		r.Running, r.Waiting, r.WaitingTokens = 40+round%7, round%5, 900+round%300
		share.EngineReports = append(share.EngineReports, r)
	}
	for k := range demandedModels {
		share.Demand = append(share.Demand, member.ModelDemand{
			Model: fmt.Sprintf("model-%03d", k), PerSecond: 0.2 + float64(round%17*k)/100,
			TokensPerSecond: 60 + float64(round%13*k), Queued: k % 3,
		})
	}
	for k := range limitedCallers {
		share.Usage = append(share.Usage, member.CallerUsage{Caller: fmt.Sprintf("caller-%02d", k), PerSecond: 0.5 + float64(round%11*k)/100})
	}
	return share
}

// waitForRounds waits until a number of reports have been provided.
func (s *reportProvider) waitForRounds(ctx context.Context, rounds int64) error {
	for s.rounds.Load() < rounds {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shortPeriod / 4):
		}
	}
	return nil
}

// staticVMList is a VM list that does not change.
type staticVMList []store.VM

// VMs implements store.VMLister.
func (l staticVMList) VMs(context.Context) ([]store.VM, error) { return l, nil }

// entryVMs lists all entry VMs: the first near VMs are in the local data centre,
// the others are spread over six.
func entryVMs(near, all int) staticVMList {
	var list staticVMList
	for i := range all {
		dc := localDataCentre
		if i >= near {
			dc = remoteDataCentre(i)
		}
		list = append(list, store.VM{
			ID: fmt.Sprintf("entry-vm-%03d", i), Kind: store.KindEntry, DataCentre: dc, Region: "lima",
			Address: fmt.Sprintf("10.0.%d.%d:8081", i/200, i%200), State: store.StateLive,
		})
	}
	return list
}

// receiveDaemons delivers a message to membership that lists all daemons.
func receiveDaemons(membership *member.Membership, vms staticVMList) {
	var all member.Message
	for _, vm := range vms[1:] {
		all.Daemons = append(all.Daemons, member.Daemon{
			VM: vm.ID, Instance: vm.ID + "-instance", Sequence: 3, DataCentre: vm.DataCentre, Region: vm.Region,
			Address: vm.Address, Revision: 7, Digest: envdoc.Digest(nil), Level: 1, Ready: true,
		})
	}
	membership.Receive(member.Sender{VM: vms[1].ID}, all)
}

// receiveHeartbeats delivers an empty message of each near daemon to membership each
// second until ctx ends.
func receiveHeartbeats(ctx context.Context, membership *member.Membership, near staticVMList) {
	for ctx.Err() == nil {
		for _, vm := range near {
			membership.Receive(member.Sender{VM: vm.ID}, member.Message{})
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// newPeerKeys returns a certificate and key for both ends of a peer connection.
func newPeerKeys(ctx context.Context) (*keys.Reloader, error) {
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

// measureMembership measures a daemon that sends messages to a number of near
// daemons for measuredPeriods. holderKnown indicates whether the VM of the lease
// holder, which places models, is known: demand then goes to the lease holder only,
// else to all near daemons.
func measureMembership(ctx context.Context, near int, holderKnown bool) (membershipCost, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tls, err := newPeerKeys(ctx)
	if err != nil {
		return membershipCost{}, err
	}
	vms := entryVMs(near+1, TargetDaemons)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return membershipCost{}, err
	}
	config := peer.Config{Environment: "andesoft/production", VM: vms[0].ID, Instance: "sender"}
	receiver := member.New(ctx, member.Config{VM: vms[1].ID, Instance: "receiver", Address: vms[1].Address},
		member.Deps{List: vms, Peers: unreachable{}, Receiver: unreachable{}}, member.WithPeriod(time.Hour), member.WithSeed(1))
	peer.NewServer(ctx, config, l, peer.ServerDeps{TLS: tls.PeerServer(), Members: receiver})
	c := &byteCounter{}
	client := peer.NewClient(ctx, config, peer.ClientDeps{TLS: tls.PeerClient()},
		peer.WithDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", l.Addr().String())
			return countedConn{conn, c}, err
		}))
	reports, holder := &reportProvider{}, ""
	if holderKnown {
		holder = vms[1].ID
	}
	sender := member.New(ctx, member.Config{VM: vms[0].ID, Instance: "sender", DataCentre: localDataCentre, Region: "lima", Address: vms[0].Address},
		member.Deps{List: vms, Peers: client, Reports: reports, LeaseHolder: func() string { return holder }},
		member.WithPeriod(shortPeriod), member.WithSeed(1))
	receiveDaemons(sender, vms)
	go receiveHeartbeats(ctx, sender, vms[1:near+1])
	if err := reports.waitForRounds(ctx, warmupPeriods); err != nil {
		return membershipCost{}, err
	}
	rounds, cpuBefore, bytesBefore := reports.rounds.Load(), processCPUTime(), c.bytes.Load()
	sender.Announce(member.Announcement{Revision: 1, Digest: envdoc.Digest(nil)})
	if err := reports.waitForRounds(ctx, rounds+measuredPeriods); err != nil {
		return membershipCost{}, err
	}
	n := float64(reports.rounds.Load() - rounds)
	return membershipCost{
		bytes:   2 * float64(c.bytes.Load()-bytesBefore) / n,
		cpuTime: float64(processCPUTime()-cpuBefore) / n / float64(time.Microsecond),
		memory:  memoryInUse(),
	}, nil
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// unreachable stands in for peers. It accepts and discards messages, and its calls
// fail.
type unreachable struct{}

// errUnreachable is the error of calls to stand-ins that answer no calls.
var errUnreachable = errors.New("peers and engines are unreachable")

// Receive implements member.DaemonReportReceiver.
func (unreachable) Receive(string, member.DaemonReport) {}

// Send implements member.Transport.
func (unreachable) Send(string, member.Message) error { return nil }

// Exchange implements member.Transport.
func (unreachable) Exchange(context.Context, string, member.Message) (member.Message, error) {
	return member.Message{}, errUnreachable
}

// Document implements member.Transport.
func (unreachable) Document(context.Context, string) (member.DocumentCopy, error) {
	return member.DocumentCopy{}, errUnreachable
}

// QueryHolders implements reach.HoldersClient.
func (unreachable) QueryHolders(context.Context, string, []envdoc.Slot) ([]engine.Report, error) {
	return nil, errUnreachable
}
