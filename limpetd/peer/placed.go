package peer

import (
	"context"
	"encoding/hex"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer/peerpb"
)

// Placed asks a daemon which models of the document with the given digest are held by
// engines of the daemon's data centre.
func (c *Client) Placed(ctx context.Context, address, digest string) (member.Placed, error) {
	raw, err := hex.DecodeString(digest)
	if err != nil {
		return member.Placed{}, code.Errorf(code.BadParameter, "digest %q: %w", digest, err)
	}
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return member.Placed{}, err
	}
	a, err := stub.Placed(ctx, &peerpb.PlacedRequest{Digest: raw})
	if err != nil {
		return member.Placed{}, callError(address, err)
	}
	return member.Placed{Known: a.GetKnown(), Models: a.GetModels(), Whole: a.GetWhole(), Complete: a.GetComplete()}, nil
}
