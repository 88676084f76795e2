package member

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/store"
)

// view is a daemon's current knowledge of the environment. It does no I/O and reads
// no clock: the Membership passes in messages and times.
type view struct {
	self         Daemon
	daemons      map[string]Daemon
	entries      map[string]Entry
	drainNotices map[string]DrainNotice
	// lastReceived is when the last message arrived directly from a daemon or, if that
	// is later, when the silence timer of the daemon was (re)started.
	lastReceived map[string]time.Time
	// absentSince is the time since which this daemon's own reads of the list
	// have lacked a VM; lastRead is the time of the last read.
	absentSince map[string]time.Time
	lastRead    time.Time
	// relisted is when a read by this daemon last contained a VM that was
	// recorded as gone.
	relisted map[string]time.Time
	// updates are the changes that are still to be sent to peers.
	updates []update
	// derivedValid is whether stateHash, nearPeers, farPeers and reachableFar
	// match the current states.
	derivedValid bool
	stateHash    uint64
	nearPeers    []Daemon
	farPeers     []Daemon
	reachableFar []Peer
}

// update is a change that is sent repeatedly for several periods. Exactly one of
// daemon, entry and drainNotice is set; it holds the id of the VM.
type update struct {
	daemon      string
	entry       string
	drainNotice string
	periodsLeft int
	// local marks a change that this daemon detected itself. It is sent to all
	// near peers.
	local bool
}

// newView returns a view that contains only this daemon.
func newView(self Daemon) *view {
	v := &view{
		self:    self,
		daemons: map[string]Daemon{self.VM: self}, entries: map[string]Entry{}, drainNotices: map[string]DrainNotice{},
		lastReceived: map[string]time.Time{}, absentSince: map[string]time.Time{}, relisted: map[string]time.Time{},
	}
	return v
}

// updateSelf applies a change to this daemon's own state, advances the sequence and
// queues the new state for sending.
func (v *view) updateSelf(change func(*Daemon)) {
	change(&v.self)
	v.self.Sequence++
	v.self.Suspect = false
	v.daemons[v.self.VM] = v.self
	v.enqueue(update{daemon: v.self.VM, local: true})
}

// enqueue queues a change for sending, replacing an older change of the same state.
func (v *view) enqueue(u update) {
	u.periodsLeft = relayPeriods
	v.derivedValid = false
	sameSubject := func(o update) bool {
		return o.daemon == u.daemon && o.entry == u.entry && o.drainNotice == u.drainNotice
	}
	v.updates = append(slices.DeleteFunc(v.updates, sameSubject), u)
}

// supersedes reports whether state b replaces state a.
func supersedes(a, b Daemon) bool {
	if a.Instance != b.Instance {
		return b.Started > a.Started || (b.Started == a.Started && b.Instance > a.Instance)
	}
	if a.Sequence != b.Sequence {
		return b.Sequence > a.Sequence
	}
	return b.Suspect && !a.Suspect
}

// mergeDaemon applies a daemon's state and reports whether it was new.
func (v *view) mergeDaemon(d Daemon) bool {
	if d.VM == v.self.VM {
		return v.refute(d)
	}
	current, ok := v.daemons[d.VM]
	if ok && !supersedes(current, d) {
		return false
	}
	v.daemons[d.VM] = d
	v.enqueue(update{daemon: d.VM})
	return true
}

// mergeLocal is mergeDaemon for a change that this daemon detected itself.
func (v *view) mergeLocal(d Daemon) bool {
	if !v.mergeDaemon(d) {
		return false
	}
	v.enqueue(update{daemon: d.VM, local: true})
	return true
}

// refute checks a state of this daemon that a peer sent. If it marks this instance
// as suspected, refute advances this daemon's sequence past the received one
// and returns true.
func (v *view) refute(d Daemon) bool {
	if d.Instance != v.self.Instance || !d.Suspect || d.Sequence < v.self.Sequence {
		return false
	}
	v.self.Sequence = d.Sequence
	v.updateSelf(func(*Daemon) {})
	return true
}

