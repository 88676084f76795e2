package front

import (
	"math"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// recordOutcome writes the log line of an ended call and updates the metrics.
func (c *call) recordOutcome() {
	m := c.front.metrics
	now := time.Now()
	o := &c.outcome
	switch {
	case o.result == code.OK:
		m.served.Inc(1)
		m.firstEvent.RecordDuration(c.firstAt.Sub(c.schedCall.Arrived))
		m.total.RecordDuration(now.Sub(c.schedCall.Arrived))
		m.maxPause.RecordDuration(c.maxPause)
	case o.result == code.CallerGone:
		m.callersGone.Inc(1)
	case o.status == http.StatusServiceUnavailable, o.result == code.OverQuota:
		m.refused.Inc(1)
	default:
		m.failed.Inc(1)
	}
	c.countOrganisation()
	route := ""
	if c.schedCall.Route != nil {
		route = c.schedCall.Route.Name
	}
	fields := []zap.Field{
		zap.String("request", c.info.ID), zap.String("route", route), zap.String("model", c.info.Model), zap.String("adapter", c.info.Adapter),
		zap.Int("code", int(o.result)), zap.Int("status", o.status), zap.String("server", o.server),
		zap.Int("sends", o.attempts), zap.Float64("load", math.Round(o.load*100)/100), zap.Duration("load_age", o.loadAge),
		zap.Int("asks", o.asks), zap.Bool("granted", o.granted), zap.Duration("waited", o.waited), zap.Duration("took", now.Sub(c.schedCall.Arrived)),
	}
	if name := c.organisation(); name != "" {
		fields = append(fields, zap.String("organisation", name))
	}
	fields = append(fields, c.decisionFields(now)...)
	if !c.firstAt.IsZero() {
		fields = append(fields, zap.Duration("first", c.firstAt.Sub(c.schedCall.Arrived)), zap.Duration("pause", c.maxPause))
	}
	if c.schedCall.TakesUp {
		fields = append(fields, zap.String("resumes", c.info.Resumes), zap.String("software", c.schedCall.Software))
	}
	if o.via != "" {
		fields = append(fields, zap.String("via", o.via), zap.String("tunnel", o.tunnel))
	}
	fields = append(fields, o.received.fields()...)
	if o.reason != "" {
		fields = append(fields, zap.String("reason", o.reason))
	}
	c.front.deps.Log.Info("request_ended", fields...)
}

// decisionFields returns the log fields of a refusal for the caller's key or quota: the version of the configuration that
// decided and, for a quota, whose credit and the time since the lease holder last answered a call of the organisation.
func (c *call) decisionFields(now time.Time) []zap.Field {
	result := c.outcome.result
	if result != code.BadKey && result != code.OverQuota && result != code.QuotaUnknown {
		return nil
	}
	fields := []zap.Field{zap.Int64("version", c.front.Config().Version)}
	if result == code.BadKey {
		return fields
	}
	credit := "lease_holder"
	if result == code.QuotaUnknown {
		credit = "share"
	}
	f := c.front
	f.mu.Lock()
	answeredAt := f.holdings.AnsweredAt(c.organisation())
	f.mu.Unlock()
	fields = append(fields, zap.String("credit", credit))
	if !answeredAt.IsZero() {
		fields = append(fields, zap.Duration("credit_age", now.Sub(answeredAt)))
	}
	return fields
}
