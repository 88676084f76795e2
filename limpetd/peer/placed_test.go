package peer

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

// placedProvider returns answer for one digest, and answerErr.
type placedProvider struct {
	digest    string
	answer    member.PlacedModels
	answerErr error
}

func (p *placedProvider) Placed(digest string) (member.PlacedModels, error) {
	if digest != p.digest {
		return member.PlacedModels{}, p.answerErr
	}
	return p.answer, p.answerErr
}

// TestPlacedQueryTraffic measures the bytes of a QueryPlaced call for 900 models and its
// answer on the wire. The estimate by which package reach limits its traffic must cover
// these bytes: 360 bytes and two bits for each model.
func TestPlacedQueryTraffic(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const bitmapBytes, queries = 113, 50
	p := &placedProvider{digest: strings.Repeat("a7", 32), answer: member.PlacedModels{
		SameDocument: true, Complete: true, Models: bytes.Repeat([]byte{0xa5}, bitmapBytes), WithAdapters: bytes.Repeat([]byte{0x24}, bitmapBytes),
	}}
	var payload, segments atomic.Int64
	client, address := meteredClient(ctx, t, ServerDeps{Placed: p}, &payload, &segments)
	_, err := client.QueryPlaced(ctx, address, p.digest)
	require.NoError(t, err)
	before := payload.Load() + segmentBytes*segments.Load()
	for range queries {
		got, err := client.QueryPlaced(ctx, address, p.digest)
		require.NoError(t, err)
		require.Equal(t, p.answer, got)
	}
	perQuery := float64(payload.Load()+segmentBytes*segments.Load()-before) / queries
	t.Logf("900 models: %.0f bytes on the wire", perQuery)
	require.LessOrEqual(t, perQuery, float64(360+2*bitmapBytes))

	got, err := client.QueryPlaced(ctx, address, strings.Repeat("00", 32))
	require.NoError(t, err)
	require.False(t, got.SameDocument)
	p.answerErr = code.Errorf(code.QueueFull, "too many")
	_, err = client.QueryPlaced(ctx, address, p.digest)
	require.Equal(t, code.QueueFull, code.Of(err))
}
