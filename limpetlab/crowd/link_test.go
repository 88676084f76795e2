package crowd_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/limpetlb/limpetlb/limpetlab/crowd"
	"github.com/limpetlb/limpetlb/platform/stand"
)

const (
	// linkCrowd connections with linkMessages messages of linkMessage bytes each hold more than the limit of memory.
	linkCrowd    = 20
	linkMessages = 10
	linkMessage  = 4 << 20
)

// message is the body of a gRPC message that stops before its last byte and stays open.
type message struct {
	ctx  context.Context
	text io.Reader
	sent func()
}

func newMessage(ctx context.Context, size int, sent func()) *message {
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(size))
	return &message{ctx: ctx, text: io.MultiReader(strings.NewReader(string(prefix)), strings.NewReader(strings.Repeat("x", size-1))), sent: sent}
}

// Read implements io.Reader.
func (m *message) Read(p []byte) (int, error) {
	n, err := m.text.Read(p)
	if err != nil {
		m.sent()
		<-m.ctx.Done()
		return n, m.ctx.Err()
	}
	return n, nil
}

// Close implements io.Closer.
func (m *message) Close() error {
	m.sent()
	return nil
}

// linkPattern returns the pattern of clients of the port for links that send gRPC messages without their last byte.
func linkPattern(name, path string) crowd.Pattern {
	return crowd.Pattern{Name: name, Send: func(ctx context.Context, c *crowd.Client) {
		transport := &http.Transport{Protocols: new(http.Protocols), DialContext: func(context.Context, string, string) (net.Conn, error) { return c.Conn, nil }}
		transport.Protocols.SetUnencryptedHTTP2(true)
		var sent sync.WaitGroup
		for range linkMessages {
			sent.Add(1)
			done := sync.OnceFunc(sent.Done)
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Entry.Address+path, newMessage(ctx, linkMessage, done))
			if err != nil {
				done()
				continue
			}
			r.Header.Set("Content-Type", "application/grpc+msgpack")
			r.Header.Set("Te", "trailers")
			go func() {
				defer done()
				if a, err := transport.RoundTrip(r); err == nil {
					_, _ = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
				}
			}()
		}
		sent.Wait()
	}}
}

// linkPatterns are the patterns of clients of the port for links.
var linkPatterns = []crowd.Pattern{
	linkPattern("reports without their last byte", "/limpet.Steer/Link"),
	linkPattern("reservations without their last byte", "/limpet.Steer/Reserve"),
}

// TestLinksStayWithinMemory guards against messages at the port for links whose memory is not bounded together.
func TestLinksStayWithinMemory(t *testing.T) {
	for _, clients := range linkPatterns {
		t.Run(clients.Name, func(t *testing.T) {
			p, e, _ := startLimpetp(t, standardLimits, stand.SafeRoute, "")
			links := e
			links.Address = p.linkAddress
			runCrowd(t, p, links, e, clients, linkCrowd)
		})
	}
}
