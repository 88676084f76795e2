package crash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRememberedPartsAreBounded guards against memory that grows with the parts of sound calls.
func TestRememberedPartsAreBounded(t *testing.T) {
	b := newBench()
	for i := range uint64(5 * maxRecent) {
		b.ledger.Remember([]uint64{system, i}, b.now)
	}
	require.LessOrEqual(t, len(b.ledger.recent)+len(b.ledger.older), 2*maxRecent+2)
	require.True(t, b.ledger.Remembers(system), "it is used all the time")
}

// TestCallsWithOneIDAreTwoSuspects guards against a caller that hides a call behind the id of another one.
func TestCallsWithOneIDAreTwoSuspects(t *testing.T) {
	b := newBench()
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, Suspect{Call: 1, Parts: []uint64{other}}, Suspect{Call: 1, Parts: []uint64{bad}, Begun: true})
	}
	require.Equal(t, Blocked, b.verdict(bad))
}

// TestLedgerIsBounded guards against memory that grows with what callers send.
func TestLedgerIsBounded(t *testing.T) {
	b := newBench()
	long := make([]uint64, maxParts+8)
	for i := range maxEnds + 8 {
		for k := range long {
			long[k] = uint64(i*len(long) + k)
		}
		var suspects []Suspect
		for range 4 {
			suspects = append(suspects, b.begun(0, long...))
		}
		b.end(string(rune('a'+i)), time.Second, suspects...)
		b.answer(long...)
	}
	var short []Suspect
	for i := range 2 * maxSuspects {
		short = append(short, b.begun(0, uint64(i)))
	}
	b.end("short", time.Second, short...)
	require.LessOrEqual(t, len(b.ledger.ends), maxEnds)
	require.LessOrEqual(t, len(b.ledger.answers), maxAnswers)
	for _, e := range b.ledger.ends {
		require.LessOrEqual(t, len(e.suspects), maxSuspects)
		for _, s := range e.suspects {
			require.LessOrEqual(t, len(s.Parts), maxParts)
		}
	}
}

// TestManySuspectsSettle guards against ledgers that send the same facts to each other forever, because
// each keeps other suspects of an end.
func TestManySuspectsSettle(t *testing.T) {
	now := time.Unix(1000, 0)
	one, two := NewLedger(), NewLedger()
	for i, l := range []*Ledger{one, two} {
		var suspects []Suspect
		for k := range maxSuspects {
			suspects = append(suspects, Suspect{Call: uint64(2*k + i), Parts: []uint64{uint64(k)}, Begun: true})
		}
		l.RecordEnd(End{Server: "a", Suspects: suspects}, now, now)
	}
	var sentOne, sentTwo int64
	for range 3 {
		var f Facts
		f, sentOne = one.Since(sentOne, now), one.Version()
		two.Merge(f, now)
		f, sentTwo = two.Since(sentTwo, now), two.Version()
		one.Merge(f, now)
	}
	f := one.Since(sentOne, now)
	require.True(t, f.Empty())
}
