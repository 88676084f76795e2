package peer

import (
	"strconv"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// callError converts the gRPC error of a call. The result has the code that the other
// daemon sent, PeerUntrusted if the other daemon rejected the sender, else PeerDown.
func callError(address string, err error) error {
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
