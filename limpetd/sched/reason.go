package sched

import "time"

// Reason is why a request got no reservation.
type Reason int

// The reasons.
const (
	// NoTime means that all engines are busy for longer than the call may wait.
	NoTime Reason = iota
	// TooLate means that the call can't be on time any more, and that no engine is idle.
	TooLate
	// LessValue means that there is a shortage, in which calls of more value for their work take the engines' time.
	LessValue
	// NoEngine means that no engine of the model can be used.
	NoEngine
	// Reasons is the number of reasons.
	Reasons
)

// String returns the name of the reason in metrics.
func (r Reason) String() string {
	return [...]string{"no_time", "too_late", "less_value", "no_engine"}[r]
}

// ReasonOf returns why a request that Reserve answered just now got no reservation.
func (b *Balancer) ReasonOf(a *ReservationRequest, g Reservation, now time.Time) Reason {
	switch {
	case g.Verdict != Full:
		return NoEngine
	case a.Model == "":
		return NoTime
	case a.MaxStartDelay <= 0:
		return TooLate
	case b.demandOf(a, now).excess(a.rank()) > 0:
		return LessValue
	}
	return NoTime
}
