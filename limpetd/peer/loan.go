package peer

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer/peerpb"
)

// RequestLoan asks the daemon at address, which keeps the request limit of a caller, to lend
// up to want requests of the limit to this daemon.
func (c *Client) RequestLoan(ctx context.Context, address, caller string, want int) (member.Loan, error) {
	stub, ctx, err := c.peerClient(ctx, address)
	if err != nil {
		return member.Loan{}, err
	}
	a, err := stub.Lend(ctx, &peerpb.LendRequest{Caller: caller, Want: int32(want)})
	if err != nil {
		return member.Loan{}, callError(address, err)
	}
	after := time.Duration(a.GetAfterMs()) * time.Millisecond
	return member.Loan{Granted: int(a.GetGranted()), RetryAfter: after}, nil
}

// Lend implements peerpb.PeerServer.
func (s *Server) Lend(_ context.Context, r *peerpb.LendRequest) (*peerpb.LendAnswer, error) {
	if s.deps.Loans == nil {
		return nil, unimplemented()
	}
	loan, err := s.deps.Loans.Lend(r.GetCaller(), int(r.GetWant()))
	if err != nil {
		return nil, refusalStatus(err)
	}
	after := (loan.RetryAfter + time.Millisecond - 1) / time.Millisecond
	return &peerpb.LendAnswer{Granted: int32(loan.Granted), AfterMs: int32(after)}, nil
}
