package member

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// urgentPause is the least time between two rounds of urgent news.
const urgentPause = 50 * time.Millisecond

// tellPeers tells near peers the state of this daemon each period, and news at
// once.
func (u *Duty) tellPeers(ctx context.Context) error {
	ticker := time.NewTicker(u.period)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			u.tellPeriod(time.Since(last) > 2*u.period)
			last = time.Now()
		case <-u.wake:
			u.tellNews()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(urgentPause):
			}
		}
	}
}

// tellPeriod sends the messages of a period. After a pause of this daemon nobody
// is suspected, since it could not hear.
func (u *Duty) tellPeriod(paused bool) {
	var share Share
	if u.deps.Shares != nil {
		share = u.deps.Shares.Share()
	}
	holder := ""
	if u.deps.Holder != nil {
		holder = u.deps.Holder()
	}
	now := time.Now()
	u.mu.Lock()
	if u.adviseLeaving(share.Loads, now) {
		u.nudge()
	}
	near, _ := u.view.near()
	if paused {
		for _, d := range near {
			u.view.heard[d.VM] = now
		}
	}
	for _, vm := range u.view.suspectSilent(now, near, u.period) {
		u.deps.Scope.Counter("member_suspected").Inc(1)
		u.record(event.MemberSilent, vm)
		u.nudge()
	}
	u.view.forget(now)
	u.spread.holder = holder
	parcels := u.spread.round(u.view, share, now)
	u.deps.Scope.Gauge("member_daemons").Update(float64(u.view.live()))
	u.mu.Unlock()
	u.send(parcels)
}

// tellNews sends fresh news.
func (u *Duty) tellNews() {
	u.mu.Lock()
	parcels := u.spread.urgent(u.view)
	u.mu.Unlock()
	u.send(parcels)
}

// send hands messages to the transport.
func (u *Duty) send(parcels []parcel) {
	for _, p := range parcels {
		if err := u.deps.Peers.Tell(p.address, p.message); err != nil {
			u.deps.Scope.Counter("member_tell_failed").Inc(1)
			u.mu.Lock()
			u.spread.forget(p.vm)
			u.mu.Unlock()
		}
	}
}

// Receive takes a message of a peer.
func (u *Duty) Receive(from Sender, m Message) {
	now := time.Now()
	u.mu.Lock()
	u.view.heard[from.VM] = now
	fresh := u.learn(m)
	share := Share{Demand: m.Demand, Use: m.Use}
	for _, l := range m.Loads {
		if r, ok := u.complete(l); ok {
			share.Loads = append(share.Loads, r)
		}
	}
	fresh = u.adviseLeaving(share.Loads, now) || fresh
	u.wantSync(from, m.View, now)
	u.mu.Unlock()
	if fresh {
		u.nudge()
	}
	if u.deps.Receiver != nil && len(share.Loads)+len(share.Demand)+len(share.Use) > 0 {
		u.deps.Receiver.Receive(from.VM, share)
	}
}

// Exchange takes all that a peer knows and returns all that is known here.
func (u *Duty) Exchange(from Sender, m Message) Message {
	u.mu.Lock()
	u.view.heard[from.VM] = time.Now()
	fresh := u.learn(m)
	answer := u.view.whole(m.Want)
	u.mu.Unlock()
	if fresh {
		u.nudge()
	}
	return answer
}

// learn takes the changes of a message and tells whether any was new.
func (u *Duty) learn(m Message) bool {
	fresh := false
	for _, d := range m.Daemons {
		before, known := u.view.daemons[d.VM]
		if !u.view.learn(d) {
			continue
		}
		fresh = true
		u.notice(before, known, d)
	}
	for _, e := range m.Entries {
		fresh = u.view.learnEntry(e) || fresh
	}
	for _, a := range m.Advice {
		fresh = u.view.learnAdvice(a) || fresh
	}
	if fresh {
		u.vms = nil
	}
	return fresh
}

// notice tells others in this process what is new of a daemon.
func (u *Duty) notice(before Daemon, known bool, d Daemon) {
	if d.VM == u.config.VM {
		return
	}
	switch {
	case d.Leaving && !before.Leaving:
		u.record(event.MemberLeaving, d.VM)
	case !known || before.Instance != d.Instance:
		u.record(event.MemberJoined, d.VM)
	}
	if d.Revision <= u.announced {
		return
	}
	select {
	case old := <-u.newer:
		u.newer <- max(old, d.Revision)
	default:
		u.newer <- d.Revision
	}
}

// complete puts back what a report was sent without.
func (u *Duty) complete(l Load) (report engine.Report, ok bool) {
	if l.Whole {
		u.fixed.note(l)
		return l.Report, true
	}
	known, ok := u.fixed.find(l.Hash)
	if !ok {
		u.deps.Scope.Counter("member_load_unknown").Inc(1)
		return engine.Report{}, false
	}
	return fill(l.Report, known), true
}

