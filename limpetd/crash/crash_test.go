package crash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Parts of the prompts of the tests: one that all prompts share, one that ends engines, and others.
const (
	system uint64 = 1
	bad    uint64 = 2
	other  uint64 = 3
)

// bench records ends and answers in a ledger at times that it advances.
type bench struct {
	ledger *Ledger
	now    time.Time
	calls  uint64
	// leads is whether the daemon tries calls after a block.
	leads bool
}

func newBench() *bench { return &bench{ledger: NewLedger(), now: time.Unix(1000, 0)} }

// end records that an engine ended, after a pause since the last one.
func (b *bench) end(server string, pause time.Duration, suspects ...Suspect) {
	b.now = b.now.Add(pause)
	b.ledger.RecordEnd(End{Server: server, Suspects: suspects}, b.now, b.now)
}

// answer records an answer that has just gone on for survivalAge.
func (b *bench) answer(parts ...uint64) {
	b.now = b.now.Add(survivalAge)
	b.ledger.RecordAnswer(parts, b.now.Add(-survivalAge), b.now)
}

// begun returns a call whose response began an age before the end, and waiting one that waited.
func (b *bench) begun(age time.Duration, parts ...uint64) Suspect {
	b.calls++
	return Suspect{Call: b.calls, Parts: parts, Begun: true, Age: age}
}

func (b *bench) waiting(parts ...uint64) Suspect {
	b.calls++
	return Suspect{Call: b.calls, Parts: parts}
}

func (b *bench) verdict(parts ...uint64) Verdict { return b.check(parts...).Verdict }

func (b *bench) check(parts ...uint64) Decision {
	b.ledger.Expire(b.now)
	return b.ledger.Check(parts, b.leads, b.now)
}

// TestPartThatEndsEnginesIsBlocked follows the verdict on a part through three ends, beside calls with
// the same first part.
func TestPartThatEndsEnginesIsBlocked(t *testing.T) {
	b := newBench()
	for i, want := range []Verdict{Allowed, Probation, Blocked} {
		b.end(string(rune('a'+i)), time.Second, b.begun(40*time.Millisecond, system, bad), b.begun(3*time.Second, system, other), b.waiting(system, other))
		b.answer(system, other)
		require.Equal(t, want, b.verdict(system, bad), i)
		require.Equal(t, Allowed, b.verdict(system, other), i)
	}
	d := b.check(bad, 99)
	require.Equal(t, []uint64{bad}, d.Parts)
	require.Equal(t, []string{"a", "b", "c"}, b.ledger.Blocks()[0].Servers)
	require.Equal(t, blockTerm, d.Until.Sub(b.now.Add(-survivalAge)))
}

// TestEndsOfOneRoundCountOnce guards against blocking the parts that were on the engines of a rack when
// it failed.
func TestEndsOfOneRoundCountOnce(t *testing.T) {
	b := newBench()
	for i := range 8 {
		b.end(string(rune('a'+i)), roundLength/10, b.begun(0, system, other))
	}
	require.Equal(t, Allowed, b.verdict(system, other))
}

// TestAnswerClearsItsParts guards against suspecting a part after an answer to a call with it.
func TestAnswerClearsItsParts(t *testing.T) {
	b := newBench()
	for i := range 6 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, system, other))
		b.answer(system, other)
		require.Equal(t, Allowed, b.verdict(system, other), i)
	}
	for i := range 3 {
		b.end(string(rune('g'+i)), time.Second, b.begun(0, system, other))
	}
	require.Equal(t, Blocked, b.verdict(system, other), "the ends are later than the answers")
}

// TestEarlierAnswerClearsNothing guards against taking an answer that began before a part ended an
// engine for evidence that it does not.
func TestEarlierAnswerClearsNothing(t *testing.T) {
	b := newBench()
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, bad))
		b.ledger.RecordAnswer([]uint64{bad}, time.Unix(1001, 0).Add(-2*survivalAge), b.now)
	}
	require.Equal(t, Blocked, b.verdict(bad))
}

