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

// urgentInterval is the minimum time between two rounds of urgent updates.
const urgentInterval = 50 * time.Millisecond

// sendLoop sends this daemon's state to near peers in each period, and urgent
// updates as soon as they are pending.
func (u *Membership) sendLoop(ctx context.Context) error {
	ticker := time.NewTicker(u.period)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			u.sendPeriodic(time.Since(lastTick) > 2*u.period)
			lastTick = time.Now()
		case <-u.wake:
			u.sendUrgent()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(urgentInterval):
			}
		}
	}
}

// sendPeriodic sends the messages of one period. If this daemon itself was paused
// it received nothing meanwhile, so it restarts the silence timers of its near
// peers instead of suspecting them.
func (u *Membership) sendPeriodic(paused bool) {
	var share DaemonReport
	if u.deps.Reports != nil {
		share = u.deps.Reports.DaemonReport()
	}
	leaseHolder := ""
	if u.deps.LeaseHolder != nil {
		leaseHolder = u.deps.LeaseHolder()
	}
	now := time.Now()
	u.mu.Lock()
	if u.recordLeaving(share.EngineReports, now) {
		u.wakeSender()
	}
	near, _ := u.view.nearAndFar()
	if paused {
		for _, d := range near {
			u.view.lastReceived[d.VM] = now
		}
	}
	for _, vm := range u.view.suspectSilent(now, near, u.period) {
		u.deps.Scope.Counter("member_suspected").Inc(1)
		u.record(event.MemberSilent, vm)
		u.wakeSender()
	}
	u.view.removeExpired(now)
	u.gossip.leaseHolder = leaseHolder
	envelopes := u.gossip.periodic(u.view, share, now)
	u.deps.Scope.Gauge("member_daemons").Update(float64(u.view.countActive()))
	u.mu.Unlock()
	u.send(envelopes)
}

// sendUrgent sends pending updates outside the regular period.
func (u *Membership) sendUrgent() {
	u.mu.Lock()
	envelopes := u.gossip.urgent(u.view)
	u.mu.Unlock()
	u.send(envelopes)
}

// send passes messages to the transport. After an error, this daemon's own state and
// full reports are sent to the peer again.
func (u *Membership) send(envelopes []envelope) {
	for _, e := range envelopes {
		if err := u.deps.Peers.Send(e.address, e.message); err != nil {
			u.deps.Scope.Counter("member_tell_failed").Inc(1)
			u.mu.Lock()
			u.gossip.resendAll(e.vm)
			u.mu.Unlock()
		}
	}
}

// Receive handles a message from a peer.
func (u *Membership) Receive(from Sender, m Message) {
	now := time.Now()
	u.mu.Lock()
	u.view.lastReceived[from.VM] = now
	changed := u.merge(m)
	share := DaemonReport{Demand: m.Demand, Usage: m.Usage}
	for _, l := range m.EngineReports {
		if r, ok := u.restoreReport(l); ok {
			share.EngineReports = append(share.EngineReports, r)
		}
	}
	changed = u.recordLeaving(share.EngineReports, now) || changed
	u.requestSync(from, m.ViewHash, now)
	u.mu.Unlock()
	if changed {
		u.wakeSender()
	}
	if u.deps.Receiver != nil && len(share.EngineReports)+len(share.Demand)+len(share.Usage) > 0 {
		u.deps.Receiver.Receive(from.VM, share)
	}
}

// Exchange merges a peer's full state and returns the full state of this daemon.
func (u *Membership) Exchange(from Sender, m Message) Message {
	u.mu.Lock()
	u.view.lastReceived[from.VM] = time.Now()
	changed := u.merge(m)
	answer := u.view.fullState(m.WantList)
	u.mu.Unlock()
	if changed {
		u.wakeSender()
	}
	return answer
}

// merge applies the changes in a message and reports whether any was new.
func (u *Membership) merge(m Message) bool {
	changed := false
	for _, d := range m.Daemons {
		before, known := u.view.daemons[d.VM]
		if !u.view.mergeDaemon(d) {
			continue
		}
		changed = true
		u.notifyLocal(before, known, d)
	}
	for _, e := range m.Entries {
		changed = u.view.mergeEntry(e) || changed
	}
	for _, a := range m.DrainNotices {
		changed = u.view.mergeDrainNotice(a) || changed
	}
	if changed {
		u.mergedVMs = nil
	}
	return changed
}

// notifyLocal records a peer that joined or is leaving, and delivers a newer document
// revision to NewerRevisions.
func (u *Membership) notifyLocal(before Daemon, known bool, d Daemon) {
	if d.VM == u.config.VM {
		return
	}
	switch {
	case d.Leaving && !before.Leaving:
		u.record(event.MemberLeaving, d.VM)
	case !known || before.Instance != d.Instance:
		u.record(event.MemberJoined, d.VM)
	}
	if d.Revision <= u.announcedRevision {
		return
	}
	select {
	case old := <-u.newerRevision:
		u.newerRevision <- max(old, d.Revision)
	default:
		u.newerRevision <- d.Revision
	}
}

