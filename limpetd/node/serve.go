package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"
	goji "goji.io"
	"goji.io/pat"
	"golang.org/x/net/netutil"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/keys"
	"github.com/limpetlb/limpetlb/limpetd/peer"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// operatorHeaderTimeout is the time limit for receiving the header of an
// operator's request.
const operatorHeaderTimeout = 5 * time.Second

// operatorHeaderBytes is the size limit of the header of an operator's request.
const operatorHeaderBytes = 64 << 10

// Limits of the connections of operators, health checks and metrics. The one that has been idle for
// the longest time is closed for a new one.
const (
	operatorIdleTimeout = time.Minute
	maxOperatorConns    = 64
	operatorCloseIdle   = time.Second
)

// createClients loads the certificates and keys, and creates the clients of the
// platform, the engines and the peers.
func (n *Node) createClients(ctx context.Context) error {
	c, log, scope := n.config, n.log, n.metrics.Scope
	var err error
	n.callerKeys, err = keys.New(ctx, keys.Config{
		Certificate: keys.Secret(c.CallerCertificate), Key: keys.Secret(c.CallerKey), Plain: c.CallerPlain,
	}, keys.Deps{Log: log, Scope: scope})
	if err != nil {
		return err
	}
	n.peerKeys, err = keys.New(ctx, keys.Config{
		Certificate: keys.Secret(c.PeerCertificate), Key: keys.Secret(c.PeerKey),
		Authority: keys.Secret(c.PeerAuthority), Plain: c.PeerPlain,
	}, keys.Deps{Log: log, Scope: scope})
	if err != nil {
		return err
	}
	platform, err := url.Parse(c.Platform)
	if err != nil {
		return code.Errorf(code.BadSetting, "--platform %q: %w", c.Platform, err)
	}
	n.platform = store.NewClient(c.Platform, store.WithTLS(n.peerKeys.PlatformClient(platform.Hostname())))
	n.engines = engine.NewClient()
	n.peers = peer.NewClient(ctx, n.peerConfig(), peer.ClientDeps{
		TLS: n.peerKeys.PeerClient(), Log: log, Events: n.events, Scope: scope,
	})
	return nil
}

// peerConfig returns the identity of this daemon for its peers.
func (n *Node) peerConfig() peer.Config {
	return peer.Config{
		Environment: docs.Scope(n.config.Environment, docs.Stage(n.config.Stage)),
		VM:          n.config.VM,
		Instance:    n.instance,
	}
}

// startServers starts the servers of the three interfaces.
func (n *Node) startServers(ctx context.Context) {
	peers := n.listeners.peer
	if limit := budget.PeerLimit(n.config.MaxFDs); limit > 0 {
		peers = netutil.LimitListener(peers, limit)
	}
	n.peerServer = peer.NewServer(ctx, n.peerConfig(), peers, peer.ServerDeps{
		TLS: n.peerKeys.PeerServer(), Members: n.members, Documents: n.docs, Grants: peerHandler{n}, Timeline: n.events, Holders: n.reach,
		Placed: n.reach, Claims: n.claims, Loans: n.queue, Drain: peerHandler{n}, Log: n.log, Events: n.events, Scope: n.metrics.Scope,
	})
	callers := n.gate.Server()
	callers.TLSConfig = n.callerKeys.CallerServer()
	n.startServer(ctx, callers, n.gate.Listener(n.listeners.caller))
	operators, _ := n.config.ParseOperators()
	o := operatorAPI{n}
	n.startServer(ctx, &http.Server{
		ReadHeaderTimeout: operatorHeaderTimeout,
		IdleTimeout:       operatorIdleTimeout,
		MaxHeaderBytes:    operatorHeaderBytes,
		ConnState:         guard.ConnState,
		ConnContext:       guard.ConnContext,
		TLSConfig:         n.callerKeys.CallerServer(),
		Handler: admin.New(admin.Deps{
			Operators: operators, Applier: o, Status: o, Plan: o, Events: o, Drainer: o,
			Probes: n.probeHandler(), Log: n.log, Timeline: n.events,
		}),
	}, n.guard.Door(n.listeners.operator, guard.DoorConfig{
		Max: maxOperatorConns, Timeouts: func() budget.Timeouts { return budget.Timeouts{CloseIdle: operatorCloseIdle} },
		HeaderLimit: func() int64 { return operatorHeaderBytes },
	}))
}

// probeHandler returns the handler for health checks and metrics on the interface
// for operators.
func (n *Node) probeHandler() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.Get("/metrics"), n.metrics.Handler)
	mux.Handle(pat.Get("/*"), n.gate.Handler())
	return mux
}

// startServer serves on l until s is shut down or ctx ends.
func (n *Node) startServer(ctx context.Context, s *http.Server, l net.Listener) {
	n.servers = append(n.servers, s)
	raw := l
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
		return closeServer(s, raw)
	})
}

// closeServer closes a server that serves on a listener, with or without TLS. The connections below TLS of running
// requests are closed first: the alert that announces a proper end would make their responses look complete.
func closeServer(s *http.Server, l net.Listener) error {
	if d, ok := l.(*guard.Door); ok {
		d.CloseActive()
	}
	return s.Close()
}