// wantSync asks for an exchange with a peer that knows other daemons.
func (u *Duty) wantSync(from Sender, hash uint64, now time.Time) {
	d, ok := u.view.daemons[from.VM]
	if hash == 0 || ok && (hash == u.view.hash() || now.Sub(u.synced) < SyncPeriod) {
		return
	}
	address := d.Address
	if !ok {
		address = u.view.entries[from.VM].VM.Address
	}
	if address == "" {
		return
	}
	select {
	case u.syncs <- address:
		u.synced = now
	default:
	}
}

// syncPeers exchanges all that is known with peers that know other daemons, and
// at first with any peer that answers.
func (u *Duty) syncPeers(ctx context.Context) error {
	ticker := time.NewTicker(u.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case address := <-u.syncs:
			u.exchange(ctx, address)
		case <-ticker.C:
			if address, ok := u.firstContact(); ok {
				u.exchange(ctx, address)
			}
		}
	}
}

// firstContact returns a daemon to ask while none has been heard.
func (u *Duty) firstContact() (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.view.heard) > 0 && len(u.view.daemons) > 1 {
		return "", false
	}
	addresses := slices.DeleteFunc(slices.Clone(u.config.Seeds), func(a string) bool { return a == u.config.Address })
	for id, e := range u.view.entries {
		if id != u.config.VM && !e.Gone && e.VM.Kind == store.KindEntry {
			addresses = append(addresses, e.VM.Address)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	slices.Sort(addresses)
	return addresses[u.random.IntN(len(addresses))], true
}

// exchange exchanges all that is known with a peer.
func (u *Duty) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	u.mu.Lock()
	m := u.view.whole(false)
	m.Want = len(u.view.entries) == 0
	u.mu.Unlock()
	answer, err := u.deps.Peers.Exchange(ctx, address, m)
	if err != nil {
		u.deps.Log.Debug("member_exchange_failed", zap.String("address", address), zap.Error(err))
		return
	}
	u.mu.Lock()
	fresh := u.learn(answer)
	u.mu.Unlock()
	if fresh {
		u.nudge()
	}
}

// readList reads the VM list, more seldom the more daemons do, and sooner when
// it is asked for.
func (u *Duty) readList(ctx context.Context) error {
	for first := true; ; first = false {
		wait := u.stagger(u.readOnce(ctx), first)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(ListPeriod):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait - ListPeriod):
		case <-u.reads:
		}
	}
}

// stagger spreads the reads of daemons over the time between them.
func (u *Duty) stagger(wait time.Duration, first bool) time.Duration {
	u.mu.Lock()
	draw := u.random.Float64()
	u.mu.Unlock()
	if first {
		return time.Duration(float64(wait) * draw)
	}
	return time.Duration(float64(wait) * (0.8 + 0.4*draw))
}

// readOnce reads the list and returns the time to the next read.
func (u *Duty) readOnce(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	list, err := u.deps.List.VMs(ctx)
	if err == nil && len(list) == 0 {
		err = code.Errorf(code.StoreCorrupt, "the VM list is empty")
	}
	if err != nil {
		u.deps.Scope.Counter("member_list_failed").Inc(1)
		u.deps.Log.Debug("member_list_failed", zap.Error(err))
		return ListPeriod
	}
	u.mu.Lock()
	changed := u.view.readList(list, time.Now())
	u.vms = nil
	u.mu.Unlock()
	if changed {
		u.nudge()
	}
	return max(ListPeriod, time.Duration(len(list))*listPeriodEntry)
}

// Document fetches a document newer than after from one of the peers that have
// the newest, chosen at random.
func (u *Duty) Document(ctx context.Context, after int64) (Copy, error) {
	peers := u.Peers()
	u.mu.Lock()
	u.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	u.mu.Unlock()
	slices.SortStableFunc(peers, func(a, b Peer) int { return u.preference(a) - u.preference(b) })
	slices.SortStableFunc(peers, func(a, b Peer) int { return int(b.Revision - a.Revision) })
	err := code.Errorf(code.PeerDown, "no peer has a revision above %d", after)
	for _, p := range peers[:min(len(peers), documentPeers)] {
		if p.Revision <= after {
			break
		}
		var c Copy
		if c, err = u.deps.Peers.Document(ctx, p.Address); err == nil && c.Revision > after {
			return c, nil
		}
	}
	return Copy{}, err
}

// documentPeers is the number of peers that are asked for a document.
const documentPeers = 3

// preference orders peers of the same revision: those of this data centre that
// are heard come first.
func (u *Duty) preference(p Peer) int {
	n := 0
	if p.DataCentre != u.config.DataCentre {
		n++
	}
	if p.Suspect || p.Leaving {
		n += 2
	}
	return n
}