// mergeEntry applies a change of the VM list that a peer read, and reports whether
// it was new.
func (v *view) mergeEntry(e Entry) bool {
	current, ok := v.entries[e.VM.ID]
	if ok && current.rank() >= e.rank() {
		return false
	}
	if e.Gone && (!ok || v.recentlyRelisted(e.VM.ID)) {
		return false
	}
	v.entries[e.VM.ID] = e
	v.enqueue(update{entry: e.VM.ID})
	return true
}

// mergeDrainNotice applies a notice and reports whether it changed the state of the VM.
func (v *view) mergeDrainNotice(a DrainNotice) bool {
	current, ok := v.drainNotices[a.VM]
	if ok && (current.At >= a.At || current.Leaving == a.Leaving) {
		return false
	}
	v.drainNotices[a.VM] = a
	v.enqueue(update{drainNotice: a.VM})
	return true
}

// recordDrainNotice records this daemon's own observation that a VM is leaving or staying,
// and reports whether the view changed.
func (v *view) recordDrainNotice(vm string, leaving bool, now time.Time) bool {
	current := v.drainNotices[vm]
	if !v.mergeDrainNotice(DrainNotice{VM: vm, Leaving: leaving, At: max(now.UnixMilli(), current.At+1)}) {
		return false
	}
	v.enqueue(update{drainNotice: vm, local: true})
	return true
}

// applyList applies a VM list that this daemon read itself and reports whether
// anything changed. This daemon's reads override what peers reported.
func (v *view) applyList(list []store.VM, now time.Time) bool {
	changed := false
	v.lastRead = now
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		delete(v.absentSince, vm.ID)
		changed = v.applyEntry(Entry{VM: vm}) || changed
	}
	for id, e := range v.entries {
		if !listed[id] && !e.Gone {
			changed = v.applyEntry(Entry{VM: e.VM, Gone: true}) || changed
		}
	}
	for id := range v.absentSince {
		if listed[id] {
			delete(v.absentSince, id)
		}
	}
	for id := range v.relisted {
		if !listed[id] {
			delete(v.relisted, id)
		}
	}
	for id := range v.entries {
		v.recordAbsence(id, listed, now)
	}
	for id := range v.daemons {
		v.recordAbsence(id, listed, now)
	}
	return changed
}

// applyEntry stores an entry from this daemon's own read and reports whether it
// changed.
func (v *view) applyEntry(e Entry) bool {
	current, ok := v.entries[e.VM.ID]
	v.entries[e.VM.ID] = e
	if current.Gone && !e.Gone {
		v.relisted[e.VM.ID] = v.lastRead
	}
	if ok && current.VM == e.VM && current.Gone == e.Gone {
		return false
	}
	v.enqueue(update{entry: e.VM.ID, local: true})
	return true
}

// recentlyRelisted reports whether a read by this daemon has recently contradicted
// that a VM is gone. Without this check, daemons that have read the list again would accept
// the error again from those that have not.
func (v *view) recentlyRelisted(vm string) bool {
	at, ok := v.relisted[vm]
	return ok && v.lastRead.Sub(at) < relistedPeriod
}

// recordAbsence records the time at which a VM was first missing from the list.
func (v *view) recordAbsence(id string, listed map[string]bool, now time.Time) {
	if _, ok := v.absentSince[id]; !ok && !listed[id] {
		v.absentSince[id] = now
	}
}

// gone reports whether a VM has been missing from this daemon's own reads of the
// list, and silent, for the lifetime of its connections and at least ListLag.
func (v *view) gone(vm string, lifetime time.Duration, now time.Time) bool {
	since, ok := v.absentSince[vm]
	if !ok {
		if _, hasEntry := v.entries[vm]; !v.lastRead.IsZero() && !hasEntry {
			v.absentSince[vm] = v.lastRead
		}
		return false
	}
	if received := v.lastReceived[vm]; received.After(since) {
		since = received
	}
	threshold := max(lifetime, ListLag)
	return vm != v.self.VM && now.Sub(since) >= threshold && v.lastRead.Sub(since) >= threshold
}

