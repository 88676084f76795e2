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

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/keys"
	"github.com/limpetlb/limpetlb/limpetd/peer"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// operatorHeaderTime bounds the arrival of an operator call's header.
const operatorHeaderTime = 5 * time.Second

// connect reads certificates and keys and makes the clients of the platform,
// the engines and the peers.
func (n *Node) connect(ctx context.Context) error {
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
	n.platform = store.NewClient(c.Platform, store.WithTLS(n.peerKeys.Platform(platform.Hostname())))
	n.engines = engine.NewClient()
	n.peers = peer.NewClient(ctx, n.peerConfig(), peer.ClientDeps{
		TLS: n.peerKeys.PeerClient(), Log: log, Events: n.line, Scope: scope,
	})
	return nil
}

// peerConfig tells peers who this daemon is.
func (n *Node) peerConfig() peer.Config {
	return peer.Config{
		Environment: docs.Scope(n.config.Environment, docs.Stage(n.config.Stage)),
		VM:          n.config.VM,
		Instance:    n.instance,
	}
}

// serve starts the three interfaces.
func (n *Node) serve(ctx context.Context) {
	n.peerServer = peer.NewServer(ctx, n.peerConfig(), n.listeners.peer, peer.ServerDeps{
		TLS: n.peerKeys.PeerServer(), Members: n.members, Documents: n.docs, Sent: answerer{n}, Line: n.line, Holders: n.reach,
		Placed: n.reach, Claims: n.claims, Loans: n.queue, Drain: answerer{n}, Log: n.log, Events: n.line, Scope: n.metrics.Scope,
	})
	callers := n.gate.Server()
	callers.TLSConfig = n.callerKeys.Server()
	n.start(ctx, callers, n.gate.Listener(n.listeners.caller))
	operators, _ := n.config.ParseOperators()
	o := operate{n}
	n.start(ctx, &http.Server{
		ReadHeaderTimeout: operatorHeaderTime,
		TLSConfig:         n.callerKeys.Server(),
		Handler: admin.New(admin.Deps{
			Operators: operators, Applier: o, Status: o, Plan: o, Events: o, Drainer: o,
			Probes: n.probes(), Log: n.log, Line: n.line,
		}),
	}, n.listeners.operator)
}

// probes serves health and metrics on the operators' interface.
func (n *Node) probes() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.Get("/metrics"), n.metrics.Handler)
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
