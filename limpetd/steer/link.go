package steer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// codecName is the content subtype of messages between daemons.
const codecName = "msgpack"

// codec encodes messages between daemons.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return msgpack.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return msgpack.Unmarshal(data, v) }
func (codec) Name() string                       { return codecName }

func init() { encoding.RegisterCodec(codec{}) }

// holdings is what the steerer tells daemons.
type holdings struct {
	// Whole tells that the maps below are set; else nothing has changed.
	Whole bool `msgpack:"whole"`
	// Adapters are MODEL/ADAPTER names, Closing models, both by engine.
	Adapters map[string][]string `msgpack:"adapters"`
	Closing  map[string][]string `msgpack:"closing"`
}

// linkPath names the one call of the link: a stream of reports to the steerer and of
// holdings back.
const (
	linkService = "limpet.Steer"
	linkMethod  = "Link"
	linkPath    = "/" + linkService + "/" + linkMethod
)

var linkStream = grpc.StreamDesc{StreamName: linkMethod, ServerStreams: true, ClientStreams: true}

// linkServer answers links.
type linkServer interface {
	link(stream grpc.ServerStream) error
}

// serveLinks serves links at l until ctx ends.
func serveLinks(ctx context.Context, l net.Listener, s linkServer) error {
	server := grpc.NewServer(grpc.ForceServerCodec(codec{}))
	description := grpc.ServiceDesc{
		ServiceName: linkService,
		HandlerType: (*linkServer)(nil),
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
func dialLink(ctx context.Context, address string) (grpc.ClientStream, io.Closer, error) {
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

// hub sends holdings to the linked daemons.
type hub struct {
	mu    sync.Mutex
	links map[*outbox]bool
}

// outbox holds the newest holdings for a link; a newer one replaces it.
type outbox struct{ next chan holdings }

func newHub() *hub { return &hub{links: map[*outbox]bool{}} }

func (h *hub) join() *outbox {
	o := &outbox{next: make(chan holdings, 1)}
	h.mu.Lock()
	h.links[o] = true
	h.mu.Unlock()
	return o
}

func (h *hub) leave(o *outbox) {
	h.mu.Lock()
	delete(h.links, o)
	h.mu.Unlock()
}

// send hands holdings to all links. Holdings that a link has not taken yet are replaced.
func (h *hub) send(m holdings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for o := range h.links {
		o.put(m)
	}
}

// ack tells a daemon that its report came.
func (h *hub) ack(o *outbox) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.put(holdings{})
}

func (o *outbox) put(m holdings) {
	for {
		select {
		case o.next <- m:
			return
		default:
		}
		select {
		case old := <-o.next:
			if old.Whole && !m.Whole {
				m = old
			}
		default:
		}
	}
}
