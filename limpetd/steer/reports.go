package steer

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/life"
)

// RecordCall records a call and its work in prompt tokens.
func (s *Controller) RecordCall(service, model, adapter string, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.declared(service, model) {
		return
	}
	key := modelKey{service, model, adapter}
	u := s.nextReport.used[key]
	u.Calls++
	u.Work += work
	s.nextReport.used[key] = u
}

// declared reports whether the configuration lets engines of a service load a model. Other
// models are not counted, because callers can name any model.
func (s *Controller) declared(service, model string) bool {
	if s.config == nil {
		return false
	}
	c := s.config.Services[service]
	return c != nil && c.Engines != nil && c.Engines.Model(model) != nil
}

// RequestLoad records a call that waits for a model or adapter to be loaded, and triggers a
// report.
func (s *Controller) RequestLoad(service, model, adapter string) {
	s.mu.Lock()
	declared := s.declared(service, model)
	if declared {
		s.nextReport.waiting[modelKey{service, model, adapter}]++
	}
	s.mu.Unlock()
	if declared {
		notify(s.reportNow)
	}
}

// ReportStream records that a stream began at a service with several software versions, and triggers a report.
func (s *Controller) ReportStream() { notify(s.streamBegan) }

// takeReport returns the report of this daemon since the last call.
func (s *Controller) takeReport() daemonReport {
	own, use := s.deps.Router.OwnLoad(), s.deps.Router.TakeQuotaUse()
	s.mu.Lock()
	r := s.nextReport.take(s.settings.Self.VM)
	s.mu.Unlock()
	r.Loads, r.Limits, r.CutOff, r.QuotaUse = own, s.deps.Router.Limits(), s.isCutOff(), use
	r.Crashes, s.crashesReported = s.crashesSince(s.crashesReported)
	r.Origins, s.originsReported = s.originsSince(s.originsReported, s.originsReported > 0)
	return r
}

// receiveReport applies the report of another daemon.
func (s *Controller) receiveReport(sub *subscriber, r daemonReport) {
	s.broadcaster.recordReport(sub, &r, time.Now())
	s.mergeCrashes(r.Crashes)
	s.mergeOrigins(r.Origins)
	s.deps.Router.MergeLimits(r.Limits)
	s.recordReach(&r)
	s.submitReport(r)
}

// submitReport passes a daemon's report to planLoop, or drops it if the channel is full.
func (s *Controller) submitReport(r daemonReport) {
	s.chargeUse(r.QuotaUse)
	select {
	case s.reports <- r:
	default:
		s.deps.Scope.Counter("reports_dropped").Inc(1)
	}
}

// waitForReport waits until the next report is due: after reportPeriod, or earlier if calls
// wait or a stream began.
func (s *Controller) waitForReport(ctx context.Context) {
	timer := time.NewTimer(reportPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.reportNow:
		life.Sleep(ctx, minReportPeriod)
	case <-s.streamBegan:
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.reportNow:
			life.Sleep(ctx, minReportPeriod)
		case <-time.After(s.streamReportDelay()):
		}
	}
}

// streamReportDelay returns the time in which the streams that began are collected for one report.
func (s *Controller) streamReportDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minStreamReportDelay, time.Duration(len(s.members))*streamReportDelayPerDaemon)
}
