package member

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/store"
)

// view is what a daemon knows of the others. It is a pure state: the duty feeds
// it with messages and times.
type view struct {
	self    Daemon
	daemons map[string]Daemon
	entries map[string]Entry
	advice  map[string]Advice
	// heard is when a daemon was last heard directly.
	heard map[string]time.Time
	// absent is since when this daemon's own reads of the list lack a VM, and
	// read when it read the list last.
	absent map[string]time.Time
	read   time.Time
	// denied is when an own read last contradicted that a VM is gone.
	denied map[string]time.Time
	// news is what has to be passed on.
	news []news
	// fresh means that sum, nearby, distant and far are those of the present.
	fresh   bool
	sum     uint64
	nearby  []Daemon
	distant []Daemon
	far     []Peer
}

// news is a change that is repeated in a few periods. Only one of daemon, entry
// and advice is set, to the id of the VM.
type news struct {
	daemon string
	entry  string
	advice string
	left   int
	// own is news that this daemon found itself: all near peers are told.
	own bool
}

// newView returns a view that knows only this daemon.
func newView(self Daemon) *view {
	v := &view{
		self:    self,
		daemons: map[string]Daemon{self.VM: self}, entries: map[string]Entry{}, advice: map[string]Advice{},
		heard: map[string]time.Time{}, absent: map[string]time.Time{}, denied: map[string]time.Time{},
	}
	return v
}

// update changes this daemon's own state and makes it news.
func (v *view) update(change func(*Daemon)) {
	change(&v.self)
	v.self.Sequence++
	v.self.Suspect = false
	v.daemons[v.self.VM] = v.self
	v.tell(news{daemon: v.self.VM, own: true})
}

// tell makes a change news, in place of older news of the same.
func (v *view) tell(n news) {
	n.left = relayPeriods
	v.fresh = false
	same := func(o news) bool { return o.daemon == n.daemon && o.entry == n.entry && o.advice == n.advice }
	v.news = append(slices.DeleteFunc(v.news, same), n)
}

// newer tells whether state b replaces state a.
func newer(a, b Daemon) bool {
	if a.Instance != b.Instance {
		return b.Started > a.Started || (b.Started == a.Started && b.Instance > a.Instance)
	}
	if a.Sequence != b.Sequence {
		return b.Sequence > a.Sequence
	}
	return b.Suspect && !a.Suspect
}

// learn takes the state of a daemon and tells whether it was new.
func (v *view) learn(d Daemon) bool {
	if d.VM == v.self.VM {
		return v.refute(d)
	}
	known, ok := v.daemons[d.VM]
	if ok && !newer(known, d) {
		return false
	}
	v.daemons[d.VM] = d
	v.tell(news{daemon: d.VM})
	return true
}

// note is learn for what this daemon found itself.
func (v *view) note(d Daemon) bool {
	if !v.learn(d) {
		return false
	}
	v.tell(news{daemon: d.VM, own: true})
	return true
}

// refute answers what others say of this daemon.
func (v *view) refute(d Daemon) bool {
	if d.Instance != v.self.Instance || !d.Suspect || d.Sequence < v.self.Sequence {
		return false
	}
	v.self.Sequence = d.Sequence
	v.update(func(*Daemon) {})
	return true
}

// learnEntry takes a change of the VM list that a peer read.
func (v *view) learnEntry(e Entry) bool {
	known, ok := v.entries[e.VM.ID]
	if ok && known.rank() >= e.rank() {
		return false
	}
	if e.Gone && (!ok || v.denies(e.VM.ID)) {
		return false
	}
	v.entries[e.VM.ID] = e
	v.tell(news{entry: e.VM.ID})
	return true
}

// learnAdvice takes what was seen of a VM.
func (v *view) learnAdvice(a Advice) bool {
	known, ok := v.advice[a.VM]
	if ok && (known.At >= a.At || known.Leaving == a.Leaving) {
		return false
	}
	v.advice[a.VM] = a
	v.tell(news{advice: a.VM})
	return true
}

// advise notes what this daemon saw of a VM itself, and tells whether it is new.
func (v *view) advise(vm string, leaving bool, now time.Time) bool {
	known := v.advice[vm]
	if !v.learnAdvice(Advice{VM: vm, Leaving: leaving, At: max(now.UnixMilli(), known.At+1)}) {
		return false
	}
	v.tell(news{advice: vm, own: true})
	return true
}

// readList takes a list that this daemon read itself. Its own reads replace
// whatever peers told.
func (v *view) readList(list []store.VM, now time.Time) bool {
	changed := false
	v.read = now
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		delete(v.absent, vm.ID)
		changed = v.listed(Entry{VM: vm}) || changed
	}
	for id, e := range v.entries {
		if !listed[id] && !e.Gone {
			changed = v.listed(Entry{VM: e.VM, Gone: true}) || changed
		}
	}
	for id := range v.absent {
		if listed[id] {
			delete(v.absent, id)
		}
	}
	for id := range v.denied {
		if !listed[id] {
			delete(v.denied, id)
		}
	}
	for id := range v.entries {
		v.miss(id, listed, now)
	}
	for id := range v.daemons {
		v.miss(id, listed, now)
	}
	return changed
}

