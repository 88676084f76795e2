package sched

import "time"

// budgetBuckets is the number of parts that a window of a budget is counted in.
const budgetBuckets = 10

// budgetShare is the part of the bound that is used; the rest covers calls that
// other daemons count in another part of the window.
const budgetShare = 0.75

// budget counts the calls and repeats of a service in a sliding window.
type budget struct {
	calls, repeats [budgetBuckets]int
	at             int64
}

// turn moves the window to now.
func (g *budget) turn(window time.Duration, now time.Time) int {
	step := now.UnixNano() / int64(window/budgetBuckets)
	if step-g.at >= budgetBuckets || g.at > step {
		g.calls, g.repeats = [budgetBuckets]int{}, [budgetBuckets]int{}
		g.at = step
	}
	for ; g.at < step; g.at++ {
		i := (g.at + 1) % budgetBuckets
		g.calls[i], g.repeats[i] = 0, 0
	}
	return int(step % budgetBuckets)
}

func (b *Book) budget(service string) *budget {
	g := b.budgets[service]
	if g == nil {
		g = &budget{}
		b.budgets[service] = g
	}
	return g
}

// Arrived counts a call that a caller sent for a service.
func (b *Book) Arrived(service string, now time.Time) {
	g := b.budget(service)
	g.calls[g.turn(b.settings.RetryWindow, now)]++
}

// Repeat tells whether a call may be sent to a service once more, and counts it if
// so. Each daemon takes its part of the bound over all daemons.
func (b *Book) Repeat(service string, now time.Time) bool {
	if !b.CanRepeat(service, now) {
		return false
	}
	g := b.budget(service)
	g.repeats[g.turn(b.settings.RetryWindow, now)]++
	return true
}

// CanRepeat tells whether a call may be sent to a service once more.
func (b *Book) CanRepeat(service string, now time.Time) bool {
	g := b.budget(service)
	g.turn(b.settings.RetryWindow, now)
	calls, repeats := 0, 0
	for i := range g.calls {
		calls += g.calls[i]
		repeats += g.repeats[i]
	}
	most := b.settings.RetryRatio*float64(calls) + b.settings.RetrySlack/float64(b.daemons)
	return float64(repeats+1) <= budgetShare*most
}
