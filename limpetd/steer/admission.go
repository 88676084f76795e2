package steer

import (
	"context"
	"net"
	"slices"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/limpetlb/limpetlb/limpetd/guard"
)

// proofKey is the metadata key of the proof of membership: the instance IDs of the lease holder and of the daemon that
// opens the link. Instance IDs are random, and only daemons can read them from the store.
const proofKey = "limpet-proof"

// errNotMember ends links and requests of connections that belong to no daemon.
var errNotMember = status.Error(codes.PermissionDenied, "the connection belongs to no daemon of this deployment")

// withProof returns a context for a link to a lease holder.
func withProof(ctx context.Context, holder, self Member) context.Context {
	return metadata.AppendToOutgoingContext(ctx, proofKey, holder.Instance, proofKey, self.Instance)
}

// admit returns an error unless a connection with a proof from an IP address may open a link. Only the lease holder has
// links.
func (s *Controller) admit(proof []string, ip string) error {
	switch {
	case !s.IsLeaseHolder():
		return errNotHolder
	case !s.admits(proof, ip):
		return errNotMember
	}
	return nil
}

// admits reports whether a connection with a proof from an IP address may open a link. The proof must contain a known
// instance ID. A daemon whose build has no proofs is identified by the IP address in its row.
func (s *Controller) admits(proof []string, ip string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(proof, s.settings.Self.Instance) || s.holder.Instance != "" && slices.Contains(proof, s.holder.Instance) {
		return true
	}
	if !s.membersKnown {
		return true
	}
	for _, m := range s.members {
		if slices.Contains(proof, m.Instance) || !m.Proves && sameHost(m.Address, ip) {
			return true
		}
	}
	return false
}

// sameHost reports whether an address has a given IP address.
func sameHost(address, ip string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host == ip
}

// linkConn is a connection of another daemon.
type linkConn struct {
	credentials.CommonAuthInfo
	conn     net.Conn
	admitted atomic.Bool
}

// AuthType implements credentials.AuthInfo.
func (*linkConn) AuthType() string { return "limpet-proof" }

// linkCredentials keep the connection of each call for its admission. They don't encrypt.
type linkCredentials struct {
	credentials.TransportCredentials
}

func newLinkCredentials() linkCredentials { return linkCredentials{insecure.NewCredentials()} }

// ServerHandshake implements credentials.TransportCredentials.
func (linkCredentials) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c, &linkConn{CommonAuthInfo: credentials.CommonAuthInfo{SecurityLevel: credentials.NoSecurity}, conn: c}, nil
}

// Clone implements credentials.TransportCredentials.
func (l linkCredentials) Clone() credentials.TransportCredentials {
	return linkCredentials{l.TransportCredentials.Clone()}
}

// admitCalls returns a handler that refuses the calls of a connection before their first message, unless it has opened a
// link with a valid proof.
func admitCalls(s linkServer) tap.ServerInHandle {
	return func(ctx context.Context, call *tap.Info) (context.Context, error) {
		p, ok := peer.FromContext(ctx)
		if !ok {
			return ctx, errNotMember
		}
		c, ok := p.AuthInfo.(*linkConn)
		switch {
		case !ok:
			return ctx, errNotMember
		case c.admitted.Load():
			return ctx, nil
		}
		ip, _, err := net.SplitHostPort(p.Addr.String())
		if err != nil || call.FullMethodName != linkPath {
			return ctx, errNotMember
		}
		if err := s.admit(call.Header.Get(proofKey), ip); err != nil {
			return ctx, err
		}
		c.admitted.Store(true)
		guard.Admit(c.conn)
		return ctx, nil
	}
}
