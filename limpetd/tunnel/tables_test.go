package tunnel

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/random"
)

// TestPathsAreCheckedAfterALoss guards against callers that find each lost path by a timeout of their own.
func TestPathsAreCheckedAfterALoss(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPathTable()
	var all []string
	for i := range 3 * maxChecks {
		all = append(all, fmt.Sprint("s", i))
	}
	p.setServers(all)
	require.Empty(t, p.due(now))
	require.True(t, p.recordLost("s0", true, now))
	require.False(t, p.recordLost("s0", true, now))
	checked := map[string]bool{}
	for range 3 {
		now = now.Add(time.Millisecond)
		for _, address := range p.due(now) {
			require.False(t, checked[address])
			checked[address] = true
			p.recordFailed(address, now)
		}
	}
	require.Len(t, checked, len(all))
	require.Empty(t, p.due(now))
	require.Equal(t, []string{"s0"}, p.due(now.Add(retryPeriod)), "only lost paths are tried again")
	require.False(t, p.cutOff())
	for _, address := range all[:len(all)/2] {
		p.recordLost(address, false, now)
	}
	require.True(t, p.cutOff())
	require.True(t, p.suspicious(now.Add(time.Hour)))
	require.False(t, p.recordLost("unknown", true, now))
}

// TestPeersThatGrantTunnelsAreAskedFirst guards against callers that wait for daemons that are cut off too:
// at 361 daemons of which 300 have lost their paths, most connects must find one that has not.
func TestPeersThatGrantTunnelsAreAskedFirst(t *testing.T) {
	for _, size := range []struct{ daemons, cutOff, attempts int }{{2, 0, 1}, {6, 3, 3}, {9, 8, 6}, {75, 37, 8}, {195, 150, 20}, {361, 300, 25}} {
		now, r := time.Unix(1000, 0), random.Seeded(uint64(size.daemons), "tunnel")
		var table peerTable
		var list []Peer
		for i := range size.daemons - 1 {
			list = append(list, Peer{VM: fmt.Sprint(i)})
		}
		table.set(list)
		cutOff := map[string]bool{}
		for _, p := range list[:min(size.cutOff, len(list)-1)] {
			cutOff[p.VM] = true
		}
		failed := 0
		used := map[string]int{}
		for range 500 {
			now = now.Add(20 * time.Millisecond)
			found := false
			for _, p := range table.order(r, now) {
				granted := !cutOff[p.VM]
				table.record(p, granted, now)
				if granted {
					found = true
					used[p.VM]++
					break
				}
			}
			if !found {
				failed++
			}
		}
		require.LessOrEqual(t, failed, size.attempts, "%+v", size)
	}
}

// TestPeersThatDeniedATunnelAreAskedLast guards against asking the daemons that are cut off again and again.
func TestPeersThatDeniedATunnelAreAskedLast(t *testing.T) {
	now, r := time.Unix(1000, 0), random.Seeded(1, "tunnel")
	var table peerTable
	table.set([]Peer{{VM: "a"}, {VM: "b"}, {VM: "c"}, {VM: "d"}, {VM: "e"}})
	for _, vm := range []string{"a", "b", "d", "e"} {
		table.record(Peer{VM: vm}, false, now)
	}
	first := map[string]bool{}
	for range 50 {
		require.Equal(t, "c", table.order(r, now)[0].VM)
		first[table.order(r, now.Add(avoidTerm))[0].VM] = true
	}
	require.Len(t, first, 5, "they are asked again after a while")
}

func TestRequestIsEncoded(t *testing.T) {
	var b bytes.Buffer
	want := request{ID: "vm/1", Address: "10.0.0.1:80"}
	require.NoError(t, writeRequest(&b, want))
	got, err := readRequest(&b)
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Error(t, writeRequest(&b, request{ID: strings.Repeat("x", maxName+1)}))
	for _, broken := range []string{"", "\x01", "\x02\x00\x00", "\x01\x05\x05abc"} {
		_, err := readRequest(strings.NewReader(broken))
		require.Error(t, err, "%q", broken)
	}
}
