package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

// lending lends to one caller.
type lending struct{}

func (lending) Lend(caller string, want int) (member.Loan, error) {
	switch caller {
	case "portal":
		return member.Loan{Granted: want}, nil
	case "batch":
		return member.Loan{After: 1500 * time.Microsecond}, nil
	}
	return member.Loan{}, code.Errorf(code.BadParameter, "not kept here")
}

// TestBytesOfALoan measures what a question for a loan and its answer cost on the
// wire, and requires at most 300 bytes.
func TestBytesOfALoan(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const questions = 50
	var payload, segments atomic.Int64
	client, address := metered(ctx, t, ServerDeps{Loans: lending{}}, &payload, &segments)
	loan, err := client.Borrow(ctx, address, "batch", 1)
	require.NoError(t, err)
	require.Equal(t, member.Loan{After: 2 * time.Millisecond}, loan)
	_, err = client.Borrow(ctx, address, "other", 1)
	require.Equal(t, code.BadParameter, code.Of(err))
	before := payload.Load() + segmentBytes*segments.Load()
	for range questions {
		loan, err = client.Borrow(ctx, address, "portal", 7)
		require.NoError(t, err)
		require.Equal(t, member.Loan{Granted: 7}, loan)
	}
	each := float64(payload.Load()+segmentBytes*segments.Load()-before) / questions
	t.Logf("a loan: %.0f bytes on the wire", each)
	require.LessOrEqual(t, each, 300.0)
}
