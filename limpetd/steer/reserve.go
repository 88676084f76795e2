package steer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// errNoHolder means that no reservation request can be sent to a lease holder.
var errNoHolder = status.Error(codes.Unavailable, "no link to a lease holder")

// Reserve requests time of an engine from the lease holder, which may be this daemon. It
// returns an error if there is no link to a lease holder, if requests are paused after
// failures, or if the lease holder does not answer within reserveTimeout. A request that charges a quota is not paused, and
// waits for chargeTimeout, unless the lease holder has sent no update for silentHolder.
func (s *Controller) Reserve(ctx context.Context, a sched.ReservationRequest) (sched.Reservation, error) {
	if s.IsLeaseHolder() {
		return s.reserve(a), nil
	}
	s.mu.Lock()
	conn, paused, silent := s.holderConn, time.Now().Before(s.reserveAfter), time.Since(s.lastUpdate) > silentHolder
	s.mu.Unlock()
	timeout := reserveTimeout
	if a.Charge > 0 {
		// Without an answer, most calls of the organisation are refused.
		timeout, paused = chargeTimeout, silent
	}
	if conn == nil || paused {
		return sched.Reservation{}, errNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var g sched.Reservation
	err := conn.Invoke(ctx, reservePath, &a, &g)
	s.recordReserve(err)
	return g, err
}

// recordReserve records the outcome of a reservation request, and pauses requests after
// maxReserveFailures consecutive failures.
func (s *Controller) recordReserve(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.reserveFailures = 0
		return
	}
	s.deps.Scope.Counter("asks_unanswered").Inc(1)
	if s.reserveFailures++; s.reserveFailures >= maxReserveFailures {
		s.reserveFailures, s.reserveAfter = 0, time.Now().Add(reservePause)
	}
}

// setHolderConn sets the connection to the lease holder; nil if there is none.
func (s *Controller) setHolderConn(conn *grpc.ClientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holderConn, s.reserveFailures, s.reserveAfter = conn, 0, time.Time{}
}

// handleReserve answers the reservation request of another daemon.
func (s *Controller) handleReserve(a sched.ReservationRequest) (sched.Reservation, error) {
	if !s.IsLeaseHolder() {
		return sched.Reservation{}, errNotHolder
	}
	return s.reserve(a), nil
}

// RecordSample adds a measurement of the speed of a server to the next report. A rejection, which takes no time, is reported
// at once, since the lease holder would grant the server's slots to further calls.
func (s *Controller) RecordSample(sample sched.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.nextReport.samples) < maxSamples {
		s.nextReport.samples = append(s.nextReport.samples, sample)
	}
	if sample.Took == 0 && sample.Model == "" {
		notify(s.reportNow)
	}
}

// RecordStream adds a stream that ended to the next report. paused indicates whether the
// stream had too long a pause.
func (s *Controller) RecordStream(service string, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nextReport.streams[service]
	n.Ended++
	if paused {
		n.Paused++
	}
	s.nextReport.streams[service] = n
}
