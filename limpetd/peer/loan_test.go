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

// loanProvider grants portal all requests and batch none, and rejects other callers.
type loanProvider struct{}

func (loanProvider) Lend(caller string, want int) (member.Loan, error) {
	switch caller {
	case "portal":
		return member.Loan{Granted: want}, nil
	case "batch":
		return member.Loan{RetryAfter: 1500 * time.Microsecond}, nil
	}
	return member.Loan{}, code.Errorf(code.BadParameter, "this daemon does not keep the limit")
}

// TestLoanTraffic measures the bytes of a loan request and its answer on the wire, and
// requires at most 300 bytes.
func TestLoanTraffic(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const loans = 50
	var payload, segments atomic.Int64
	client, address := meteredClient(ctx, t, ServerDeps{Loans: loanProvider{}}, &payload, &segments)
	loan, err := client.RequestLoan(ctx, address, "batch", 1)
	require.NoError(t, err)
	require.Equal(t, member.Loan{RetryAfter: 2 * time.Millisecond}, loan)
	_, err = client.RequestLoan(ctx, address, "other", 1)
	require.Equal(t, code.BadParameter, code.Of(err))
	before := payload.Load() + segmentBytes*segments.Load()
	for range loans {
		loan, err = client.RequestLoan(ctx, address, "portal", 7)
		require.NoError(t, err)
		require.Equal(t, member.Loan{Granted: 7}, loan)
	}
	perLoan := float64(payload.Load()+segmentBytes*segments.Load()-before) / loans
	t.Logf("a loan: %.0f bytes on the wire", perLoan)
	require.LessOrEqual(t, perLoan, 300.0)
}