// restoreReport adds the fields that were omitted from a report on the wire. ok is
// false if the full report of this engine has not been received.
func (u *Membership) restoreReport(l EngineReport) (report engine.Report, ok bool) {
	if l.Full {
		u.reports.store(l)
		return l.Report, true
	}
	full, ok := u.reports.lookup(l.Hash)
	if !ok {
		u.deps.Scope.Counter("member_load_unknown").Inc(1)
		return engine.Report{}, false
	}
	return restoreStable(l.Report, full), true
}

// requestSync schedules a full exchange with a peer whose view differs from this
// daemon's, at most once per SyncPeriod; without that limit for a peer whose state
// has not been received.
func (u *Membership) requestSync(from Sender, hash uint64, now time.Time) {
	d, ok := u.view.daemons[from.VM]
	if hash == 0 || ok && (hash == u.view.hash() || now.Sub(u.lastSync) < SyncPeriod) {
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
	case u.syncAddress <- address:
		u.lastSync = now
	default:
	}
}

// syncLoop exchanges the full state with peers whose views differ and, until a peer
// has been contacted, with any peer that answers.
func (u *Membership) syncLoop(ctx context.Context) error {
	ticker := time.NewTicker(u.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case address := <-u.syncAddress:
			u.syncWith(ctx, address)
		case <-ticker.C:
			if address, ok := u.bootstrapAddress(); ok {
				u.syncWith(ctx, address)
			}
		}
	}
}

// bootstrapAddress returns the address of a random seed or listed daemon to contact. The
// result is false if no address is known, or once the state of another daemon is known
// and lastReceived has an entry.
func (u *Membership) bootstrapAddress() (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.view.lastReceived) > 0 && len(u.view.daemons) > 1 {
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

// syncWith exchanges the full state with a peer.
func (u *Membership) syncWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	u.mu.Lock()
	m := u.view.fullState(false)
	m.WantList = len(u.view.entries) == 0
	u.mu.Unlock()
	answer, err := u.deps.Peers.Exchange(ctx, address, m)
	if err != nil {
		u.deps.Log.Debug("member_exchange_failed", zap.String("address", address), zap.Error(err))
		return
	}
	u.mu.Lock()
	changed := u.merge(answer)
	u.mu.Unlock()
	if changed {
		u.wakeSender()
	}
}

// readListLoop reads the VM list periodically, and earlier on request. The interval
// grows with the size of the list.
func (u *Membership) readListLoop(ctx context.Context) error {
	for first := true; ; first = false {
		wait := u.jitter(u.readList(ctx), first)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(ListPeriod):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait - ListPeriod):
		case <-u.earlyRead:
		}
	}
}

// jitter randomizes the wait between two reads so that the reads of different daemons
// are spread over time: by 20 % in both directions or, for the first wait, between 0 and
// the whole wait.
func (u *Membership) jitter(wait time.Duration, first bool) time.Duration {
	u.mu.Lock()
	draw := u.random.Float64()
	u.mu.Unlock()
	if first {
		return time.Duration(float64(wait) * draw)
	}
	return time.Duration(float64(wait) * (0.8 + 0.4*draw))
}

// readList reads the VM list once and returns the time until the next read.
func (u *Membership) readList(ctx context.Context) time.Duration {
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
	changed := u.view.applyList(list, time.Now())
	u.mergedVMs = nil
	u.mu.Unlock()
	if changed {
		u.wakeSender()
	}
	return max(ListPeriod, time.Duration(len(list))*listPeriodPerVM)
}

// Document fetches a document newer than after. It tries up to maxDocumentPeers
// peers with the newest revisions, in random order among equally suitable ones.
func (u *Membership) Document(ctx context.Context, after int64) (DocumentCopy, error) {
	peers := u.Peers()
	u.mu.Lock()
	u.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	u.mu.Unlock()
	slices.SortStableFunc(peers, func(a, b Peer) int { return u.sourceRank(a) - u.sourceRank(b) })
	slices.SortStableFunc(peers, func(a, b Peer) int { return int(b.Revision - a.Revision) })
	err := code.Errorf(code.PeerDown, "no peer has a revision above %d", after)
	for _, p := range peers[:min(len(peers), maxDocumentPeers)] {
		if p.Revision <= after {
			break
		}
		var c DocumentCopy
		if c, err = u.deps.Peers.Document(ctx, p.Address); err == nil && c.Revision > after {
			return c, nil
		}
	}
	return DocumentCopy{}, err
}

// maxDocumentPeers limits how many peers are asked for a document.
const maxDocumentPeers = 3

// sourceRank orders peers with the same revision as sources of a document, best
// first: available peers before suspected or leaving ones, then those of this data
// centre.
func (u *Membership) sourceRank(p Peer) int {
	rank := 0
	if p.DataCentre != u.config.DataCentre {
		rank++
	}
	if p.Suspect || p.Leaving {
		rank += 2
	}
	return rank
}
