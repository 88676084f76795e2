package steer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/origin"
	"github.com/limpetlb/limpetlb/limpetd/sched"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// codecName is the gRPC content subtype of messages between daemons.
const codecName = "msgpack"

// codec encodes messages between daemons as MessagePack, and compresses long ones.
type codec struct{}

// encodedMessage is a message that is already encoded, because it is sent to many daemons.
type encodedMessage []byte

// minCompressBytes is the size from which messages are compressed. maxMessageBytes bounds
// the size of a message.
const (
	minCompressBytes = 512
	maxMessageBytes  = 16 << 20
	// maxHeadBytes bounds the headers of a call of another daemon, and of its response.
	maxHeadBytes = 64 << 10
	// maxStreams bounds the concurrent calls of another daemon: its link, and a request for each of its calls that
	// waits for an engine.
	maxStreams = 4096
)

// linkUserTimeout is the TCP_USER_TIMEOUT of accepted links, which gRPC sets to the timeout of its pings.
const linkUserTimeout = 3 * time.Second

var linkKeepalive = keepalive.ServerParameters{Timeout: linkUserTimeout}

// encode returns the form of a message on a link.
func encode(v any) (encodedMessage, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil || len(raw) < minCompressBytes {
		return raw, err
	}
	return store.Compress(raw)
}

func (codec) Marshal(v any) ([]byte, error) {
	if raw, ok := v.(encodedMessage); ok {
		return raw, nil
	}
	return encode(v)
}

func (codec) Unmarshal(data []byte, v any) error {
	raw, err := store.Decompress(data, maxMessageBytes)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}

func (codec) Name() string { return codecName }

func init() { encoding.RegisterCodec(codec{}) }

// stateUpdate is a message of the lease holder to the other daemons, with the changes since
// the last update.
type stateUpdate struct {
	// Full indicates whether Adapters and Unloading cover all engines, and not only the
	// changes.
	Full bool `msgpack:"whole"`
	// Adapters are the adapters that calls may use, as MODEL/ADAPTER, and Unloading the
	// models that are about to be unloaded, both by engine.
	Adapters  map[string][]string `msgpack:"adapters"`
	Unloading map[string][]string `msgpack:"closing"`
	// Leaving are the servers that have announced lately that they are leaving.
	Leaving []serverStart `msgpack:"leaving,omitempty"`
	// Limits are the limits of requests that servers have named, by server.
	Limits map[string]sched.Limit `msgpack:"limits,omitempty"`
	// Crashes is what the lease holder has learned about the ends of engines since the last
	// update, or all that it knows if Full is set.
	Crashes *crash.Facts `msgpack:"crashes,omitempty"`
	// Origins are the streams that began since the last update, or all that the lease holder knows if
	// Full is set, as package origin tells them.
	Origins *origin.Facts `msgpack:"origins,omitempty"`
	// Loads is the load that all daemons put on servers; nil if the update does not
	// include it.
	Loads map[string]sched.ServerLoad `msgpack:"loads"`
	// Lease is the lease of the sender, set together with Loads. A new Version shows the
	// daemons that the lease was renewed.
	Lease leaseState `msgpack:"lease"`
	// Tables are the changes of the tables that daemons follow, without those of tables
	// that the lease holder can't follow itself.
	Tables []mirror.Update `msgpack:"tables"`
}

// leaseState is the lease of the lease holder and its version.
type leaseState struct {
	VM       string `msgpack:"vm"`
	Instance string `msgpack:"instance"`
	Fence    int64  `msgpack:"fence"`
	Era      int64  `msgpack:"era,omitempty"`
	Version  int64  `msgpack:"version"`
}

// row returns the lease row.
func (l leaseState) row() lease.Row {
	return lease.Row{VM: l.VM, Instance: l.Instance, Fence: l.Fence, Era: l.Era}
}

// linkMethod is a stream of reports to the lease holder and of updates from it.
// reserveMethod is a call that requests time of an engine.
const (
	linkService   = "limpet.Steer"
	linkMethod    = "Link"
	linkPath      = "/" + linkService + "/" + linkMethod
	reserveMethod = "Reserve"
	reservePath   = "/" + linkService + "/" + reserveMethod
)

var linkStream = grpc.StreamDesc{StreamName: linkMethod, ServerStreams: true, ClientStreams: true}

// linkServer handles the links and reservation requests of other daemons.
type linkServer interface {
	admit(proof []string, ip string) error
	handleLink(stream grpc.ServerStream) error
	handleReserve(a sched.ReservationRequest) (sched.Reservation, error)
}

// serveLinks accepts links at l until ctx ends. It returns when the handlers of all links have returned.
func serveLinks(ctx context.Context, l net.Listener, s linkServer) error {
	server := grpc.NewServer(grpc.ForceServerCodec(codec{}), grpc.MaxHeaderListSize(maxHeadBytes), grpc.KeepaliveParams(linkKeepalive), grpc.MaxConcurrentStreams(maxStreams),
		grpc.Creds(newLinkCredentials()), grpc.InTapHandle(admitCalls(s)), grpc.WaitForHandlers(true))
	description := grpc.ServiceDesc{
		ServiceName: linkService,
		HandlerType: (*linkServer)(nil),
		Methods: []grpc.MethodDesc{{
			MethodName: reserveMethod,
			Handler: func(srv any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
				var a sched.ReservationRequest
				if err := decode(&a); err != nil {
					return nil, err
				}
				return srv.(linkServer).handleReserve(a)
			},
		}},
		Streams: []grpc.StreamDesc{{
			StreamName: linkMethod, ServerStreams: true, ClientStreams: true,
			Handler: func(srv any, stream grpc.ServerStream) error { return srv.(linkServer).handleLink(stream) },
		}},
	}
	server.RegisterService(&description, s)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	err := server.Serve(l)
	server.Stop()
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// dialLink opens a link of a daemon to the lease holder.
func dialLink(ctx context.Context, holder, self Member) (grpc.ClientStream, *grpc.ClientConn, error) {
	dialer := conns.NewDialer()
	conn, err := grpc.NewClient("passthrough:///"+holder.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp4", a) }),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{})),
		grpc.WithMaxHeaderListSize(maxHeadBytes),
		grpc.WithNoProxy(),
	)
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.NewStream(withProof(ctx, holder, self), &linkStream, linkPath)
	if err != nil {
		return nil, nil, errors.Join(err, conn.Close())
	}
	return stream, conn, nil
}
