package watch

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// staleAfter is the time without a new report after which an engine is
	// stale.
	staleAfter = 4 * time.Second
	// brokenReads is the number of failed reads in a row after which an engine
	// is broken.
	brokenReads = 2
	// maxLag is the largest lag that is believed of a report; beyond it the
	// engine's clock differs from this daemon's.
	maxLag = 5 * time.Second
	// rateDecay is the part of the known prompt rate that is kept when a report
	// shows a lower one. A report tells the recent rate, which is low on an idle
	// engine; the highest one comes close to the engine's speed.
	rateDecay = 0.995
)

// state is what is known of an engine.
type state struct {
	vm store.VM
	// listed is when the VM was seen first.
	listed time.Time
	// known tells that a report was received; read that the newest one was
	// read here.
	known, read bool
	report      engine.Report
	// at is when the report was measured, received when it came.
	at, received time.Time
	promptRate   float64
	// failures counts failed reads in a row.
	failures int
	// due is when the engine is read next; reading that it is being read.
	due     time.Time
	reading bool
	// helping tells that this daemon reads the engine in place of others.
	helping bool
	cache   cache
	// farSlots are the slots that answers of another data centre told, with the
	// time; nil when the newest report is whole.
	farSlots map[envdoc.Slot]time.Time
}

// take takes a report that is newer than the known one and tells whether it was.
func (s *state) take(r engine.Report, now time.Time, read bool) bool {
	if read {
		s.failures = 0
	}
	if s.known && !newer(r, s.report) {
		return false
	}
	if r.Instance != s.report.Instance {
		s.cache.drop()
		s.promptRate = 0
	}
	if slices.Equal(r.Slots, s.report.Slots) {
		// The same array lets the view find out quickly that slots are equal.
		r.Slots = s.report.Slots
	}
	s.known, s.read, s.report, s.received = true, read, r, now
	s.at, s.farSlots = measured(r.At, now), nil
	s.promptRate = max(s.promptRate*rateDecay, r.PromptTokensPerSecond)
	return true
}

// newer tells whether r was made after known. Sequences of different processes
// cannot be compared; their times can, since they come from one VM.
func newer(r, known engine.Report) bool {
	if r.Instance == known.Instance {
		return r.Sequence > known.Sequence
	}
	return r.At.After(known.At)
}

// measured returns the time of a measurement in this daemon's clock.
func measured(at, received time.Time) time.Time {
	if at.After(received) || received.Sub(at) > maxLag {
		return received
	}
	return at
}

// failed notes a failed read and tells whether the engine became broken by it.
func (s *state) failed() bool {
	s.failures++
	return s.failures == brokenReads
}

// health returns how far the engine can be relied on.
func (s *state) health(now time.Time) route.Health {
	switch {
	case s.vm.State == store.StateLeaving || s.report.Leaving:
		return route.HealthLeaving
	case s.failures >= brokenReads:
		return route.HealthBroken
	case now.Sub(s.received) > staleAfter:
		return route.HealthStale
	}
	return route.HealthFresh
}