// TestLateAnswerEndsBlock guards against a block that an answer disproves.
func TestLateAnswerEndsBlock(t *testing.T) {
	b := newBench()
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, other))
	}
	require.Equal(t, Blocked, b.verdict(other))
	b.answer(other)
	require.Equal(t, Allowed, b.verdict(other))
}

// TestOldResponsesAreNoSuspects guards against suspecting calls that the engine had answered for long.
func TestOldResponsesAreNoSuspects(t *testing.T) {
	b := newBench()
	for i := range 4 {
		b.end(string(rune('a'+i)), time.Second, b.begun(survivalAge, other))
	}
	require.Equal(t, Allowed, b.verdict(other))
}

// TestWaitingCallsCountLess guards against blocking a part whose calls waited on the engines that
// another part ended, and against ignoring them if no response had begun.
func TestWaitingCallsCountLess(t *testing.T) {
	b := newBench()
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, bad), b.waiting(other))
	}
	require.Equal(t, Blocked, b.verdict(bad))
	require.Equal(t, Allowed, b.verdict(other))
	b = newBench()
	for i := range 5 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, uint64(10+i)), b.waiting(other))
		require.Equal(t, Allowed, b.verdict(other))
	}
	for _, suspect := range []func() Suspect{func() Suspect { return b.waiting(bad) }, func() Suspect { return b.begun(freshAge, bad) }} {
		b = newBench()
		for i := range 5 {
			require.NotEqual(t, Blocked, b.verdict(bad))
			b.end(string(rune('a'+i)), time.Second, suspect())
		}
		require.Equal(t, Blocked, b.verdict(bad))
	}
}

// TestEndIsExplainedOnce guards against blocking a part that happened to begin on three engines that a
// blocked part ended.
func TestEndIsExplainedOnce(t *testing.T) {
	b := newBench()
	b.end("a", time.Second, b.begun(0, bad))
	for i := range 3 {
		b.end(string(rune('b'+i)), time.Second, b.begun(0, bad), b.begun(0, other))
	}
	require.Equal(t, Blocked, b.verdict(bad))
	require.Equal(t, Allowed, b.verdict(other))
}

// TestPartsThatOccurTogetherAreBlockedTogether guards against refusing all calls with a first part that
// has not been cleared yet.
func TestPartsThatOccurTogetherAreBlockedTogether(t *testing.T) {
	b := newBench()
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, system, bad))
	}
	require.Equal(t, Blocked, b.verdict(system, bad))
	require.NotEqual(t, Blocked, b.verdict(system, other))
	b.answer(system, other)
	require.Equal(t, Blocked, b.verdict(bad, other))
	b = newBench()
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, system, bad))
		if i == 0 {
			b.answer(system, other)
		}
	}
	require.Equal(t, Blocked, b.verdict(bad, other), "the first part was cleared of one end")
}

// TestRarestPartIsBlocked guards against blocking the part that all prompts share if the part that ends
// engines has the same evidence.
func TestRarestPartIsBlocked(t *testing.T) {
	b := newBench()
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, system, bad), b.begun(0, system, uint64(10+i)))
	}
	require.Equal(t, Blocked, b.verdict(system, bad))
	require.NotEqual(t, Blocked, b.verdict(system, other))
}

// TestEngineThatAnswersHasNotEnded guards against counting engines that one daemon can't reach.
func TestEngineThatAnswersHasNotEnded(t *testing.T) {
	b := newBench()
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, other))
	}
	before, later := b.now.Add(-time.Second), b.now.Add(resendAge)
	b.ledger.RecordAlive("c", 0, before, b.now.Add(resendAge/2), later)
	require.Equal(t, Blocked, b.verdict(other), "its bytes were on their way")
	b.ledger.RecordAlive("c", 1, before, later, later)
	require.Equal(t, Blocked, b.verdict(other), "another start")
	b.ledger.RecordAlive("c", 0, b.now, later, later)
	require.Equal(t, Blocked, b.verdict(other), "a connection that was opened after the end")
	b.ledger.RecordAlive("c", 0, before, later, later)
	require.Equal(t, Probation, b.verdict(other))
}

