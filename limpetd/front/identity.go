package front

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/crash"
)

// suspectedParts returns the request and the parts of its prompt, for the ledger of ends.
func (c *call) suspectedParts() []uint64 {
	parts := make([]uint64, 0, 1+len(c.info.Parts))
	parts = append(parts, crash.RequestPart(c.requestIdentity()))
	for _, p := range c.info.Parts {
		parts = append(parts, crash.PromptPart(p))
	}
	return parts
}

// requestIdentity returns a number that a caller's request has whenever it is sent again: a hash of its
// method, host, target, caller, model, the shared parts of its prompt, and body. All other headers may change from
// one time to the next.
func (c *call) requestIdentity() uint64 {
	d := xxhash.New()
	var number [8]byte
	// Write and WriteString of a hash return no error.
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		_, _ = d.Write(number[:])
	}
	for _, s := range []string{c.request.Method, c.request.Host, c.request.RequestURI, c.info.Caller, c.info.Model, c.info.Adapter} {
		writeNumber(uint64(len(s)))
		_, _ = d.WriteString(s)
	}
	writeNumber(uint64(len(c.info.Parts)))
	for _, p := range c.info.Parts {
		writeNumber(p)
	}
	_, _ = d.Write(c.body)
	return d.Sum64()
}
