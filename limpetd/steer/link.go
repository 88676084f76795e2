package steer

import (
	"context"
	"errors"
	"net"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/sched"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// codecName is the content subtype of messages between daemons.
const codecName = "msgpack"

// codec encodes messages between daemons.
type codec struct{}

// encoded is a message that is encoded already, as it goes to many daemons.
type encoded []byte

// packedBytes is the size from which messages are compressed, maxMessage that of the
// longest one.
const (
	packedBytes = 512
	maxMessage  = 16 << 20
)

// encode returns a message as it goes over a link.
func encode(v any) (encoded, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil || len(raw) < packedBytes {
		return raw, err
	}
	return store.Pack(raw)
}

func (codec) Marshal(v any) ([]byte, error) {
	if raw, ok := v.(encoded); ok {
		return raw, nil
	}
	return encode(v)
}

func (codec) Unmarshal(data []byte, v any) error {
	raw, err := store.Unpack(data, maxMessage)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}

func (codec) Name() string { return codecName }

func init() { encoding.RegisterCodec(codec{}) }

// word is what the steerer tells daemons: what has changed since its last word.
type word struct {
	// Whole tells that Adapters and Closing are those of all engines.
	Whole bool `msgpack:"whole"`
	// Adapters are MODEL/ADAPTER names, Closing models, both by engine.
	Adapters map[string][]string `msgpack:"adapters"`
	Closing  map[string][]string `msgpack:"closing"`
	// Loads is the load of servers over all daemons; nil if the word does not tell it.
	Loads map[string]sched.Shared `msgpack:"loads"`
	// Lease is that of the steerer, so that others know since when it is renewed.
	Lease leaseWord `msgpack:"lease"`
	// Tables are the changes of the tables that daemons follow. A table that the
	// steerer can't follow itself is missing.
	Tables []mirror.Update `msgpack:"tables"`
}

// leaseWord is the lease of the steerer and its version.
type leaseWord struct {
	VM       string `msgpack:"vm"`
	Instance string `msgpack:"instance"`
	Fence    int64  `msgpack:"fence"`
	Version  int64  `msgpack:"version"`
}

// linkMethod is a stream of reports to the steerer and of words back, askMethod a call
// that asks for time of an engine.
const (
	linkService = "limpet.Steer"
	linkMethod  = "Link"
	linkPath    = "/" + linkService + "/" + linkMethod
	askMethod   = "Reserve"
	askPath     = "/" + linkService + "/" + askMethod
)

var linkStream = grpc.StreamDesc{StreamName: linkMethod, ServerStreams: true, ClientStreams: true}

// linkServer answers links.
type linkServer interface {
	link(stream grpc.ServerStream) error
	reserve(a sched.Ask) (sched.Grant, error)
}

// serveLinks serves links at l until ctx ends.
func serveLinks(ctx context.Context, l net.Listener, s linkServer) error {
	server := grpc.NewServer(grpc.ForceServerCodec(codec{}))
	description := grpc.ServiceDesc{
		ServiceName: linkService,
		HandlerType: (*linkServer)(nil),
		Methods: []grpc.MethodDesc{{
			MethodName: askMethod,
			Handler: func(srv any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
				var a sched.Ask
				if err := decode(&a); err != nil {
					return nil, err
				}
				return srv.(linkServer).reserve(a)
			},
		}},
		Streams: []grpc.StreamDesc{{
			StreamName: linkMethod, ServerStreams: true, ClientStreams: true,
			Handler: func(srv any, stream grpc.ServerStream) error { return srv.(linkServer).link(stream) },
		}},
	}
	server.RegisterService(&description, s)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// dialLink opens a link to the steerer at address.
func dialLink(ctx context.Context, address string) (grpc.ClientStream, *grpc.ClientConn, error) {
	dialer := conns.NewDialer()
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp4", a) }),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{})),
		grpc.WithNoProxy(),
	)
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.NewStream(ctx, &linkStream, linkPath)
	if err != nil {
		return nil, nil, errors.Join(err, conn.Close())
	}
	return stream, conn, nil
}
