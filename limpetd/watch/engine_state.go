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
	// staleAfter is the time without a newer report after which an engine counts
	// as stale.
	staleAfter = 4 * time.Second
	// brokenAfterFailures is the number of consecutive failed reads after which
	// an engine counts as broken.
	brokenAfterFailures = 2
	// maxReportLag is the longest accepted time between the measurement and the
	// reception of a report. A longer lag means that the clocks of the engine and
	// of this daemon differ.
	maxReportLag = 5 * time.Second
	// promptRateDecay is the part of the known prompt rate that is kept when a newer
	// report contains a lower rate. A report contains the recent rate, which is low on
	// an idle engine; the highest rate comes close to the engine's speed.
	promptRateDecay = 0.995
)

// engineState holds the newest report of an engine and the state of its reads.
type engineState struct {
	vm store.VM
	// firstSeen is the time when the VM list first contained the engine.
	firstSeen time.Time
	// reported indicates whether a report was received, readLocally whether this
	// daemon itself read the newest report from the engine.
	reported, readLocally bool
	report                engine.Report
	// measuredAt is the time of the report's measurement in this daemon's clock,
	// receivedAt the time of its reception.
	measuredAt, receivedAt time.Time
	// promptRate is the speed of prompt processing in tokens per second.
	promptRate float64
	// failures counts consecutive failed reads.
	failures int
	// nextRead is the time of the next read, reading indicates whether a read is
	// queued or in flight.
	nextRead time.Time
	reading  bool
	// takeover indicates whether this daemon reads the engine in place of the
	// assigned readers.
	takeover    bool
	prefixIndex prefixIndex
	// remoteSlots maps each slot that daemons of another data centre returned to
	// the time of the latest such answer. It is nil if the newest report lists all
	// slots of the engine.
	remoteSlots map[envdoc.Slot]time.Time
}

// update replaces the current report by r if r is newer, and reports whether it
// did. readLocally indicates whether this daemon read r from the engine.
func (s *engineState) update(r engine.Report, now time.Time, readLocally bool) bool {
	if readLocally {
		s.failures = 0
	}
	if s.reported && !newer(r, s.report) {
		return false
	}
	if r.Instance != s.report.Instance {
		s.prefixIndex.drop()
		s.promptRate = 0
	}
	if slices.Equal(r.Slots, s.report.Slots) {
		// Reusing the array lets route.NewView detect unchanged slots quickly.
		r.Slots = s.report.Slots
	}
	s.reported, s.readLocally, s.report, s.receivedAt = true, readLocally, r, now
	s.measuredAt, s.remoteSlots = measurementTime(r.MeasuredAt, now), nil
	s.promptRate = max(s.promptRate*promptRateDecay, r.PromptTokensPerSecond)
	return true
}

// newer reports whether r was made after current. Sequence numbers of different
// engine processes are not comparable; measurement times are, since both come from
// the clock of one VM.
func newer(r, current engine.Report) bool {
	if r.Instance == current.Instance {
		return r.Sequence > current.Sequence
	}
	return r.MeasuredAt.After(current.MeasuredAt)
}

// measurementTime returns the time of a measurement in this daemon's clock. It
// returns the time of reception if the engine's clock is ahead of this daemon's or
// the lag exceeds maxReportLag.
func measurementTime(at, received time.Time) time.Time {
	if at.After(received) || received.Sub(at) > maxReportLag {
		return received
	}
	return at
}

// recordFailure counts a failed read and reports whether the engine became broken
// with this failure.
func (s *engineState) recordFailure() bool {
	s.failures++
	return s.failures == brokenAfterFailures
}

// health returns the health of the engine for the view.
func (s *engineState) health(now time.Time) route.Health {
	switch {
	case s.vm.State == store.StateLeaving || s.report.Leaving:
		return route.HealthLeaving
	case s.failures >= brokenAfterFailures:
		return route.HealthBroken
	case now.Sub(s.receivedAt) > staleAfter:
		return route.HealthStale
	}
	return route.HealthFresh
}
