package peer

import (
	"context"
	"encoding/hex"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer/peerpb"
)

// QueryPlaced asks a daemon which models of the document with the given digest are held by
// engines of the daemon's data centre.
func (c *Client) QueryPlaced(ctx context.Context, address, digest string) (member.PlacedModels, error) {
	raw, err := hex.DecodeString(digest)
	if err != nil {
		return member.PlacedModels{}, code.Errorf(code.BadParameter, "digest %q: %w", digest, err)
	}
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return member.PlacedModels{}, err
	}
	a, err := stub.Placed(ctx, &peerpb.PlacedRequest{Digest: raw})
	if err != nil {
		return member.PlacedModels{}, callError(address, err)
	}
	return member.PlacedModels{SameDocument: a.GetKnown(), Models: a.GetModels(), WithAdapters: a.GetWhole(), Complete: a.GetComplete()}, nil
}
