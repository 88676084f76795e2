// Package peer implements the gRPC interface between daemons, with mutual TLS:
// membership messages, documents, queries about orders and placed models, writes of
// claims, loans of requests, and the event timeline.
//
// All membership messages to a daemon share one stream, which avoids the headers of
// a call for each message. The metadata of each call holds the environment, VM and
// instance of the sender. The server rejects calls from other environments.
//
// # Usage
//
//	client := peer.NewClient(ctx, config, peer.ClientDeps{TLS: reloader.PeerClient()})
//	server := peer.NewServer(ctx, config, listener, peer.ServerDeps{TLS: reloader.PeerServer(), Members: members, Documents: documents})
package peer

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"io"
	"net"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer/peerpb"
)

// MemberHandler handles membership messages from other daemons. It is implemented by
// member.Membership.
type MemberHandler interface {
	Receive(from member.Sender, m member.Message)
	Exchange(from member.Sender, m member.Message) member.Message
}

// DocumentProvider returns the document in force. It is implemented by docs.Manager.
type DocumentProvider interface {
	Copy(environment string) (member.DocumentCopy, error)
}

// GrantAnswer is the answer of a daemon about the orders that it sent under a grant.
type GrantAnswer struct {
	// Instance identifies the process that answers.
	Instance string
	// State is an order.GrantState.
	State string
}

// GrantQueryHandler answers whether orders sent under a grant can still reach an engine.
type GrantQueryHandler interface {
	AnswerGrantQuery(grant string) GrantAnswer
}

// HolderProvider returns the reports of the engines in the daemon's data centre that hold
// the given slots.
type HolderProvider interface {
	Holders(slots []envdoc.Slot) ([]engine.Report, error)
}

// PlacedProvider returns which models of the document with the given digest are held by
// engines of the daemon's data centre.
type PlacedProvider interface {
	Placed(digest string) (member.PlacedModels, error)
}

// ClaimCommitter commits writes of claim rows for other daemons. It is implemented by
// claim.Claims.
type ClaimCommitter interface {
	CommitFor(ctx context.Context, w claim.Write) (claim.WriteResult, error)
}

// LoanProvider lends requests from the caller limits that the daemon keeps.
type LoanProvider interface {
	Lend(caller string, want int) (member.Loan, error)
}

// EventProvider selects events of the timeline. It is implemented by event.Timeline.
type EventProvider interface {
	Select(f event.Filter) []event.Event
}

// DrainHandler makes the daemon leave the fleet, or stay if leaving is false.
type DrainHandler interface {
	Drain(ctx context.Context, operator string, leaving bool) error
}

var (
	_ MemberHandler  = (*member.Membership)(nil)
	_ EventProvider  = (*event.Timeline)(nil)
	_ ClaimCommitter = (*claim.Claims)(nil)
)

// ServerDeps holds the dependencies of a Server. TLS, Log, Events and Scope may be nil.
// The server rejects calls whose handler is nil.
type ServerDeps struct {
	// TLS comes from keys.Reloader.PeerServer; nil disables TLS.
	TLS       *tls.Config
	Members   MemberHandler
	Documents DocumentProvider
	Grants    GrantQueryHandler
	Holders   HolderProvider
	Placed    PlacedProvider
	Claims    ClaimCommitter
	Loans     LoanProvider
	Timeline  EventProvider
	Drain     DrainHandler
	Log       *zap.Logger
	Events    *event.Timeline
	Scope     tally.Scope
}

// eventBatchSize is the largest number of events in a message.
const eventBatchSize = 256

// Server serves calls from other daemons.
type Server struct {
	peerpb.UnimplementedPeerServer
	config Config
	deps   ServerDeps
	tomb   *tomb.Tomb
	server *grpc.Server
}

