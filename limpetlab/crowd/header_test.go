package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/limpetlb/limpetlb/platform/stand"
)

const (
	// headerCrowd clients hold more than the limit of memory if each header is kept as it is parsed.
	headerCrowd = 1500
	// headerLimit is the size limit of headers in the configuration of limpetp, headerRest the part of it for the
	// lines of an ordinary request.
	headerLimit = 16 << 10
	headerRest  = 1 << 10
	// longHeader and manyLines are the size and the number of lines of a header over the limit.
	longHeader = 55_000
	manyLines  = 1500
	// openHeader is the size of a header without an end.
	openHeader = 60_000
	// shortBody is the size of the bodies of calls with many header lines.
	shortBody = 10_000
)

// headerLimits are the limits of processes under crowds that send headers. Without a limit of descriptors, only
// memory limits the number of connections.
var headerLimits = limits{memoryMB: 144}

// headerPatterns are the patterns of clients that hold memory with headers.
var headerPatterns = []pattern{
	{name: "many header names and a body without its last byte", reads: true, send: func(_ context.Context, c *client) {
		head := strings.TrimSuffix(string(c.announce(shortBody)), "\r\n")
		c.write([]byte(head+shortNames(headerLimit-headerRest)+"\r\n"), bytes.Repeat([]byte("x"), shortBody-1))
	}},
	{name: "many lines over the limit", reads: true, send: func(_ context.Context, c *client) {
		head := []byte(c.entry.head)
		for i := range manyLines {
			head = fmt.Appendf(head, "X-%06d: %s\r\n", i, strings.Repeat("x", longHeader/manyLines-len("X-000000: \r\n")))
		}
		c.write(head, []byte("\r\n"))
	}},
	{name: "short lines without an end", reads: true, send: func(_ context.Context, c *client) {
		const line = "a:\r\n"
		c.write([]byte(c.entry.head + strings.Repeat(line, openHeader/len(line))))
	}},
	{name: "many header names behind a request", reads: true, send: func(_ context.Context, c *client) {
		head := strings.TrimSuffix(string(c.announce(shortBody)), "\r\n")
		c.write(append(c.announce(1), 'x'), []byte(head+shortNames(pipelinedHeader)+"\r\n"), bytes.Repeat([]byte("x"), shortBody-1))
	}},
}

// pipelinedHeader is the size of a header that is read together with the request before it.
const pipelinedHeader = 3 << 10

// shortNames returns header lines of n bytes or a few less, with names of two characters that are all different, and
// without values. The size of a line is that of its HTTP/1.1 format with a space.
func shortNames(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	const size = len("ab: \r\n")
	var b strings.Builder
	for i := 0; (i+1)*size <= n && i < len(letters)*len(letters); i++ {
		b.WriteByte(letters[i/len(letters)])
		b.WriteByte(letters[i%len(letters)])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// TestHeadersStayWithinMemory guards against headers that take far more memory than bytes once they are parsed.
func TestHeadersStayWithinMemory(t *testing.T) {
	for _, crowd := range headerPatterns {
		t.Run(crowd.name, func(t *testing.T) {
			p, e, _ := startLimpetp(t, headerLimits, stand.SafeRoute, "")
			runCrowd(t, p, e, e, crowd, headerCrowd)
		})
	}
}

// TestHeadersOfOwnInterfaceStayWithinMemory is TestHeadersStayWithinMemory for callers of limpetd.
func TestHeadersOfOwnInterfaceStayWithinMemory(t *testing.T) {
	for _, crowd := range headerPatterns {
		t.Run(crowd.name, func(t *testing.T) {
			p, e := startLimpetd(t, headerLimits)
			runCrowd(t, p, e, e, crowd, headerCrowd)
		})
	}
}