// suspectSilent marks near daemons as suspected that have been silent for too long,
// and returns the VMs of those newly suspected.
func (v *view) suspectSilent(now time.Time, near []Daemon, period time.Duration) []string {
	var suspected []string
	limit := max(SilentAfter, 3*period*time.Duration(periodsPerTurn(len(near))))
	for _, d := range near {
		if _, ok := v.lastReceived[d.VM]; !ok {
			v.lastReceived[d.VM] = now
		}
		if d.Suspect || d.Instance == "" || now.Sub(v.lastReceived[d.VM]) < limit {
			continue
		}
		d.Suspect = true
		if v.mergeLocal(d) {
			suspected = append(suspected, d.VM)
		}
	}
	return suspected
}

// removeExpired removes the state of VMs that have been absent from the list, and
// silent, for 10 times ListLag.
func (v *view) removeExpired(now time.Time) {
	for id, since := range v.absentSince {
		if id == v.self.VM || now.Sub(since) < 10*ListLag || now.Sub(v.lastReceived[id]) < 10*ListLag {
			continue
		}
		delete(v.daemons, id)
		delete(v.entries, id)
		delete(v.drainNotices, id)
		delete(v.lastReceived, id)
		delete(v.absentSince, id)
		v.derivedValid = false
	}
}

// refresh recomputes the derived fields if the states have changed.
func (v *view) refresh() {
	if v.derivedValid {
		return
	}
	v.derivedValid = true
	v.stateHash = v.computeHash()
	v.nearPeers, v.farPeers = v.splitPeers()
	v.reachableFar = reachablePeers(v.farPeers)
}

// hash returns a hash of all daemon states in the view.
func (v *view) hash() uint64 {
	v.refresh()
	return v.stateHash
}

// nearAndFar returns the daemons that receive messages in each period, and the
// remaining ones. Daemons on listed VMs from which no state has been received have
// an empty Instance. The caller must not modify the slices.
func (v *view) nearAndFar() (near, far []Daemon) {
	v.refresh()
	return v.nearPeers, v.farPeers
}

// computeHash hashes the VM, instance, sequence and suspicion of every daemon state. The
// hash does not depend on the order of the states.
func (v *view) computeHash() uint64 {
	var sum uint64
	var buffer [128]byte
	for _, d := range v.daemons {
		b := append(buffer[:0], d.VM...)
		b = append(b, d.Instance...)
		b = binary.LittleEndian.AppendUint64(b, uint64(d.Sequence))
		if d.Suspect {
			b = append(b, 1)
		}
		sum ^= xxhash.Sum64(b)
	}
	return sum
}

// peers returns the other daemons that have not departed, sorted by VM.
func (v *view) peers() []Daemon {
	var peers []Daemon
	for id, d := range v.daemons {
		if id == v.self.VM || v.departed(id) {
			continue
		}
		peers = append(peers, d)
	}
	slices.SortFunc(peers, func(a, b Daemon) int { return strings.Compare(a.VM, b.VM) })
	return peers
}

// departed reports whether a daemon has ended for good: its VM is gone from the
// list and the daemon is leaving or suspected.
func (v *view) departed(id string) bool {
	e, ok := v.entries[id]
	d := v.daemons[id]
	return ok && e.Gone && (d.Leaving || d.Suspect)
}

// splitPeers divides the other daemons into near and far ones.
func (v *view) splitPeers() (near, far []Daemon) {
	all := v.peers()
	for id, e := range v.entries {
		if _, ok := v.daemons[id]; !ok && !e.Gone && e.VM.Kind == store.KindEntry {
			all = append(all, Daemon{VM: id, DataCentre: e.VM.DataCentre, Region: e.VM.Region, Address: e.VM.Address})
		}
	}
	slices.SortFunc(all, func(a, b Daemon) int { return strings.Compare(a.VM, b.VM) })
	if len(all) < MeshSize {
		return all, nil
	}
	for _, d := range all {
		if d.DataCentre == v.self.DataCentre {
			near = append(near, d)
		} else {
			far = append(far, d)
		}
	}
	return near, far
}
