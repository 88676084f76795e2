package front

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// invalidPacePeriod is the time between two log lines on invalid paces of a server, which can come with every response.
const invalidPacePeriod = time.Minute

// paceLog holds when an invalid pace of a server was last logged, by server.
type paceLog struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time
}

// due reports whether an invalid pace of a server is to be logged now. It forgets servers of which none was logged within
// invalidPacePeriod.
func (l *paceLog) due(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.loggedAt[id]; ok && now.Sub(at) < invalidPacePeriod {
		return false
	}
	recent := map[string]time.Time{id: now}
	for other, at := range l.loggedAt {
		if other != id && now.Sub(at) < invalidPacePeriod {
			recent[other] = at
		}
	}
	l.loggedAt = recent
	return true
}

// recordInvalidPace counts and logs a pace of a server that is malformed or out of range.
func (f *Front) recordInvalidPace(s *layout.Server, value string) {
	f.metrics.invalidPaces.Inc(1)
	if f.paceLog.due(s.ID, time.Now()) {
		f.deps.Log.Warn("pace_invalid", zap.String("server", s.ID), zap.String("value", value))
	}
}

// pace returns the pace that the server reports; 0 if it reports none.
func (r *ResponseHeaders) pace() int {
	if r.Load == nil {
		return 0
	}
	return r.Load.Pace
}
