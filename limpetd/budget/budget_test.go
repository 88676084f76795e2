package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/budget"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// at returns the time that is seconds after the start of a test.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// body begins a body and lets it hold n bytes.
func body(t *testing.T, a *budget.Account, id budget.ID, n int64, known bool, seconds float64) {
	t.Helper()
	a.Begin(id, budget.Reading, known, at(seconds))
	require.Equal(t, budget.Decision{}, a.Ask(id, n, at(seconds)))
}

// TestBodiesAreAdmittedWhileTheyFit guards against bodies that are refused without need.
func TestBodiesAreAdmittedWhileTheyFit(t *testing.T) {
	a := budget.New(8 * mib)
	for id := range budget.ID(7) {
		body(t, a, id, mib, true, 0)
	}
	a.Begin(7, budget.Reading, true, at(0))
	require.Equal(t, budget.Waits, a.Ask(7, mib, at(0)).Verdict, "large bodies leave a share to small ones")
	require.Equal(t, budget.Admitted, a.Ask(7, 64*kib, at(0)).Verdict)
	require.EqualValues(t, 7*mib+64*kib, a.Used(budget.Reading))
	unlimited := budget.New(0)
	body(t, unlimited, 1, 1<<40, true, 0)
}

// TestLargestAndSlowestIsDroppedFirst guards against whole calls that are refused for bodies that do not end.
func TestLargestAndSlowestIsDroppedFirst(t *testing.T) {
	a := budget.New(8 * mib)
	body(t, a, 1, 2*mib, true, 0)
	body(t, a, 2, 3*mib, true, 0)
	body(t, a, 3, 2*mib, true, 0.5)
	a.Begin(4, budget.Reading, true, at(2))
	require.Equal(t, budget.Decision{Drop: []budget.ID{2}}, a.Ask(4, mib, at(2)))
	require.EqualValues(t, 5*mib, a.Used(budget.Reading))
	require.Equal(t, budget.Refused, a.Ask(2, 1, at(2)).Verdict, "it was dropped")
	require.Equal(t, budget.Decision{Drop: []budget.ID{1}}, a.Ask(4, 3*mib, at(2)), "1 is older than 3")
}

// TestUnknownSizeIsDroppedBeforeKnownSize guards against equal treatment of bodies that trickle.
func TestUnknownSizeIsDroppedBeforeKnownSize(t *testing.T) {
	a := budget.New(4 * mib)
	body(t, a, 1, mib, true, 0)
	body(t, a, 2, mib, false, 0.2)
	body(t, a, 3, mib, true, 0)
	a.Begin(4, budget.Reading, true, at(2))
	require.Equal(t, budget.Decision{Drop: []budget.ID{2}}, a.Ask(4, mib, at(2)))
}

// TestOneThatIsDueIsRefusedItself guards against a large slow body that drops smaller and quicker ones.
func TestOneThatIsDueIsRefusedItself(t *testing.T) {
	a := budget.New(4 * mib)
	body(t, a, 1, 2*mib, true, 0)
	body(t, a, 2, mib, true, 0)
	require.Equal(t, budget.Decision{Verdict: budget.Refused}, a.Ask(1, mib, at(3)))
	require.EqualValues(t, 3*mib, a.Used(budget.Reading))
}

// TestQuickBodiesWait guards against dropping bodies of a burst that are arriving without a pause.
func TestQuickBodiesWait(t *testing.T) {
	a := budget.New(4 * mib)
	body(t, a, 1, 3*mib, true, 0)
	a.Begin(2, budget.Reading, true, at(0))
	require.Equal(t, budget.Decision{Verdict: budget.Waits}, a.Ask(2, mib, at(0.9)))
	require.Equal(t, budget.Decision{Drop: []budget.ID{1}}, a.Ask(2, mib, at(1)))
}

// TestCompleteBodiesAreNotDropped guards against refusing what may have been sent to a server.
func TestCompleteBodiesAreNotDropped(t *testing.T) {
	a := budget.New(4 * mib)
	a.Charge(budget.Waiting, 3*mib)
	a.Charge(budget.Responses, mib)
	a.Begin(1, budget.Reading, true, at(0))
	require.Equal(t, budget.Decision{Verdict: budget.Waits}, a.Ask(1, kib, at(0.5)))
	require.Equal(t, budget.Refused, a.Ask(1, kib, at(5)).Verdict)
	a.Charge(budget.Waiting, -3*mib)
	require.Equal(t, budget.Admitted, a.Ask(1, kib, at(6)).Verdict)
	a.End(1)
	require.Zero(t, a.Used(budget.Reading))
}

// TestTooFewDroppedChangesNothing guards against bodies that are dropped for one that is not admitted.
func TestTooFewDroppedChangesNothing(t *testing.T) {
	a := budget.New(4 * mib)
	body(t, a, 1, mib, true, 0)
	a.Charge(budget.Waiting, 5*mib/2)
	a.Begin(2, budget.Reading, true, at(1.5))
	require.Equal(t, budget.Decision{Verdict: budget.Waits}, a.Ask(2, 2*mib, at(2)))
	require.EqualValues(t, mib, a.Used(budget.Reading))
}

// TestSlowBodiesEnd guards against bodies that arrive a byte at a time, and against a limit that ends those
// that arrive at the minimum rate.
func TestSlowBodiesEnd(t *testing.T) {
	a := budget.New(0)
	a.Begin(1, budget.Reading, true, at(0))
	a.Begin(2, budget.Reading, true, at(0))
	a.Begin(3, budget.Headers, false, at(0))
	a.Arrive(1, 5*1024)
	a.Arrive(2, 5*1024-1)
	require.Empty(t, a.Slow(1024, at(4.9)))
	require.Empty(t, a.Slow(0, at(5)), "no minimum")
	require.Equal(t, []budget.ID{2}, a.Slow(1024, at(5)))
	a.Restart(at(60))
	require.Empty(t, a.Slow(1024, at(64)), "the process did not read in the meantime")
	require.Equal(t, []budget.ID{1}, a.Slow(1024, at(65)), "it stalls after its first window")
}

