// Package telem creates the logger and the metrics of a process.
//
// # Usage
//
//	lines := telem.NewLineWriter(ctx, os.Stdout)
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

// metricsPeriod is the time between updates of the exported metrics.
const metricsPeriod = time.Second

// NewLogger returns a logger that writes each event as a line of key=value pairs. If level is
// unknown, the logger uses level info.
func NewLogger(w io.Writer, level string) *zap.Logger {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.MessageKey = "event"
	c.TimeKey = "at"
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(zapcore.AddSync(w)), minLevel))
}

// Metrics holds the metrics scope of a process, its closer, and the handler that serves the
// metrics over HTTP.
type Metrics struct {
	Scope   tally.Scope
	Closer  io.Closer
	Handler http.Handler
}

// NewMetrics returns the metrics of a program on a VM. Each metric name has the program as
// its prefix, and each metric has the VM as a label.
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
