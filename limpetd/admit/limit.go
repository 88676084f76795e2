package admit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	// evenPart is the part of a limit that is split evenly over the daemons;
	// the rest is split by recent use.
	evenPart = 0.2
	// toldFor is how long what a peer told is believed.
	toldFor = 20 * time.Second
	// limitPeriod is the time between two adjustments of a caller's share.
	limitPeriod = time.Second
)

// limits are the request limits of callers. Each daemon grants its share.
type limits struct {
	callers map[string]*callerLimit
	told    map[string]toldUse
}

// callerLimit is the share of one caller's limit.
type callerLimit struct {
	perSecond float64
	bucket    *rate.Limiter
	use       meter
	adjusted  time.Time
}

// toldUse is the use that a peer told.
type toldUse struct {
	at  time.Time
	use []member.CallerUse
}

// newLimits returns limits for no caller.
func newLimits() *limits {
	return &limits{callers: make(map[string]*callerLimit), told: make(map[string]toldUse)}
}

// set takes the limits of a document.
func (l *limits) set(callers []envdoc.Caller) {
	old := l.callers
	l.callers = make(map[string]*callerLimit, len(callers))
	for _, c := range callers {
		if c.RequestsPerSecond <= 0 {
			continue
		}
		k := old[c.Name]
		if k == nil {
			k = &callerLimit{}
		}
		if k.perSecond != c.RequestsPerSecond {
			k.perSecond, k.adjusted = c.RequestsPerSecond, time.Time{}
		}
		l.callers[c.Name] = k
	}
}

// allow counts a request of a caller and tells whether it is within the limit.
// If not it returns the time after which the next one is.
func (l *limits) allow(now time.Time, caller string, daemons int) (bool, time.Duration) {
	k := l.callers[caller]
	if k == nil {
		return true, 0
	}
	k.use.add(now, 1)
	if now.Sub(k.adjusted) >= limitPeriod {
		k.adjust(now, l.share(now, caller, k, daemons))
	}
	if k.bucket.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - k.bucket.TokensAt(now)
	return false, seconds(missing / float64(k.bucket.Limit()))
}

// share returns this daemon's part of a caller's limit.
func (l *limits) share(now time.Time, caller string, k *callerLimit, daemons int) float64 {
	own := k.use.perSecond(now)
	total := own
	for _, t := range l.told {
		if now.Sub(t.at) > toldFor {
			continue
		}
		for _, u := range t.use {
			if u.Caller == caller {
				total += u.PerSecond
			}
		}
	}
	even := 1 / float64(max(daemons, 1))
	if total <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/total
}

// adjust sets the rate of a share. A second's worth may come at once, and one
// request always.
func (k *callerLimit) adjust(now time.Time, share float64) {
	perSecond := k.perSecond * share
	burst := max(int(perSecond+0.5), 1)
	k.adjusted = now
	if k.bucket == nil {
		k.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	k.bucket.SetLimitAt(now, rate.Limit(perSecond))
	k.bucket.SetBurstAt(now, burst)
}

// receive takes the use that a peer told.
func (l *limits) receive(now time.Time, daemon string, use []member.CallerUse) {
	for name, t := range l.told {
		if now.Sub(t.at) > toldFor {
			delete(l.told, name)
		}
	}
	l.told[daemon] = toldUse{at: now, use: use}
}

// used returns the recent use of the callers that have a limit.
func (l *limits) used(now time.Time) []member.CallerUse {
	var use []member.CallerUse
	for name, k := range l.callers {
		if r := k.use.perSecond(now); r > minTold {
			use = append(use, member.CallerUse{Caller: name, PerSecond: r})
		}
	}
	return use
}