// TestBlockEnds follows a block to its end: one more end blocks the part again, for twice as long, and
// an answer frees it.
func TestBlockEnds(t *testing.T) {
	b := newBench()
	b.leads = true
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, bad))
	}
	b.now = b.now.Add(blockTerm - time.Second)
	require.Equal(t, Blocked, b.verdict(bad))
	b.now = b.now.Add(time.Second)
	require.Equal(t, Probation, b.verdict(bad))
	b.end("d", time.Second, b.begun(0, bad))
	require.Equal(t, 2*blockTerm, b.check(bad).Until.Sub(b.now))
	b.now = b.now.Add(2 * blockTerm)
	require.Equal(t, Probation, b.verdict(bad))
	b.answer(bad)
	require.Equal(t, Allowed, b.verdict(bad))
	b.end("e", time.Second, b.begun(0, bad))
	require.Equal(t, Allowed, b.verdict(bad))
}

// TestOldEvidenceIsDropped guards against blocking a part for rare ends over a long time.
func TestOldEvidenceIsDropped(t *testing.T) {
	b := newBench()
	for i := range 6 {
		b.end(string(rune('a'+i)), blockTerm/2+time.Second, b.begun(0, other))
		require.NotEqual(t, Blocked, b.verdict(other), i)
	}
}

// TestAllowedPartIsNeverBlocked guards against a part that an operator has allowed.
func TestAllowedPartIsNeverBlocked(t *testing.T) {
	b := newBench()
	b.ledger = NewLedger(WithAllowed([]uint64{bad}))
	for i := range 5 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, bad))
	}
	require.Equal(t, Allowed, b.verdict(bad))
}

// TestLedgersAgree merges the facts of ledgers that have each seen one end, in both directions, until
// nothing changes.
func TestLedgersAgree(t *testing.T) {
	now := time.Unix(1000, 0)
	ledgers := []*Ledger{NewLedger(), NewLedger(), NewLedger()}
	for i, l := range ledgers {
		at := now.Add(time.Duration(i) * time.Second)
		l.RecordEnd(End{Server: string(rune('a' + i)), Suspects: []Suspect{{Call: uint64(i), Parts: []uint64{system, bad}, Begun: true}}}, at, at)
	}
	now = now.Add(3 * time.Second)
	ledgers[1].RecordAnswer([]uint64{system}, now.Add(-survivalAge), now)
	sent := make([]int64, len(ledgers))
	rounds := 0
	for changed := true; changed; rounds++ {
		changed = false
		for i, from := range ledgers {
			var facts Facts
			facts, sent[i] = from.Since(sent[i], now), from.Version()
			changed = changed || !facts.Empty()
			for _, to := range ledgers {
				to.Merge(facts, now)
			}
		}
		require.Less(t, rounds, 5)
	}
	for _, l := range ledgers {
		require.Equal(t, Blocked, l.Check([]uint64{system, bad}, true, now).Verdict)
		require.Equal(t, Allowed, l.Check([]uint64{system}, true, now).Verdict)
	}
}

// TestStartingDaemonKnowsBlocks guards against a new series of ends after a restart, during a block and
// after it.
func TestStartingDaemonKnowsBlocks(t *testing.T) {
	b := newBench()
	b.leads = true
	for i := range 3 {
		b.end(string(rune('a'+i)), blockTerm/3, b.begun(0, system, bad))
	}
	b.answer(system)
	b.now = b.now.Add(blockTerm - 2*time.Second)
	restarted := NewLedger()
	restarted.Merge(b.ledger.Lasting(b.now), b.now)
	require.Equal(t, Blocked, restarted.Check([]uint64{system, bad}, true, b.now).Verdict)
	require.Equal(t, Allowed, restarted.Check([]uint64{system, other}, true, b.now).Verdict)
	b.now = b.now.Add(2 * time.Second)
	require.Equal(t, Probation, b.verdict(system, bad))
	restarted = NewLedger()
	restarted.Merge(b.ledger.Lasting(b.now), b.now)
	require.Equal(t, Probation, restarted.Check([]uint64{bad}, true, b.now).Verdict)
}

