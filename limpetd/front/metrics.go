package front

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// metrics holds the counters and histograms of a Front.
type metrics struct {
	calls       tally.Counter
	served      tally.Counter
	refused     tally.Counter
	failed      tally.Counter
	callersGone tally.Counter
	retried     tally.Counter
	// retriesAllowed and retriesDenied count the decisions of the retry budgets.
	retriesAllowed, retriesDenied tally.Counter
	// unanswered counts the attempts that ended before their server had answered, so that it may still read the call.
	unanswered tally.Counter
	resumed    tally.Counter
	// broken counts the responses that servers broke off, endedWithServer those of them that ended properly, by servers
	// that had ended. notContinued counts the responses without events that were to continue a stream.
	broken, endedWithServer, notContinued tally.Counter
	// enginesEnded counts the engines that ended while calls of this daemon ran on them.
	enginesEnded tally.Counter
	// partsBlocked counts the blocks of prompt parts, promptsRefused the calls that were not sent
	// because of a block or a probation.
	partsBlocked, promptsRefused tally.Counter
	// backoffs counts the responses of servers that want no calls for a time, invalidBackoffs
	// those whose time is malformed or out of range.
	backoffs, invalidBackoffs tally.Counter
	// limits counts the changes of the limits that servers name, invalidLimits the values that are
	// malformed or out of range.
	limits, invalidLimits tally.Counter
	// invalidPaces counts the paces of servers that are malformed or out of range.
	invalidPaces tally.Counter
	// crossings counts the calls that were sent to another data centre, by reason.
	crossings map[sched.Crossing]tally.Counter
	// brittle counts the changes of whether servers are brittle, rejections the calls that brittle servers
	// rejected.
	brittle, rejections tally.Counter
	// overQuota counts the calls that were refused because their organisations had used their quotas, quotaUnknown
	// those refused because the lease holder, which keeps the quotas, did not answer.
	overQuota, quotaUnknown tally.Counter
	// firstEvent, total and maxPause measure answered calls: the time to the first event or to
	// the response, the time to the end of the response, and the longest pause between events.
	firstEvent tally.Histogram
	total      tally.Histogram
	maxPause   tally.Histogram
	// wait measures the time from the arrival of a call until it is sent.
	wait tally.Histogram
	// granted counts the reservations that this daemon granted as the lease holder, ungranted those that it did not
	// grant, by reason.
	granted   tally.Counter
	ungranted [sched.Reasons]tally.Counter
}

// recordReservation counts the answer to a request for a reservation.
func (m *metrics) recordReservation(r sched.Reservation, reason sched.Reason) {
	if r.Verdict == sched.Chosen {
		m.granted.Inc(1)
		return
	}
	m.ungranted[reason].Inc(1)
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("front")
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)
	m := metrics{
		calls:           s.Counter("calls"),
		served:          s.Counter("served"),
		refused:         s.Counter("refused"),
		failed:          s.Counter("failed"),
		callersGone:     s.Counter("callers_left"),
		retried:         s.Counter("repeated"),
		retriesAllowed:  s.Counter("retries_allowed"),
		retriesDenied:   s.Counter("retries_denied"),
		unanswered:      s.Counter("unanswered"),
		resumed:         s.Counter("resumed"),
		broken:          s.Counter("broken"),
		endedWithServer: s.Counter("ended_with_server"),
		notContinued:    s.Counter("not_continued"),
		enginesEnded:    s.Counter("engines_ended"),
		partsBlocked:    s.Counter("parts_blocked"),
		promptsRefused:  s.Counter("prompts_refused"),
		backoffs:        s.Counter("backoffs"),
		invalidBackoffs: s.Counter("backoffs_invalid"),
		limits:          s.Counter("limits"),
		invalidLimits:   s.Counter("limits_invalid"),
		invalidPaces:    s.Counter("paces_invalid"),
		crossings:       newCrossings(s),
		brittle:         s.Counter("brittle"),
		rejections:      s.Counter("brittle_rejections"),
		overQuota:       s.Counter("over_quota"),
		quotaUnknown:    s.Counter("quota_unknown"),
		firstEvent:      s.Histogram("first_event", buckets),
		total:           s.Histogram("answer", buckets),
		maxPause:        s.Histogram("pause", buckets),
		wait:            s.Histogram("wait", buckets),
		granted:         s.Counter("reservations"),
	}
	for reason := range sched.Reasons {
		m.ungranted[reason] = s.Tagged(map[string]string{"reason": reason.String()}).Counter("no_reservation")
	}
	return m
}
