package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestRejectionsAreReportedAtOnce guards against a lease holder that grants the slots of a full server until the next
// regular report.
func TestRejectionsAreReportedAtOnce(t *testing.T) {
	s := &Controller{nextReport: newReportBuilder(), reportNow: make(chan struct{}, 1)}
	s.RecordSample(sched.Sample{Service: "plain", Server: "p", Took: time.Millisecond})
	require.Empty(t, s.reportNow)
	s.RecordSample(sched.Sample{Service: "plain", Server: "p"})
	require.Len(t, s.reportNow, 1)
}
