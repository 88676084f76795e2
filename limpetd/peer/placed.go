package peer

import (
	"context"
	"encoding/hex"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer/peerpb"
)

// Placed asks a daemon which models of the document with a digest engines of its
// data centre hold.
func (c *Client) Placed(ctx context.Context, address, digest string) (member.Placed, error) {
	raw, err := hex.DecodeString(digest)
	if err != nil {
		return member.Placed{}, code.Errorf(code.BadParameter, "digest %q: %w", digest, err)
	}
	stub, ctx, err := c.peer(ctx, address)
	if err != nil {
		return member.Placed{}, err
	}
	a, err := stub.Placed(ctx, &peerpb.PlacedRequest{Digest: raw})
	if err != nil {
		return member.Placed{}, failed(address, err)
	}
	return member.Placed{Known: a.GetKnown(), Models: a.GetModels(), Whole: a.GetWhole(), Complete: a.GetComplete()}, nil
}