// listed notes an entry of this daemon's own read.
func (v *view) listed(e Entry) bool {
	known, ok := v.entries[e.VM.ID]
	v.entries[e.VM.ID] = e
	if known.Gone && !e.Gone {
		v.denied[e.VM.ID] = v.read
	}
	if ok && known.VM == e.VM && known.Gone == e.Gone {
		return false
	}
	v.tell(news{entry: e.VM.ID, own: true})
	return true
}

// denies tells whether an own read contradicted lately that a VM is gone. Without
// it, daemons that have read the list again would learn the error anew from those
// that have not.
func (v *view) denies(vm string) bool {
	at, ok := v.denied[vm]
	return ok && v.read.Sub(at) < denyFor
}

// miss notes since when a VM is not listed.
func (v *view) miss(id string, listed map[string]bool, now time.Time) {
	if _, ok := v.absent[id]; !ok && !listed[id] {
		v.absent[id] = now
	}
}

// gone tells whether this daemon's own reads of the list have lacked a VM, and
// the VM was not heard, for the lifetime of its connections.
func (v *view) gone(vm string, lifetime time.Duration, now time.Time) bool {
	since, ok := v.absent[vm]
	if !ok {
		if _, known := v.entries[vm]; !v.read.IsZero() && !known {
			v.absent[vm] = v.read
		}
		return false
	}
	if heard := v.heard[vm]; heard.After(since) {
		since = heard
	}
	least := max(lifetime, ListLag)
	return vm != v.self.VM && now.Sub(since) >= least && v.read.Sub(since) >= least
}

// suspectSilent suspects near daemons that were not heard, and returns the VMs
// of those that were not suspected before.
func (v *view) suspectSilent(now time.Time, near []Daemon, period time.Duration) []string {
	var found []string
	silent := max(SilentAfter, 3*period*time.Duration(turnsOf(len(near))))
	for _, d := range near {
		if _, ok := v.heard[d.VM]; !ok {
			v.heard[d.VM] = now
		}
		if d.Suspect || d.Instance == "" || now.Sub(v.heard[d.VM]) < silent {
			continue
		}
		d.Suspect = true
		if v.note(d) {
			found = append(found, d.VM)
		}
	}
	return found
}

// forget drops daemons and VMs that have been gone for long.
func (v *view) forget(now time.Time) {
	for id, since := range v.absent {
		if id == v.self.VM || now.Sub(since) < 10*ListLag || now.Sub(v.heard[id]) < 10*ListLag {
			continue
		}
		delete(v.daemons, id)
		delete(v.entries, id)
		delete(v.advice, id)
		delete(v.heard, id)
		delete(v.absent, id)
		v.fresh = false
	}
}

// refresh renews what is derived from the states.
func (v *view) refresh() {
	if v.fresh {
		return
	}
	v.fresh = true
	v.sum = v.hashStates()
	v.nearby, v.distant = v.divide()
	v.far = reachable(v.distant)
}

// hash identifies the daemon states of the view.
func (v *view) hash() uint64 {
	v.refresh()
	return v.sum
}

// near returns the daemons that are told each period, and far the others. Those
// that the list shows and nobody heard of yet have no instance. The caller must
// not change them.
func (v *view) near() (near, far []Daemon) {
	v.refresh()
	return v.nearby, v.distant
}

// hashStates computes hash.
func (v *view) hashStates() uint64 {
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

// peers returns the other daemons that are not gone, in the order of VMs.
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

// departed tells whether a daemon is known to be no more: the list dropped its
// VM and the daemon is leaving or silent.
func (v *view) departed(id string) bool {
	e, ok := v.entries[id]
	d := v.daemons[id]
	return ok && e.Gone && (d.Leaving || d.Suspect)
}

// divide computes near.
func (v *view) divide() (near, far []Daemon) {
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

// vms returns the VM list with what peers told sooner, in the order of ids. A VM
// that only peers found missing is leaving until this daemon's own read lacks it.
func (v *view) vms() []store.VM {
	var vms []store.VM
	for id, e := range v.entries {
		if _, absent := v.absent[id]; e.Gone && absent {
			continue
		}
		vm := e.VM
		if e.Gone || v.daemons[id].Leaving || v.advice[id].Leaving {
			vm.State = store.StateLeaving
		}
		vms = append(vms, vm)
	}
	for id, d := range v.daemons {
		if _, ok := v.entries[id]; !ok {
			vms = append(vms, unlisted(d))
		}
	}
	slices.SortFunc(vms, func(a, b store.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// unlisted is the VM of a daemon that the list does not show yet.
func unlisted(d Daemon) store.VM {
	vm := store.VM{
		ID: d.VM, Kind: store.KindEntry, DataCentre: d.DataCentre, Region: d.Region,
		Address: d.Address, State: store.StateLive,
	}
	if d.Leaving {
		vm.State = store.StateLeaving
	}
	return vm
}
