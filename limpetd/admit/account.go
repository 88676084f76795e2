package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	// burstTime is the time whose worth of a limit may be lent at once. Of small
	// limits a second's worth may be, up to smallBurst requests.
	burstTime  = 500 * time.Millisecond
	smallBurst = 4
	// settleTime is how long a new keeper of a limit lends safePart of it only.
	settleTime = 10 * time.Second
	// asksPerRequest and leastAsks bound the rate at which daemons that were
	// lent nothing ask again: asksPerRequest times the limit, leastAsks a second
	// at least.
	asksPerRequest = 2
	leastAsks      = 10
	// maxEmptyTime is the longest time after which such a daemon asks again.
	maxEmptyTime = 10 * time.Second
)

// account is the limit of a caller at its keeper. The zero value is full.
type account struct {
	tokens float64
	at     time.Time
	// settled is when the whole limit is lent.
	settled time.Time
	// next is when the next daemon that is lent nothing is to ask again.
	next time.Time
}

// begin empties the account but for one request.
func (a *account) begin(now time.Time) {
	a.tokens, a.at, a.settled = 1, now, now.Add(settleTime)
}

// rate returns the requests a second that are lent now.
func (a *account) rate(now time.Time, perSecond float64, most bool) float64 {
	if !most || now.Before(a.settled) {
		return perSecond * safePart
	}
	return perSecond
}

// lend lends up to want requests of a limit, a burst at most, and in the long run
// safePart of it unless most daemons are heard.
func (a *account) lend(now time.Time, perSecond float64, want int, most bool) member.Loan {
	burst := max(perSecond*burstTime.Seconds(), min(perSecond, smallBurst), 1)
	if a.at.IsZero() {
		a.tokens, a.at = burst, now
	}
	perSecond = a.rate(now, perSecond, most)
	if d := now.Sub(a.at); d > 0 {
		a.tokens = min(a.tokens+perSecond*d.Seconds(), burst)
		a.at = now
	}
	granted := min(max(want, 1), int(a.tokens))
	if granted > 0 {
		a.tokens -= float64(granted)
		return member.Loan{Granted: granted}
	}
	return member.Loan{After: a.after(now, perSecond)}
}

// after returns the time after which a daemon that is lent nothing asks again.
// Daemons ask one after the other, so that their number does not matter.
func (a *account) after(now time.Time, perSecond float64) time.Duration {
	earliest := now.Add(seconds((1 - a.tokens) / perSecond))
	if a.next.Before(earliest) {
		a.next = earliest
	}
	after := min(a.next.Sub(now), maxEmptyTime)
	if after < maxEmptyTime {
		a.next = a.next.Add(seconds(1 / max(asksPerRequest*perSecond, leastAsks)))
	}
	return after
}
