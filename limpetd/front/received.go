package front

import (
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// received describes what an attempt received from its server.
type received struct {
	// framing is empty if there was no response.
	framing conns.Framing
	// bytes is the size of the part of the body that was read. events counts the complete
	// events of a stream.
	bytes, events int
	// readError is the first read error of the connection; nil if there was none. socketError is the first error of its
	// socket, which metBy met.
	readError, socketError error
	metBy                  socket.Call
	// afterEnd is what the server did with a new connection after the end of its connection had ended the response.
	afterEnd string
}

// recordErrors records the errors of the connection.
func (r *received) recordErrors(c *conns.Conn) {
	r.readError, r.afterEnd = c.ReadError(), c.AfterEnd()
	r.metBy, r.socketError = c.FirstError()
}

// fields returns the log fields of what was received and of the errors of the connection.
func (r received) fields() []zap.Field {
	var fields []zap.Field
	if r.framing != "" {
		fields = append(fields, zap.String("framing", string(r.framing)), zap.Int("bytes", r.bytes), zap.Int("events", r.events))
	}
	if r.readError != nil {
		fields = append(fields, zap.String("read_error", r.readError.Error()))
	}
	if r.socketError != nil {
		fields = append(fields, zap.String("socket_error", r.socketError.Error()), zap.String("met_by", string(r.metBy)))
	}
	if r.afterEnd != "" {
		fields = append(fields, zap.String("after_end", r.afterEnd))
	}
	return fields
}
