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

// placing answers for one digest, or refuses.
type placing struct {
	digest  string
	answer  member.Placed
	refuses error
}

func (p *placing) Placed(digest string) (member.Placed, error) {
	if digest != p.digest {
		return member.Placed{}, p.refuses
	}
	return p.answer, p.refuses
}

// TestBytesOfAPlacedQuestion measures what a question for 900 models and its
// answer cost on the wire, and requires that the figure by which package reach
// limits itself covers it: 360 bytes and two bits for each model.
func TestBytesOfAPlacedQuestion(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const mapBytes, questions = 113, 50
	p := &placing{digest: strings.Repeat("a7", 32), answer: member.Placed{
		Known: true, Complete: true, Models: bytes.Repeat([]byte{0xa5}, mapBytes), Whole: bytes.Repeat([]byte{0x24}, mapBytes),
	}}
	var payload, segments atomic.Int64
	client, address := metered(ctx, t, ServerDeps{Placed: p}, &payload, &segments)
	_, err := client.Placed(ctx, address, p.digest)
	require.NoError(t, err)
	before := payload.Load() + segmentBytes*segments.Load()
	for range questions {
		got, err := client.Placed(ctx, address, p.digest)
		require.NoError(t, err)
		require.Equal(t, p.answer, got)
	}
	each := float64(payload.Load()+segmentBytes*segments.Load()-before) / questions
	t.Logf("900 models: %.0f bytes on the wire", each)
	require.LessOrEqual(t, each, float64(360+2*mapBytes))

	got, err := client.Placed(ctx, address, strings.Repeat("00", 32))
	require.NoError(t, err)
	require.False(t, got.Known)
	p.refuses = code.Errorf(code.QueueFull, "too many")
	_, err = client.Placed(ctx, address, p.digest)
	require.Equal(t, code.QueueFull, code.Of(err))
}
