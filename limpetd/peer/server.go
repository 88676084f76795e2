// Package peer carries what daemons say to each other, over gRPC with mutual
// TLS: member states, documents, questions about orders, and the time line.
//
// Member messages to a daemon travel on one stream, so that a message costs no
// headers of its own. Each call names environment, VM and instance of its
// sender; a daemon of another environment is refused.
//
// # Usage
//
//	client := peer.NewClient(ctx, config, peer.ClientDeps{TLS: keys.PeerClient()})
//	server, err := peer.NewServer(ctx, config, listener, peer.ServerDeps{TLS: keys.PeerServer(), Members: members, Documents: documents})
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

// MemberHandler takes what member duties tell. It is implemented by member.Duty.
type MemberHandler interface {
	Receive(from member.Sender, m member.Message)
	Exchange(from member.Sender, m member.Message) member.Message
}

// DocumentProvider returns the document in force. It is implemented by docs.Duty.
type DocumentProvider interface {
	Copy(environment string) (member.Copy, error)
}

// SentAnswer is a daemon's answer about orders under a grant.
type SentAnswer struct {
	// Instance is the process that answers.
	Instance string
	// State is in the words of package order.
	State string
}

// SentProvider answers whether orders under a grant can still be sent.
type SentProvider interface {
	Sent(grant string) SentAnswer
}

// HolderProvider answers which engines of its data centre hold slots.
type HolderProvider interface {
	Holders(slots []envdoc.Slot) ([]engine.Report, error)
}

// PlacedProvider answers which models of the document with a digest engines of
// its data centre hold.
type PlacedProvider interface {
	Placed(digest string) (member.Placed, error)
}

// ClaimGatherer commits writes of claims. It is implemented by claim.Claims.
type ClaimGatherer interface {
	Gather(ctx context.Context, w claim.Write) (claim.Answer, error)
}

// LoanProvider lends requests of the callers whose limits it keeps.
type LoanProvider interface {
	Lend(caller string, want int) (member.Loan, error)
}

// EventProvider selects events of the time line. It is implemented by event.Line.
type EventProvider interface {
	Select(f event.Filter) []event.Event
}

// DrainHandler lets the daemon leave or stay.
type DrainHandler interface {
	Drain(ctx context.Context, operator string, leaving bool) error
}

var (
	_ MemberHandler = (*member.Duty)(nil)
	_ EventProvider = (*event.Line)(nil)
	_ ClaimGatherer = (*claim.Claims)(nil)
)

// ServerDeps are what the server answers from. A call whose handler is nil is
// refused; TLS, Log, Events and Scope may be nil.
type ServerDeps struct {
	// TLS is from keys.Duty.PeerServer; nil is plain.
	TLS       *tls.Config
	Members   MemberHandler
	Documents DocumentProvider
	Sent      SentProvider
	Holders   HolderProvider
	Placed    PlacedProvider
	Claims    ClaimGatherer
	Loans     LoanProvider
	Line      EventProvider
	Drain     DrainHandler
	Log       *zap.Logger
	Events    *event.Line
	Scope     tally.Scope
}

// eventBatch is the number of events in a message.
const eventBatch = 256

// Server answers other daemons.
type Server struct {
	peerpb.UnimplementedPeerServer
	config Config
	deps   ServerDeps
	tomb   *tomb.Tomb
	server *grpc.Server
}

// NewServer serves on a listener until ctx ends.
func NewServer(ctx context.Context, config Config, listener net.Listener, deps ServerDeps) *Server {
	s := &Server{config: config, deps: deps}
	if s.deps.Log == nil {
		s.deps.Log = zap.NewNop()
	}
	if s.deps.Scope == nil {
		s.deps.Scope = tally.NoopScope
	}
	s.server = grpc.NewServer(s.options()...)
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

// Wait returns when the server has ended.
func (s *Server) Wait() error {
	if err := s.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// options returns the settings of the server.
func (s *Server) options() []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(connectTimeout),
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: 2 * linkIdle, MaxConnectionAge: connectionAge, MaxConnectionAgeGrace: connectTimeout,
			Time: keepaliveTime, Timeout: keepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
		grpc.UnaryInterceptor(s.admitCall), grpc.StreamInterceptor(s.admitStream),
	}
	if s.deps.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(s.deps.TLS)))
	}
	return options
}

// admitCall refuses a call from another environment.
func (s *Server) admitCall(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	return handle(ctx, request)
}

// admitStream refuses a stream from another environment.
func (s *Server) admitStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	if err := s.admit(stream.Context()); err != nil {
		return err
	}
	return handle(server, stream)
}

// admit refuses a sender of another environment or without an identity.
func (s *Server) admit(ctx context.Context) error {
	from := sender(ctx)
	environment := value(ctx, environmentKey)
	if environment == s.config.Environment && from.VM != "" && from.Instance != "" {
		return nil
	}
	s.deps.Scope.Counter("peer_refused").Inc(1)
	s.deps.Log.Warn("peer_refused", zap.String("vm", from.VM), zap.String("environment", environment))
	return status.Errorf(codes.PermissionDenied, "this daemon serves %s", s.config.Environment)
}

