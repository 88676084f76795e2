package member

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Daemon is a daemon's description of its own state, as relayed by other daemons.
type Daemon struct {
	VM string
	// Instance identifies the process; it changes with each restart on a VM.
	Instance string
	// Sequence increases with each change that the daemon makes to its state. Of
	// two states of an instance, the one with the higher sequence wins.
	Sequence int64
	// Started is when the instance started, in milliseconds since 1970. Of two
	// instances on a VM, the later one wins.
	Started    int64
	DataCentre string
	Region     string
	// Address is the host:port of the peer interface.
	Address string
	// Revision and Digest identify the document in force; Revision is 0 if there
	// is none.
	Revision int64
	Digest   string
	// Level is the feature level of the daemon.
	Level int
	// Refused is the reason why the daemon rejects a newer document; OK if it
	// rejects none.
	Refused code.Code
	Leaving bool
	Ready   bool
	// Suspect marks a daemon from which others receive no messages. The daemon
	// itself refutes the suspicion with a higher sequence.
	Suspect bool
}

// Entry is a change of the VM list that a daemon read. Ids are never reused and a
// VM only moves from live to leaving to gone, so the later state wins regardless of
// clocks.
type Entry struct {
	VM store.VM
	// Gone means that the VM is no longer listed.
	Gone bool
}

// rank orders the states of a VM by their place in its life cycle.
func (e Entry) rank() int {
	switch {
	case e.Gone:
		return 2
	case e.VM.State == store.StateLeaving:
		return 1
	default:
		return 0
	}
}

// DrainNotice announces, ahead of the VM list, that a VM without a daemon is leaving, or
// that it stays after all.
type DrainNotice struct {
	VM      string
	Leaving bool
	// At is when this was observed, in milliseconds since 1970, and always later
	// than the At of the notice that it replaces; the latest notice wins.
	At int64
}

// EngineReport is an engine's report as sent between peers. VM, instance, memory, batch
// limit, role, fence and slots are omitted while they are unchanged.
type EngineReport struct {
	Report engine.Report
	// Hash identifies the engine and the values of these fields.
	Hash uint64
	// Full means that Report includes these fields.
	Full bool
}

// Sender identifies the daemon that sent a message.
type Sender struct {
	VM       string
	Instance string
}

// Message carries state between daemons. A field is empty if nothing in it has changed
// or is due in this message.
type Message struct {
	// ViewHash is a hash of the sender's daemon states; 0 means that it is not
	// included.
	ViewHash uint64
	// WantList requests the VM list in the answer to an exchange.
	WantList      bool
	Daemons       []Daemon
	Entries       []Entry
	DrainNotices  []DrainNotice
	EngineReports []EngineReport
	Demand        []ModelDemand
	Usage         []CallerUsage
}

// DocumentCopy is a document fetched from a peer.
type DocumentCopy struct {
	Revision int64
	Digest   string
	Body     []byte
}

// Transport connects to the memberships of other daemons of the environment.
type Transport interface {
	// Send queues m for a peer without waiting. Messages to a peer arrive in
	// order. After an error, any of the messages sent to the peer may have been
	// lost.
	Send(address string, m Message) error
	// Exchange sends m and returns the peer's full state.
	Exchange(ctx context.Context, address string, m Message) (Message, error)
	// Document fetches the document that is in force at the peer.
	Document(ctx context.Context, address string) (DocumentCopy, error)
}

// Peer describes another daemon, according to this daemon's view.
type Peer struct {
	VM         string
	Instance   string
	DataCentre string
	Region     string
	Address    string
	Revision   int64
	Digest     string
	Level      int
	Refused    code.Code
	Leaving    bool
	Ready      bool
	// Suspect means that no message from the daemon has arrived recently.
	Suspect bool
}

// Announcement is the state of this daemon's document, for sending to other daemons.
type Announcement struct {
	Revision int64
	Digest   string
	Refused  code.Code
}

// Periods, timeouts and size limits.
const (
	// DefaultPeriod is the time between two messages to a near peer.
	DefaultPeriod = time.Second
	// MeshSize is the number of daemons up to which all daemons are near. In a
	// larger environment, only those of the same data centre are.
	MeshSize = 64
	// SilentAfter is how long a near peer may be silent before it is suspected.
	// In a large environment the limit is three turns if that is longer.
	SilentAfter = 4 * time.Second
	// SyncPeriod is the minimum time between two exchanges of the full state.
	SyncPeriod = 30 * time.Second
	// ListPeriod is the minimum time between two reads of the VM list by a
	// daemon. The interval grows by listPeriodPerVM with each VM of the list, so
	// that the total rate of reads stays low in a large environment: all daemons
	// relay what they read.
	ListPeriod      = 2 * time.Second
	listPeriodPerVM = 200 * time.Millisecond
	// ListLag is the maximum time by which the VM list lags.
	ListLag = time.Minute
	// relistedPeriod is how long reports from peers that a VM is gone are ignored
	// after a read by this daemon has listed it again.
	relistedPeriod = 10 * ListLag
	// CallTimeout bounds a call to a peer or to the VM list.
	CallTimeout = 2 * time.Second
	// farLinkCount is the number of far daemons that receive updates, and
	// farLinkPeriod how long each selection is kept.
	farLinkCount  = 3
	farLinkPeriod = time.Minute
	// relayPeriods is the number of periods in which an update is repeated, and
	// maxUpdates the maximum number of states in a message.
	relayPeriods = 6
	maxUpdates   = 48
)
