package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// documents measures documents, the VM list and the time line.
func documents() []measure {
	models := []int{100, 300, 900}
	return []measure{
		{"documents", "document", "bytes", "models", models, TargetModels, documentBytes},
		{"documents", "fetching it from a peer", "bytes", "models", models, TargetModels, fetchBytes},
		{"documents", "decoding", "us", "models", models, TargetModels, decodeTime},
		{"documents", "decoded document", "bytes", "models", models, TargetModels, documentMemory},
		{"membership", "VM list", "bytes", "VMs", []int{160, 480, VMs}, VMs, listBytes},
		{"time line", "events kept", "bytes", "events", []int{2048, 4096, event.DefaultCapacity}, event.DefaultCapacity, once(eventMemory)},
		{"time line", "selecting a request's events", "us", "events", []int{2048, 4096, event.DefaultCapacity}, event.DefaultCapacity, once(eventSelect)},
	}
}

// body returns a document with models in YAML.
func body(models int) ([]byte, error) {
	d := deploy.Andesoft()
	d.Models, d.Adapters = models, models*AdaptersPerModel
	return deploy.Encode(d.Document(1))
}

func documentBytes(_ context.Context, models int) (float64, error) {
	b, err := body(models)
	return float64(len(b)), err
}

// copies hands on a document.
type copies []byte

// Copy implements peer.DocumentProvider.
func (c copies) Copy(string) (member.Copy, error) {
	return member.Copy{Revision: 1, Digest: envdoc.Digest(c), Body: c}, nil
}

// fetchBytes returns the bytes of fetching a document from a peer, without TLS.
func fetchBytes(ctx context.Context, models int) (float64, error) {
	b, err := body(models)
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	c := &counter{Listener: l}
	config := peer.Config{Environment: "andesoft/production", VM: "entry-vm-001", Instance: "entry-vm-001-instance"}
	peer.NewServer(ctx, config, c, peer.ServerDeps{Documents: copies(b)})
	client := peer.NewClient(ctx, config, peer.ClientDeps{})
	fetch := func() {
		if err == nil {
			_, err = client.Document(ctx, l.Addr().String())
		}
	}
	fetch()
	before := c.bytes.Load()
	for range calls {
		fetch()
	}
	return float64(c.bytes.Load()-before) / calls, err
}

func decodeTime(_ context.Context, models int) (float64, error) {
	b, err := body(models)
	if err != nil {
		return 0, err
	}
	if _, err := envdoc.Decode("measured", b); err != nil {
		return 0, err
	}
	return perCall(func() { _, _ = envdoc.Decode("measured", b) }), nil
}

func documentMemory(_ context.Context, models int) (float64, error) {
	b, err := body(models)
	if err != nil {
		return 0, err
	}
	return held(func() any {
		doc, _ := envdoc.Decode("measured", b)
		return doc
	}), nil
}

// daemonsInEight is the number of daemons among eight VMs at the size to design
// for.
const daemonsInEight = 8 * TargetDaemons / VMs

// listBytes returns the size of the VM list in the platform's form.
func listBytes(_ context.Context, n int) (float64, error) {
	var l struct {
		VMs []store.VM `json:"vms"`
	}
	for i := range n {
		vm := store.VM{ID: fmt.Sprintf("entry-vm-%03d", i), Kind: store.KindEntry, DataCentre: "lima-1", Region: "lima", Address: "10.0.12.200:8081", State: store.StateLive}
		if i%8 >= daemonsInEight {
			vm.ID, vm.Kind, vm.Pool = engineVM(i), store.KindEngine, "assistant"
			vm.Fencing, vm.MemoryMB, vm.Accelerators = store.FencingRefuses, 320_000, deploy.AcceleratorsPerEngine
		}
		l.VMs = append(l.VMs, vm)
	}
	b, err := json.Marshal(l)
	return float64(len(b)), err
}

// filled returns a time line that is full, five events a request.
func filled(n int) *event.Line {
	const perRequest = 5
	l := event.New("entry-vm-001", event.WithCapacity(n))
	for i := range n {
		l.Add(event.Event{
			Kind: event.RequestSent, Request: fmt.Sprintf("0123456789abcdef0123456789%06d", i/perRequest),
			Model: "model-001", VM: engineVM(i), Text: fmt.Sprintf("attempt %d", i),
		})
	}
	return l
}

func eventMemory(n int) float64 {
	return held(func() any { return filled(n) })
}

func eventSelect(n int) float64 {
	l := filled(n)
	return perCall(func() { l.Select(event.Filter{Request: "none"}) })
}
