package front

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/crash"
)

// identityOf returns the identity of a request with a body.
func identityOf(t testing.TB, method, url, caller, body string, header http.Header) uint64 {
	t.Helper()
	r, err := http.NewRequest(method, url, http.NoBody)
	require.NoError(t, err)
	r.RequestURI, r.Header = r.URL.RequestURI(), header
	c := &call{request: r, body: []byte(body), info: CallHeaders{Caller: caller}}
	return c.requestIdentity()
}

// TestIdentityOfPromptsWithOneBody guards against refusing sound calls because calls with another model or prompt, which
// their headers name, and the same path and body end engines.
func TestIdentityOfPromptsWithOneBody(t *testing.T) {
	identity := func(info CallHeaders) uint64 {
		r, err := http.NewRequest("POST", "http://a/r/1", http.NoBody)
		require.NoError(t, err)
		c := &call{request: r, info: info}
		return c.requestIdentity()
	}
	first := identity(CallHeaders{ID: "x1", Model: "m", Parts: []uint64{1, 7}})
	require.Equal(t, first, identity(CallHeaders{ID: "x2", Model: "m", Parts: []uint64{1, 7}}))
	require.NotEqual(t, first, identity(CallHeaders{Model: "m", Parts: []uint64{1, 8}}))
	require.NotEqual(t, first, identity(CallHeaders{Model: "o", Parts: []uint64{1, 7}}))
	require.NotEqual(t, first, identity(CallHeaders{Model: "m", Adapter: "a", Parts: []uint64{1, 7}}))
}

// TestRequestIdentity guards against taking one request for several because of headers that change each time,
// and several for one.
func TestRequestIdentity(t *testing.T) {
	first := identityOf(t, "POST", "http://a/r/1?q=1", "one", "body", nil)
	require.Equal(t, first, identityOf(t, "POST", "http://a/r/1?q=1", "one", "body", http.Header{"Id": {"x2"}, "Deadline": {"7"}}))
	for name, other := range map[string]uint64{
		"method": identityOf(t, "PUT", "http://a/r/1?q=1", "one", "body", nil),
		"host":   identityOf(t, "POST", "http://b/r/1?q=1", "one", "body", nil),
		"path":   identityOf(t, "POST", "http://a/r/2?q=1", "one", "body", nil),
		"query":  identityOf(t, "POST", "http://a/r/1?q=2", "one", "body", nil),
		"caller": identityOf(t, "POST", "http://a/r/1?q=1", "two", "body", nil),
		"body":   identityOf(t, "POST", "http://a/r/1?q=1", "one", "bodz", nil),
		"border": identityOf(t, "POST", "http://a/r/1?q=1", "onebo", "dy", nil),
	} {
		require.NotEqual(t, first, other, name)
	}
}

// BenchmarkSuspectedParts measures what a call costs that is not suspected, with a body of a common size.
func BenchmarkSuspectedParts(b *testing.B) {
	r, err := http.NewRequest("POST", "http://a/r/1?q=1", http.NoBody)
	require.NoError(b, err)
	r.RequestURI = r.URL.RequestURI()
	c := &call{request: r, body: make([]byte, 3000), info: CallHeaders{Parts: []uint64{1, 2}}}
	l := crash.NewLedger()
	for b.Loop() {
		c.parts = c.suspectedParts()
		l.Check(c.parts, false, c.schedCall.Arrived)
		l.Remember(c.parts, c.schedCall.Arrived)
	}
}
