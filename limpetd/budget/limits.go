package budget

import "time"

const (
	// Share is the part of a process's memory limit that the account covers. The rest is for the
	// program itself, for memory that the garbage collector has not freed, and for received bytes in
	// the kernel. The Go runtime's soft limit is 0.6 of the memory limit.
	Share = 0.3
	// ConnectionBytes is what a connection of a caller holds without a request: its two buffers of
	// 4 KiB and the stack of its goroutine.
	ConnectionBytes = 16 << 10
	// CallBytes is the additional memory of a connection with a call in flight: larger stacks, the state of the call and
	// the connection to a server.
	CallBytes = 24 << 10
	// connectionShare is the part of the account that connections may use.
	connectionShare = 0.5
	// reservedFDs is the number of descriptors that are reserved for files.
	reservedFDs = 200
	// callerShare is the part of the other descriptors that connections of callers may use. Their calls
	// use as many connections to servers.
	callerShare = 0.4
	// linkShare and tunnelShare are the parts for links and tunnels of other daemons. Of 361 daemons, the
	// lease holder has a link of each. A tunnel takes two descriptors. The rest is for the store.
	linkShare   = 0.13
	tunnelShare = 0.05
	// maxLinks is the limit of links without a limit of descriptors, for up to 361 daemons.
	maxLinks = 400
	// LinkBytes is the memory of a connection for links before its first message: two gRPC buffers of 32 KiB and the
	// stacks of its goroutines.
	LinkBytes = 80 << 10
	// TunnelBytes is the memory of a tunnel: its buffers and the stacks of its goroutines.
	TunnelBytes = 28 << 10
	// minConnections is the number of connections that are accepted under any limits.
	minConnections = 16
)

// Bytes returns the limit of the account of a process with a memory limit in MB; 0 for no limit.
func Bytes(memoryMB int) int64 { return int64(Share * float64(memoryMB) * (1 << 20)) }

// ConnectionLimit returns how many connections of callers a process with limits for memory, in MB, and
// descriptors may have; 0 of either means no limit, and so does the result.
func ConnectionLimit(memoryMB, maxFDs int) int {
	limit := descriptors(callerShare, maxFDs)
	if memoryMB > 0 {
		byMemory := max(int(connectionShare*float64(Bytes(memoryMB))/ConnectionBytes), minConnections)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// LinkLimit returns how many links of other daemons a process with limits for memory, in MB, and descriptors may have; 0
// means no limit.
func LinkLimit(memoryMB, maxFDs int) int {
	limit := descriptors(linkShare, maxFDs)
	if memoryMB > 0 && limit == 0 {
		limit = maxLinks
	}
	return limit
}

// PeerLimit returns how many connections of other daemons a process of limpetd may have, which grants no tunnels; 0 means
// no limit.
func PeerLimit(maxFDs int) int { return descriptors(linkShare+tunnelShare, maxFDs) }

// TunnelLimit is LinkLimit for tunnels.
func TunnelLimit(memoryMB, maxFDs int) int {
	limit := descriptors(tunnelShare/2, maxFDs)
	if memoryMB > 0 {
		byMemory := max(int(tunnelShare*float64(Bytes(memoryMB))/TunnelBytes), minConnections)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// descriptors returns a share of the descriptors that are not reserved; 0 if there is no limit.
func descriptors(share float64, maxFDs int) int {
	if maxFDs <= 0 {
		return 0
	}
	return max(int(share*float64(maxFDs-reservedFDs)), minConnections)
}

// Phase is what a connection does.
type Phase int

// The phases of a connection. A connection begins with Header, is Active from the end of a header to the
// end of the response, then Idle until the first byte of the next header.
const (
	Header Phase = iota
	Active
	Idle
)

// Connection is a connection of a caller for which a decision is made.
type Connection struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
}

// Timeouts limit the phases of connections; 0 means no limit.
type Timeouts struct {
	Header, Idle time.Duration
	// CloseIdle is the age from which idle connections are closed for new ones; 0 means never.
	CloseIdle time.Duration
}

// Expired reports whether a connection is to be closed at a time.
func (t Timeouts) Expired(c Connection, now time.Time) bool {
	age := now.Sub(c.Since)
	return c.Phase == Header && t.Header > 0 && age > t.Header || c.Phase == Idle && t.Idle > 0 && age > t.Idle
}

// Victim returns the index of the connection that is closed for a new one when there are too many; -1 if
// there is none, so that the new one waits. It is the one whose header has been arriving for the longest time, from
// dropAge on. Idle connections, which callers may use again, are closed from an age of closeIdle on; 0 means never.
func Victim(list []Connection, closeIdle time.Duration, now time.Time) int {
	victim := -1
	for i, c := range list {
		droppable := c.Phase == Header && now.Sub(c.Since) >= dropAge || c.Phase == Idle && closeIdle > 0 && now.Sub(c.Since) >= closeIdle
		if droppable && (victim < 0 || c.Since.Before(list[victim].Since)) {
			victim = i
		}
	}
	return victim
}
