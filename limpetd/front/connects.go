package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// connectTracker logs when this daemon can't connect to a server, and when it can again. The logs of
// several daemons show whether a server has ended or a daemon has lost its way to it.
type connectTracker struct {
	log *zap.Logger

	mu sync.Mutex
	// failing holds the servers to which the last connect failed, by ID.
	failing map[string]failedConnects
}

// failedConnects are the connects to a server that failed one after the other.
type failedConnects struct {
	since time.Time
	count int
}

func newConnectTracker(log *zap.Logger) *connectTracker {
	return &connectTracker{log: log, failing: map[string]failedConnects{}}
}

// record records the result of a connect to a server.
func (t *connectTracker) record(s *layout.Server, err error, now time.Time) {
	t.mu.Lock()
	failed, failing := t.failing[s.ID]
	switch {
	case err == nil:
		delete(t.failing, s.ID)
	case !failing:
		t.failing[s.ID] = failedConnects{since: now, count: 1}
	default:
		failed.count++
		t.failing[s.ID] = failed
	}
	t.mu.Unlock()
	switch {
	case err != nil && !failing:
		t.log.Info("server_unreachable", zap.String("server", s.ID), zap.String("address", s.Address), zap.String("how", connectFailure(err)))
	case err == nil && failing:
		t.log.Info("server_reachable", zap.String("server", s.ID), zap.Int("failed", failed.count), zap.Duration("after", now.Sub(failed.since)))
	}
}

// forget drops the servers that are not in a list.
func (t *connectTracker) forget(servers []*layout.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failing) == 0 {
		return
	}
	kept := map[string]failedConnects{}
	for _, s := range servers {
		if f, ok := t.failing[s.ID]; ok {
			kept[s.ID] = f
		}
	}
	t.failing = kept
}

// connectFailure names how a connect failed, for the logs.
func connectFailure(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return err.Error()
}
