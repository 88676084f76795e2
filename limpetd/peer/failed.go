package peer

import (
	"strconv"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// failed returns the error of a call: with the code that the other daemon
// stated, PeerUntrusted for a refused identity, else PeerDown.
func failed(address string, err error) error {
	s := status.Convert(err)
	switch s.Code() {
	case codes.PermissionDenied, codes.Unauthenticated:
		return code.Errorf(code.PeerUntrusted, "%s: %s", address, s.Message())
	case codes.FailedPrecondition:
		number, text, _ := strings.Cut(s.Message(), " ")
		if n, err := strconv.Atoi(number); err == nil {
			return code.Errorf(code.Code(n), "%s: %s", address, text)
		}
	}
	return code.Errorf(code.PeerDown, "%s: %s", address, s.Message())
}