// value returns a value of the metadata, empty unless there is exactly one.
func value(ctx context.Context, key string) string {
	values := metadata.ValueFromIncomingContext(ctx, key)
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// sender returns who made a call.
func sender(ctx context.Context) member.Sender {
	return member.Sender{VM: value(ctx, vmKey), Instance: value(ctx, instanceKey)}
}

// Tell implements the service.
func (s *Server) Tell(stream grpc.ClientStreamingServer[peerpb.Message, peerpb.Ack]) error {
	if s.deps.Members == nil {
		return unserved()
	}
	from := sender(stream.Context())
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.Ack{})
		}
		if err != nil {
			return err
		}
		s.observe(m.GetStamp())
		s.deps.Members.Receive(from, decodeMessage(m))
	}
}

// Exchange implements the service.
func (s *Server) Exchange(ctx context.Context, m *peerpb.Message) (*peerpb.Message, error) {
	if s.deps.Members == nil {
		return nil, unserved()
	}
	s.observe(m.GetStamp())
	answer := s.deps.Members.Exchange(sender(ctx), decodeMessage(m))
	return encodeMessage(answer, s.stamp()), nil
}

// Document implements the service.
func (s *Server) Document(context.Context, *peerpb.DocumentRequest) (*peerpb.DocumentCopy, error) {
	if s.deps.Documents == nil {
		return nil, unserved()
	}
	c, err := s.deps.Documents.Copy(s.config.Environment)
	if err != nil {
		return nil, refused(err)
	}
	return &peerpb.DocumentCopy{Revision: c.Revision, Digest: c.Digest, Body: c.Body}, nil
}

// Sent implements the service.
func (s *Server) Sent(_ context.Context, r *peerpb.SentRequest) (*peerpb.SentAnswer, error) {
	if s.deps.Sent == nil {
		return nil, unserved()
	}
	a := s.deps.Sent.Sent(r.GetGrant())
	return &peerpb.SentAnswer{Instance: a.Instance, State: a.State}, nil
}

// Events implements the service.
func (s *Server) Events(r *peerpb.EventsRequest, stream grpc.ServerStreamingServer[peerpb.EventBatch]) error {
	if s.deps.Line == nil {
		return unserved()
	}
	batch := &peerpb.EventBatch{}
	for _, e := range s.deps.Line.Select(decodeFilter(r)) {
		batch.Events = append(batch.Events, encodeEvent(e))
		if len(batch.GetEvents()) < eventBatch {
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

// Drain implements the service.
func (s *Server) Drain(ctx context.Context, r *peerpb.DrainRequest) (*peerpb.Ack, error) {
	if s.deps.Drain == nil {
		return nil, unserved()
	}
	if err := s.deps.Drain.Drain(ctx, r.GetOperator(), r.GetLeaving()); err != nil {
		return nil, refused(err)
	}
	return &peerpb.Ack{}, nil
}

// Holders implements the service.
func (s *Server) Holders(_ context.Context, r *peerpb.HoldersRequest) (*peerpb.HoldersAnswer, error) {
	if s.deps.Holders == nil {
		return nil, unserved()
	}
	reports, err := s.deps.Holders.Holders(decodeSlots(r.GetSlots()))
	if err != nil {
		return nil, refused(err)
	}
	a := &peerpb.HoldersAnswer{}
	for _, report := range reports {
		a.Loads = append(a.Loads, encodeLoad(member.Load{Report: report, Whole: true}))
	}
	return a, nil
}

// Placed implements the service.
func (s *Server) Placed(_ context.Context, r *peerpb.PlacedRequest) (*peerpb.PlacedAnswer, error) {
	if s.deps.Placed == nil {
		return nil, unserved()
	}
	p, err := s.deps.Placed.Placed(hex.EncodeToString(r.GetDigest()))
	if err != nil {
		return nil, refused(err)
	}
	return &peerpb.PlacedAnswer{Known: p.Known, Models: p.Models, Whole: p.Whole, Complete: p.Complete}, nil
}

// observe takes note of the time of another process.
func (s *Server) observe(p *peerpb.Stamp) {
	if s.deps.Events != nil && p != nil {
		s.deps.Events.Observe(decodeStamp(p))
	}
}

// stamp returns the time for a message.
func (s *Server) stamp() event.Stamp {
	if s.deps.Events == nil {
		return event.Stamp{}
	}
	return s.deps.Events.Now()
}

// unserved is the answer of a daemon that does not serve a call.
func unserved() error {
	return status.Error(codes.Unimplemented, "not served here")
}

// refused carries a code to the other daemon.
func refused(err error) error {
	return status.Errorf(codes.FailedPrecondition, "%d %v", int(code.Of(err)), err)
}
