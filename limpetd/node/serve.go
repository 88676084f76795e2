package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	goji "goji.io"
	"goji.io/pat"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// operatorHeaderTime bounds the arrival of an operator call's header.
const operatorHeaderTime = 5 * time.Second

// connect makes the clients of the platform, the engines and the peers.
func (n *Node) connect(_ context.Context) error {
	n.platform = store.NewClient(n.config.Platform)
	n.engines = engine.NewClient()
	return nil
}

// serve starts the callers' and the operators' interface.
func (n *Node) serve(ctx context.Context) {
	callers := n.gate.Server()
	n.start(ctx, callers, n.gate.Listener(n.listeners.caller))
	operators, _ := n.config.ParseOperators()
	o := operate{n}
	n.start(ctx, &http.Server{
		ReadHeaderTimeout: operatorHeaderTime,
		Handler: admin.New(admin.Deps{
			Operators: operators, Applier: o, Status: o, Plan: o, Events: o, Drainer: o,
			Probes: n.probes(), Log: n.log, Line: n.line,
		}),
	}, n.listeners.operator)
}

// probes serves health and metrics on the operators' interface.
func (n *Node) probes() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.Get("/metrics"), n.metrics.handler)
	mux.Handle(pat.Get("/*"), n.gate.Handler())
	return mux
}

// start serves on l until the server is shut down or ctx ends.
func (n *Node) start(ctx context.Context, s *http.Server, l net.Listener) {
	n.servers = append(n.servers, s)
	if s.TLSConfig != nil {
		l = tls.NewListener(l, s.TLSConfig)
	}
	n.tomb.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("server_failed", zap.Error(err))
			return err
		}
		return nil
	})
	n.tomb.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
}