// TestFactsOfEndedBlockDoNotBlockAgain guards against a daemon that was cut off and still has the
// evidence of a block that has ended.
func TestFactsOfEndedBlockDoNotBlockAgain(t *testing.T) {
	b := newBench()
	b.leads = true
	for i := range 3 {
		b.end(string(rune('a'+i)), time.Second, b.begun(0, bad))
	}
	old := b.ledger.Since(0, b.now)
	b.now = b.now.Add(blockTerm)
	require.Equal(t, Probation, b.verdict(bad))
	for i := range old.Ends {
		old.Ends[i].Age += blockTerm
	}
	b.ledger.Merge(old, b.now)
	require.Equal(t, Probation, b.verdict(bad))
}

// TestOutageOfAllEnginesBlocksSharedPartBriefly guards against refusing all calls after engines have ended one
// after the other, for another reason, until none was left to answer a call: with the first part that
// all prompts share, and whose calls were answered before.
func TestOutageOfAllEnginesBlocksSharedPartBriefly(t *testing.T) {
	b := newBench()
	b.ledger.Remember([]uint64{system}, b.now)
	for i := range 8 {
		b.end(string(rune('a'+i)), 2*roundLength, b.begun(0, system, uint64(10+i)), b.begun(0, system, uint64(30+i)))
	}
	require.Equal(t, Blocked, b.verdict(system, other))
	b.now = b.now.Add(knownTerm)
	require.Equal(t, Blocked, b.verdict(system, other), "another daemon tries")
	b.leads = true
	require.Equal(t, Probation, b.verdict(system, other))
	b.answer(system)
	b.leads = false
	require.Equal(t, Allowed, b.verdict(system, other))
}

// TestKnownPartThatEndsEnginesIsBlocked guards against taking a part whose calls were answered before for
// sound forever: each trial that ends an engine blocks it for twice as long.
func TestKnownPartThatEndsEnginesIsBlocked(t *testing.T) {
	b := newBench()
	b.leads = true
	b.ledger.Remember([]uint64{system, bad}, b.now)
	for i := range 4 {
		require.NotEqual(t, Blocked, b.verdict(system, bad), i)
		b.end(string(rune('a'+i)), time.Second, b.begun(0, system, bad))
		b.answer(system, other)
	}
	start, trials := b.now, 0
	for b.now.Sub(start) < 100*time.Second {
		b.now = b.now.Add(500 * time.Millisecond)
		if b.verdict(system, bad) == Blocked {
			continue
		}
		trials++
		b.end(string(rune('m'+trials)), 50*time.Millisecond, b.begun(0, system, bad))
		b.answer(system, other)
	}
	require.LessOrEqual(t, trials, 3)
	require.Equal(t, Allowed, b.verdict(system, other))
}

// TestPartsWithoutAnswersAreBlockedFirst guards against blocking a part that was answered before for ends that
// a new part explains.
func TestPartsWithoutAnswersAreBlockedFirst(t *testing.T) {
	b := newBench()
	b.ledger.Remember([]uint64{system}, b.now)
	b.end("a", time.Second, b.begun(0, system, other))
	for i := range 3 {
		b.end(string(rune('b'+i)), time.Second, b.begun(0, system, bad))
	}
	require.Equal(t, Blocked, b.verdict(bad, system))
	require.NotEqual(t, Blocked, b.verdict(system, other))
	merged := newBench()
	merged.now = b.now
	merged.ledger.Merge(b.ledger.Since(0, b.now), b.now)
	require.NotEqual(t, Blocked, merged.verdict(system, other))
}
