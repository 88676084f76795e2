package front_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// invalidStatuses are status lines that no server may end its response with.
var invalidStatuses = []string{
	"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 042 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 700 X", "HTTP/1.1 999 X",
	"HTTP/1.1 0200 X", "HTTP/1.1 20 X", "HTTP/1.1 2x0 X", "HTTP/1.1 -20 X", "HTTP/1.1 +20 X",
	"HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 199 X",
	"HTTP/1.0 000 X", "HTTP/1.0 099 X", "HTTP/1.0 100 Continue", "HTTP/1.0 101 X", "HTTP/1.0 600 X",
}

// TestInvalidStatusIsBroken guards against a status outside 200 to 599 that reaches a caller, and against a response that a
// server sends behind one and that the caller takes for its own.
func TestInvalidStatusIsBroken(t *testing.T) {
	const rest = "\r\nId: x1\r\nStamp: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range invalidStatuses {
		tails := map[string]string{"alone": rest, "before a response": rest[:len(rest)-2] + "HTTP/1.1 200 OK" + rest, "not run": "\r\nUnrun: 1" + rest}
		if line == "HTTP/1.1 100 Continue" || line == "HTTP/1.1 199 X" {
			// Such an interim response may be followed by a final one.
			delete(tails, "before a response")
		}
		for tail, text := range tails {
			for name, route := range map[string]layout.Route{"call": callKind, "stream": streamKind, "unsafe": {Kind: layout.Unsafe, MaxAttempts: 1}} {
				t.Run(line+"/"+tail+"/"+name, func(t *testing.T) {
					t.Parallel()
					var sent atomic.Int64
					var resets atomic.Bool
					sent.Store(int64(len(line + text)))
					fx := newFixtureWithServers(t, nil, route, startCutting(t, line+text, &sent, &resets))
					got := fx.callRaw(t, "HTTP/1.1", http.MethodPost)
					require.Contains(t, []int{http.StatusBadGateway, http.StatusInternalServerError, http.StatusGatewayTimeout}, got.status, "%+v", got)
				})
			}
		}
	}
}