// NewServer starts a server that serves on a listener until ctx ends.
func NewServer(ctx context.Context, config Config, listener net.Listener, deps ServerDeps) *Server {
	s := &Server{config: config, deps: deps}
	if s.deps.Log == nil {
		s.deps.Log = zap.NewNop()
	}
	if s.deps.Scope == nil {
		s.deps.Scope = tally.NoopScope
	}
	s.server = grpc.NewServer(s.serverOptions()...)
	peerpb.RegisterPeerServer(s.server, s)
	var inner context.Context
	s.tomb, inner = life.WithContext(ctx)
	s.tomb.Go(func() error { return s.server.Serve(netutil.LimitListener(listener, maxConnections)) })
	s.tomb.Go(func() error {
		<-inner.Done()
		s.server.Stop()
		return inner.Err()
	})
	return s
}

// Wait blocks until the server has stopped.
func (s *Server) Wait() error {
	if err := s.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// serverOptions returns the gRPC options of the server.
func (s *Server) serverOptions() []grpc.ServerOption {
	serverOptions := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(connectTimeout),
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: 2 * connIdleTimeout, MaxConnectionAge: maxConnAge, MaxConnectionAgeGrace: connectTimeout,
			Time: keepaliveTime, Timeout: keepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
		grpc.UnaryInterceptor(s.checkUnaryCall), grpc.StreamInterceptor(s.checkStream),
	}
	if s.deps.TLS != nil {
		serverOptions = append(serverOptions, grpc.Creds(credentials.NewTLS(s.deps.TLS)))
	}
	return serverOptions
}

// checkUnaryCall is the interceptor that calls checkSender for each unary call.
func (s *Server) checkUnaryCall(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if err := s.checkSender(ctx); err != nil {
		return nil, err
	}
	return handle(ctx, request)
}

// checkStream is the interceptor that calls checkSender for each stream.
func (s *Server) checkStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	if err := s.checkSender(stream.Context()); err != nil {
		return err
	}
	return handle(server, stream)
}

// checkSender returns an error if the sender of a call belongs to another environment or
// sends no VM or instance.
func (s *Server) checkSender(ctx context.Context) error {
	from := callSender(ctx)
	environment := metadataValue(ctx, environmentKey)
	if environment == s.config.Environment && from.VM != "" && from.Instance != "" {
		return nil
	}
	s.deps.Scope.Counter("peer_refused").Inc(1)
	s.deps.Log.Warn("peer_refused", zap.String("vm", from.VM), zap.String("environment", environment))
	return status.Errorf(codes.PermissionDenied, "this daemon serves environment %s", s.config.Environment)
}

// metadataValue returns the value of a key of the metadata, or "" unless the key has
// exactly one value.
func metadataValue(ctx context.Context, key string) string {
	values := metadata.ValueFromIncomingContext(ctx, key)
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// callSender returns the sender of a call.
func callSender(ctx context.Context) member.Sender {
	return member.Sender{VM: metadataValue(ctx, vmKey), Instance: metadataValue(ctx, instanceKey)}
}

// Tell implements peerpb.PeerServer.
func (s *Server) Tell(stream grpc.ClientStreamingServer[peerpb.Message, peerpb.Ack]) error {
	if s.deps.Members == nil {
		return unimplemented()
	}
	from := callSender(stream.Context())
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.Ack{})
		}
		if err != nil {
			return err
		}
		s.observeStamp(m.GetStamp())
		s.deps.Members.Receive(from, decodeMessage(m))
	}
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(ctx context.Context, m *peerpb.Message) (*peerpb.Message, error) {
	if s.deps.Members == nil {
		return nil, unimplemented()
	}
	s.observeStamp(m.GetStamp())
	answer := s.deps.Members.Exchange(callSender(ctx), decodeMessage(m))
	return encodeMessage(answer, s.stamp()), nil
}

// Document implements peerpb.PeerServer.
func (s *Server) Document(context.Context, *peerpb.DocumentRequest) (*peerpb.DocumentCopy, error) {
	if s.deps.Documents == nil {
		return nil, unimplemented()
	}
	c, err := s.deps.Documents.Copy(s.config.Environment)
	if err != nil {
		return nil, refusalStatus(err)
	}
	return &peerpb.DocumentCopy{Revision: c.Revision, Digest: c.Digest, Body: c.Body}, nil
}

