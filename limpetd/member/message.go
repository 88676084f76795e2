package member

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
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
	// Suspect marks a daemon that others fail to reach. The daemon itself
	// refutes it with a higher sequence.
	Suspect bool
}

// Advice is what a daemon saw of a VM that runs no daemon, sooner than the VM
// list tells.
type Advice struct {
	VM string
	// Leaving means that the VM itself said that it leaves.
	Leaving bool
	// At is when it was seen, in milliseconds since 1970.
	At int64
}

// Load is an engine's report as peers send it: the slots are left out while
// they have not changed.
type Load struct {
	Report engine.Report
	// SlotsHash identifies the slots.
	SlotsHash uint64
	// Whole means that Report carries the slots.
	Whole bool
}

// Message is what daemons exchange.
type Message struct {
	// Environment names environment and stage; others are not listened to.
	Environment string
	From        Daemon
	// Daemons are states that changed lately.
	Daemons []Daemon
	Advice  []Advice
	// View is a hash of all states that the sender knows.
	View uint64
	// Whole means that Daemons are all that the sender knows.
	Whole  bool
	Loads  []Load
	Demand []ModelDemand
	Use    []CallerUse
}

// Copy is a document that a peer hands on.
type Copy struct {
	Revision int64
	Digest   string
	Body     []byte
}

// Transport reaches the member duties of other daemons.
type Transport interface {
	// Tell sends m to a peer and does not wait until it is read. Messages to
	// one peer arrive in order or the peer is reported as failed.
	Tell(ctx context.Context, address string, m Message) error
	// Exchange sends m and returns the peer's whole view.
	Exchange(ctx context.Context, address string, m Message) (Message, error)
	// Document fetches the document that the peer has in force.
	Document(ctx context.Context, address, environment string) (Copy, error)
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
	// Suspect means that the daemon could not be reached lately.
	Suspect bool
}

// Announcement is what the document duty has other daemons told.
type Announcement struct {
	Revision int64
	Digest   string
	Refused  code.Code
}

// Times of the duty.
const (
	// DefaultPeriod is the time between two messages to a peer of the data
	// centre.
	DefaultPeriod = time.Second
	// DefaultListPeriod is the time between two reads of the VM list.
	DefaultListPeriod = 2 * time.Second
	// CallTimeout bounds a call to a peer.
	CallTimeout = time.Second
	// SyncPeriod is the least time between two exchanges of whole views.
	SyncPeriod = 15 * time.Second
)
