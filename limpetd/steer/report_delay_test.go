package steer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamsAreReportedSoon guards against streams of several software versions that nobody knows after all daemons have
// ended, and against too many reports for the lease holder of a large fleet.
func TestStreamsAreReportedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			daemons int
			began   bool
			want    time.Duration
		}{{6, false, reportPeriod}, {6, true, 50 * time.Millisecond}, {75, true, 150 * time.Millisecond}, {195, true, reportPeriod}} {
			s := &Controller{reportNow: make(chan struct{}, 1), streamBegan: make(chan struct{}, 1), members: make([]Member, c.daemons)}
			if c.began {
				s.ReportStream()
				s.ReportStream()
			}
			since := time.Now()
			s.waitForReport(t.Context())
			require.Equal(t, c.want, time.Since(since), c)
			since = time.Now()
			s.waitForReport(t.Context())
			require.Equal(t, reportPeriod, time.Since(since), "a report for each start")
		}
	})
}
