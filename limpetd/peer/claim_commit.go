package peer

import (
	"context"

	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/peer/peerpb"
)

// CommitFor forwards a write of a claim row to the daemon that commits it. After an error
// with code PeerDown the write may still take effect; after any other error the write
// has no effect.
func (c *Client) CommitFor(ctx context.Context, address string, w claim.Write) (claim.WriteResult, error) {
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return claim.WriteResult{}, err
	}
	a, err := stub.Gather(ctx, &peerpb.GatherRequest{Key: w.Key, Version: w.Version, Value: w.Value})
	if err != nil {
		return claim.WriteResult{}, callError(address, err)
	}
	return claim.WriteResult{
		Result: claim.Result(a.GetResult()), Version: a.GetVersion(), Value: a.GetValue(), Code: code.Code(a.GetCode()),
	}, nil
}

// Gather implements peerpb.PeerServer.
func (s *Server) Gather(ctx context.Context, r *peerpb.GatherRequest) (*peerpb.GatherAnswer, error) {
	if s.deps.Claims == nil {
		return nil, unimplemented()
	}
	a, err := s.deps.Claims.CommitFor(ctx, claim.Write{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue()})
	if err != nil {
		return nil, refusalStatus(err)
	}
	return &peerpb.GatherAnswer{Result: int32(a.Result), Version: a.Version, Value: a.Value, Code: int32(a.Code)}, nil
}
