// Package telem makes the logger and the metrics of a process.
//
// # Usage
//
//	lines := telem.NewLines(ctx, os.Stdout)
//	log := telem.NewLogger(lines, "info")
//	m := telem.NewMetrics("limpetd", vm)
//	http.Handle("/metrics", m.Handler)
package telem

import (
	"io"
	"net/http"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// metricsPeriod is the time between reports of the metrics.
const metricsPeriod = time.Second

// NewLogger returns a logger that writes one line of key=value pairs an event.
// An unknown level counts as info.
func NewLogger(w io.Writer, level string) *zap.Logger {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.MessageKey = "event"
	c.TimeKey = "at"
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(zapcore.AddSync(w)), parsed))
}

// Metrics are the metrics of a process and the handler that serves them.
type Metrics struct {
	Scope   tally.Scope
	Closer  io.Closer
	Handler http.Handler
}

// NewMetrics returns the metrics of a program on a VM.
func NewMetrics(program, vm string) Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         program,
		Tags:           map[string]string{"vm": vm},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, metricsPeriod)
	return Metrics{Scope: scope, Closer: closer, Handler: reporter.HTTPHandler()}
}