// Sent implements peerpb.PeerServer.
func (s *Server) Sent(_ context.Context, r *peerpb.SentRequest) (*peerpb.SentAnswer, error) {
	if s.deps.Grants == nil {
		return nil, unimplemented()
	}
	a := s.deps.Grants.AnswerGrantQuery(r.GetGrant())
	return &peerpb.SentAnswer{Instance: a.Instance, State: a.State}, nil
}

// Events implements peerpb.PeerServer.
func (s *Server) Events(r *peerpb.EventsRequest, stream grpc.ServerStreamingServer[peerpb.EventBatch]) error {
	if s.deps.Timeline == nil {
		return unimplemented()
	}
	batch := &peerpb.EventBatch{}
	for _, e := range s.deps.Timeline.Select(decodeFilter(r)) {
		batch.Events = append(batch.Events, encodeEvent(e))
		if len(batch.GetEvents()) < eventBatchSize {
			continue
		}
		if err := stream.Send(batch); err != nil {
			return err
		}
		batch = &peerpb.EventBatch{}
	}
	if len(batch.GetEvents()) == 0 {
		return nil
	}
	return stream.Send(batch)
}

// Drain implements peerpb.PeerServer.
func (s *Server) Drain(ctx context.Context, r *peerpb.DrainRequest) (*peerpb.Ack, error) {
	if s.deps.Drain == nil {
		return nil, unimplemented()
	}
	if err := s.deps.Drain.Drain(ctx, r.GetOperator(), r.GetLeaving()); err != nil {
		return nil, refusalStatus(err)
	}
	return &peerpb.Ack{}, nil
}

// Holders implements peerpb.PeerServer.
func (s *Server) Holders(_ context.Context, r *peerpb.HoldersRequest) (*peerpb.HoldersAnswer, error) {
	if s.deps.Holders == nil {
		return nil, unimplemented()
	}
	reports, err := s.deps.Holders.Holders(decodeSlots(r.GetSlots()))
	if err != nil {
		return nil, refusalStatus(err)
	}
	a := &peerpb.HoldersAnswer{}
	for _, report := range reports {
		a.Loads = append(a.Loads, encodeLoad(member.EngineReport{Report: report, Full: true}))
	}
	return a, nil
}

// Placed implements peerpb.PeerServer.
func (s *Server) Placed(_ context.Context, r *peerpb.PlacedRequest) (*peerpb.PlacedAnswer, error) {
	if s.deps.Placed == nil {
		return nil, unimplemented()
	}
	p, err := s.deps.Placed.Placed(hex.EncodeToString(r.GetDigest()))
	if err != nil {
		return nil, refusalStatus(err)
	}
	return &peerpb.PlacedAnswer{Known: p.SameDocument, Models: p.Models, Whole: p.WithAdapters, Complete: p.Complete}, nil
}

// observeStamp updates the clock of the event line from a stamp of another process.
func (s *Server) observeStamp(p *peerpb.Stamp) {
	if s.deps.Events != nil && p != nil {
		s.deps.Events.Observe(decodeStamp(p))
	}
}

// stamp returns the timestamp for a message; zero without an event line.
func (s *Server) stamp() event.Timestamp {
	if s.deps.Events == nil {
		return event.Timestamp{}
	}
	return s.deps.Events.Now()
}

// unimplemented returns the error of a call whose handler is nil.
func unimplemented() error {
	return status.Error(codes.Unimplemented, "this daemon does not serve the call")
}

// refusalStatus returns the gRPC status of a refused call. The message holds the code of
// err as a number, which callError parses on the other daemon.
func refusalStatus(err error) error {
	return status.Errorf(codes.FailedPrecondition, "%d %v", int(code.Of(err)), err)
}
