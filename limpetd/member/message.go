package member

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Daemon is what a daemon tells of itself, relayed by the others.
type Daemon struct {
	VM string
	// Instance is the process; a restart on the same VM has another.
	Instance string
	// Sequence grows with each change that the daemon makes to this state.
	// Of two states of an instance the one with the higher sequence holds.
	Sequence int64
	// Started is when the instance began, in milliseconds since 1970. Of
	// two instances on a VM the later one holds.
	Started    int64
	DataCentre string
	Region     string
	// Address is the host:port of the peer interface.
	Address string
	// Revision and Digest are those of the document in force; Revision is 0
	// for none.
	Revision int64
	Digest   string
	// Level is the feature level of the daemon.
	Level int
	// Refused says why the daemon refuses a newer document; OK for none.
	Refused code.Code
	Leaving bool
	Ready   bool
	// Suspect marks a daemon that others fail to hear. The daemon itself
	// refutes it with a higher sequence.
	Suspect bool
}

// Entry is a change of the VM list that a daemon read. Ids are never used again
// and a VM goes from live to leaving to gone, so the later state holds whatever
// the clocks say.
type Entry struct {
	VM store.VM
	// Gone means that the VM is no longer listed.
	Gone bool
}

// rank orders the states of a VM in time.
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

// Advice tells that a VM which runs no daemon leaves, sooner than the VM list
// does, or that it stays after all.
type Advice struct {
	VM      string
	Leaving bool
	// At is when it was seen, in milliseconds since 1970, and above that of
	// the advice that it replaces; the latest holds.
	At int64
}

// Load is an engine's report as peers send it: VM, instance, memory, batch limit,
// role, fence and slots are left out while they have not changed.
type Load struct {
	Report engine.Report
	// Hash identifies the engine and the part that seldom changes.
	Hash uint64
	// Whole means that Report carries that part.
	Whole bool
}

// Sender names the daemon that sent a message.
type Sender struct {
	VM       string
	Instance string
}

// Message is what daemons exchange. All but View is left out where it has not
// changed.
type Message struct {
	// View is a hash of the daemon states that the sender knows; 0 says
	// nothing.
	View uint64
	// Want asks for the VM list in the answer to an exchange.
	Want    bool
	Daemons []Daemon
	Entries []Entry
	Advice  []Advice
	Loads   []Load
	Demand  []ModelDemand
	Use     []CallerUse
}

// Copy is a document that a peer hands on.
type Copy struct {
	Revision int64
	Digest   string
	Body     []byte
}

// Transport reaches the member duties of other daemons of the environment.
type Transport interface {
	// Tell queues m for a peer and does not wait. Messages to a peer arrive
	// in order; after an error the peer may have missed any of them.
	Tell(address string, m Message) error
	// Exchange sends m and returns all that the peer knows.
	Exchange(ctx context.Context, address string, m Message) (Message, error)
	// Document fetches the document that the peer has in force.
	Document(ctx context.Context, address string) (Copy, error)
}

// Peer is a daemon as this one knows it.
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
	// Suspect means that the daemon was not heard lately.
	Suspect bool
}

// Announcement is what the document duty has other daemons told.
type Announcement struct {
	Revision int64
	Digest   string
	Refused  code.Code
}

// Times and sizes of the duty.
const (
	// DefaultPeriod is the time between two messages to a near peer.
	DefaultPeriod = time.Second
	// MeshSize is the number of daemons up to which all are near; beyond it,
	// those of the same data centre are.
	MeshSize = 64
	// SilentAfter is how long a near peer may stay silent before it is
	// suspected; in a large environment it is three turns.
	SilentAfter = 4 * time.Second
	// SyncPeriod is the least time between two exchanges of all that is known.
	SyncPeriod = 30 * time.Second
	// ListPeriod is the least time between two reads of the VM list by a
	// daemon. It grows with the entries of the list, by listPeriodEntry each,
	// so that the reads of a large list stay few: all pass on what they read.
	ListPeriod      = 2 * time.Second
	listPeriodEntry = 200 * time.Millisecond
	// ListLag is how far the VM list may lag.
	ListLag = time.Minute
	// denyFor is how long peers are not believed that a VM is gone after an
	// own read has listed it.
	denyFor = 10 * ListLag
	// CallTimeout bounds a call to a peer or to the VM list.
	CallTimeout = 2 * time.Second
	// remoteLinks is the number of daemons outside the near ones that are
	// told news, and remoteLinkPeriod how long each is kept.
	remoteLinks      = 3
	remoteLinkPeriod = time.Minute
	// relayPeriods is the number of periods in which news is repeated, and
	// maxNews the largest number of states in a message.
	relayPeriods = 6
	maxNews      = 48
)
