package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestWaitersAreSortedByPriorityOfOrganisation guards against waiting calls that are sorted by their route's priority
// although their organisation has one.
func TestWaitersAreSortedByPriorityOfOrganisation(t *testing.T) {
	start := time.Unix(1000, 0)
	waiter := func(route int, o *layout.Organisation) *sched.Waiter {
		return &sched.Waiter{Call: &sched.Call{Route: &layout.Route{Priority: route, Expectation: time.Minute}, Organisation: o, Arrived: start}}
	}
	low := waiter(0, &layout.Organisation{Priority: 3, HasPriority: true})
	usual := waiter(2, &layout.Organisation{Priority: 9})
	none := waiter(1, nil)
	urgent := waiter(5, &layout.Organisation{HasPriority: true})
	list := []*sched.Waiter{low, usual, none, urgent}
	sched.SortWaiters(list, start)
	require.Equal(t, []*sched.Waiter{urgent, none, usual, low}, list)
}