// TestConnectionLimit guards against connections of callers that leave no descriptors or memory to others.
func TestConnectionLimit(t *testing.T) {
	require.Zero(t, budget.ConnectionLimit(0, 0))
	require.Equal(t, 80, budget.ConnectionLimit(160, 400))
	require.Equal(t, 1382, budget.ConnectionLimit(144, 4100), "by memory")
	require.Equal(t, 1150, budget.ConnectionLimit(144, 3075), "by descriptors")
	require.Equal(t, 373, budget.LinkLimit(144, 3075), "all of 361 daemons")
	require.Equal(t, 71, budget.TunnelLimit(144, 3075))
	require.Equal(t, 78, budget.TunnelLimit(144, 0), "bounded by memory")
	require.Equal(t, 400, budget.LinkLimit(144, 0), "all of 361 daemons")
	require.Equal(t, 517, budget.PeerLimit(3075), "all of 361 daemons")
	require.Zero(t, budget.PeerLimit(0))
	for _, fds := range []int{1000, 3075, 10250} {
		used := 2*budget.ConnectionLimit(0, fds) + budget.LinkLimit(0, fds) + 2*budget.TunnelLimit(0, fds)
		require.LessOrEqual(t, used, fds-200, "calls, their servers, links and tunnels, with files and the store, of %d", fds)
	}
	require.Equal(t, 16, budget.ConnectionLimit(0, 100))
}

// TestTimeoutsApplyToTheirPhases guards against idle connections that are closed while callers may use them.
func TestTimeoutsApplyToTheirPhases(t *testing.T) {
	limits := budget.Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second}
	require.False(t, limits.Expired(budget.Connection{Phase: budget.Header, Since: at(0)}, at(3)))
	require.True(t, limits.Expired(budget.Connection{Phase: budget.Header, Since: at(0)}, at(3.1)))
	require.False(t, limits.Expired(budget.Connection{Phase: budget.Idle, Since: at(0)}, at(15)))
	require.True(t, limits.Expired(budget.Connection{Phase: budget.Idle, Since: at(0)}, at(15.1)))
	require.False(t, limits.Expired(budget.Connection{Phase: budget.Active, Since: at(0)}, at(1000)))
	require.False(t, budget.Timeouts{}.Expired(budget.Connection{Since: at(0)}, at(1000)))
}

// TestVictimIsOldestHeader guards against closing connections that callers use or may use again.
func TestVictimIsOldestHeader(t *testing.T) {
	list := []budget.Connection{{Phase: budget.Active, Since: at(0)}, {Phase: budget.Idle, Since: at(0.5)}, {Phase: budget.Header, Since: at(2)}, {Phase: budget.Header, Since: at(1)}}
	require.Equal(t, 3, budget.Victim(list, 0, at(4)))
	require.Equal(t, 1, budget.Victim(list, time.Second, at(4)))
	require.Equal(t, 3, budget.Victim(list, 4*time.Second, at(4)))
	require.Equal(t, -1, budget.Victim(list[:2], 0, at(4)))
	require.Equal(t, -1, budget.Victim(list[3:], 0, at(1.9)))
}

// TestDroppedMemoryIsUsedWhenItIsFree guards against admitting a body for one whose header is still held.
func TestDroppedMemoryIsUsedWhenItIsFree(t *testing.T) {
	a := budget.New(8 * mib)
	body(t, a, 1, mib, true, -2)
	a.Charge(budget.Headers, 2*mib)
	a.Attach(1, 2*mib)
	body(t, a, 3, 4*mib, true, 0)
	a.Begin(2, budget.Reading, true, at(2))
	require.Equal(t, budget.Decision{Verdict: budget.Waits, Drop: []budget.ID{1}}, a.Ask(2, 2*mib, at(2)))
	require.Equal(t, budget.Decision{Verdict: budget.Waits}, a.Ask(2, 2*mib, at(2)), "nothing else is dropped for it")
	a.Charge(budget.Headers, -2*mib)
	a.Freed(2 * mib)
	require.Equal(t, budget.Decision{}, a.Ask(2, 2*mib, at(2)))
}

// TestHeaderScan checks what a header is charged with, wherever it is split, and what is known of the next one.
func TestHeaderScan(t *testing.T) {
	const header, rest = "GET / HTTP/1.1\r\nHost: h\r\na:\n\r\n", "body\nmore"
	for split := range len(header) {
		var s budget.HeaderScan
		cost := s.Add([]byte(header[:split])) + s.Add([]byte(header[split:]+rest))
		require.EqualValues(t, len(header)+len(rest)+4*budget.HeaderLineBytes, cost, split)
		require.EqualValues(t, len(header), s.Bytes, split)
		require.EqualValues(t, len(rest), s.Rest)
		require.Zero(t, s.ReadAhead(int64(len(rest))), "all is body")
		require.EqualValues(t, len(rest)-4+budget.HeaderLineBytes, s.ReadAhead(4))
		require.EqualValues(t, len(rest)+budget.HeaderLineBytes, s.ReadAhead(-1))
		s.Next()
		require.Zero(t, s.Bytes)
	}
	var encrypted budget.HeaderScan
	require.Greater(t, encrypted.Add([]byte("\x16\x03\x01")), int64(3*budget.HeaderLineBytes/4), "as if it had the shortest lines")
	require.True(t, encrypted.Encrypted())
}
