package guard

import (
	"net/http"

	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/code"
)

// BeginCall charges what a call takes beside its header and body.
func (g *Guard) BeginCall() { g.Charge(budget.Calls, budget.CallBytes) }

// EndCall ends the charge of a call and its header. It removes the header from r, because net/http keeps r while it closes
// a connection. r must be the request that the server passed to its handler.
func (g *Guard) EndCall(r *http.Request) {
	r.Header = nil
	c, _ := r.Context().Value(contextKey{}).(*conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Charge(budget.Calls, -budget.CallBytes)
	if c != nil {
		c.confirmFreed()
		if !c.closed {
			c.endHeader()
		}
	}
	g.notifyFreed()
}

// confirmFreed records that the memory attached to a dropped body is released. The lock must be held.
func (c *conn) confirmFreed() {
	c.door.guard.account.Freed(c.pendingFree)
	c.pendingFree = 0
}

// Header returns the length in bytes of the request header in HTTP/1.1 format, and charges what it takes. An error has
// the code HeaderTooLarge if the length exceeds limit, where 0 means no limit, or MemoryShort. The connection is then
// closed after the response.
func (g *Guard) Header(w http.ResponseWriter, r *http.Request, limit int64) (size int64, err error) {
	size, lines := measureHeader(r)
	if limit > 0 && size > limit {
		closeAfter(w)
		return size, code.Errorf(code.HeaderTooLarge, "the header has %d bytes, the limit is %d bytes", size, limit)
	}
	c, _ := r.Context().Value(contextKey{}).(*conn)
	if c != nil && !g.settleHeader(w, c, size+lines*budget.HeaderLineBytes) {
		closeAfter(w)
		return size, g.memoryShort()
	}
	if r.ContentLength == 0 {
		c.closeIfReadAhead(w)
	}
	return size, nil
}

// closeIfReadAhead closes the connection after the response if the server may have buffered a part of a header that takes
// much memory, because it would parse that part before it is charged.
func (c *conn) closeIfReadAhead(w http.ResponseWriter) {
	if c != nil && c.ahead > maxUncharged {
		w.Header().Set("Connection", "close")
	}
}

// settleHeader replaces what was charged for the lines of a header while it arrived by what it takes. A header that
// arrived together with the request before it was not charged at all. It reports whether the memory suffices.
func (g *Guard) settleHeader(w http.ResponseWriter, c *conn, size int64) bool {
	g.mu.Lock()
	more := size - c.headerBytes
	if more <= 0 {
		g.account.Charge(budget.Headers, more)
		c.headerBytes = size
		g.notifyFreed()
		g.mu.Unlock()
		return true
	}
	g.mu.Unlock()
	// A header that waits is held already.
	if !g.reserve(w, budget.Headers, more, 0) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		g.account.Charge(budget.Headers, -more)
		return false
	}
	c.headerBytes = size
	return true
}

// measureHeader returns the length in bytes of the request header in HTTP/1.1 format, and the number of its lines.
func measureHeader(r *http.Request) (size, lines int64) {
	const separator, hostField = len(": \r\n"), len("Host: \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len(r.Host) + hostField
	for name, values := range r.Header {
		lines += int64(len(values))
		for _, v := range values {
			n += len(name) + len(v) + separator
		}
	}
	return int64(n), lines
}
