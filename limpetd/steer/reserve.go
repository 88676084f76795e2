package steer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// errNoSteerer means that there is no steerer to ask.
var errNoSteerer = status.Error(codes.Unavailable, "no link to a steerer")

// Reserve asks the steerer for time of an engine. It returns an error if there is no
// link to one or it does not answer within reserveTimeout.
func (s *Steerer) Reserve(ctx context.Context, a sched.Ask) (sched.Grant, error) {
	if s.Holds() {
		return s.deps.Listener.Reserve(a), nil
	}
	s.mu.Lock()
	peer, muted := s.peer, time.Now().Before(s.mute)
	s.mu.Unlock()
	if peer == nil || muted {
		return sched.Grant{}, errNoSteerer
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var g sched.Grant
	err := peer.Invoke(ctx, askPath, &a, &g)
	s.asked(err)
	return g, err
}

// asked notes whether an ask was answered.
func (s *Steerer) asked(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.misses = 0
		return
	}
	s.deps.Scope.Counter("asks_unanswered").Inc(1)
	if s.misses++; s.misses >= reserveMisses {
		s.misses, s.mute = 0, time.Now().Add(reservePause)
	}
}

// connected sets the connection over which the steerer is asked.
func (s *Steerer) connected(conn *grpc.ClientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peer, s.misses, s.mute = conn, 0, time.Time{}
}

// reserve answers the ask of another daemon.
func (s *Steerer) reserve(a sched.Ask) (sched.Grant, error) {
	if !s.Holds() {
		return sched.Grant{}, errNotSteerer
	}
	return s.deps.Listener.Reserve(a), nil
}

// Sampled notes how fast an engine read a prompt, for the next report.
func (s *Steerer) Sampled(sample sched.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.counts.samples) < maxSamples {
		s.counts.samples = append(s.counts.samples, sample)
	}
}

// Streamed notes that a stream ended, and whether it had too long a pause, for the next
// report.
func (s *Steerer) Streamed(service string, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.counts.streams[service]
	n.Ended++
	if paused {
		n.Paused++
	}
	s.counts.streams[service] = n
}
