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

// documentMeasures measures environment documents, the VM list and the time line
// of events.
func documentMeasures() []measure {
	models := []int{100, 300, 900}
	return []measure{
		{"documents", "document", "bytes", "models", models, TargetModels, documentBytes},
		{"documents", "fetching it from a peer", "bytes", "models", models, TargetModels, fetchBytes},
		{"documents", "decoding", "us", "models", models, TargetModels, decodeTime},
		{"documents", "decoded document", "bytes", "models", models, TargetModels, documentMemory},
		{"membership", "VM list", "bytes", "VMs", []int{160, 480, TargetVMs}, TargetVMs, vmListBytes},
		{"time line", "events kept", "bytes", "events", []int{2048, 4096, event.DefaultCapacity}, event.DefaultCapacity, withoutError(timeLineMemory)},
		{"time line", "selecting a request's events", "us", "events", []int{2048, 4096, event.DefaultCapacity}, event.DefaultCapacity, withoutError(eventSelectTime)},
	}
}

// documentYAML returns an environment document with a number of models, encoded
// as YAML.
func documentYAML(models int) ([]byte, error) {
	d := deploy.Andesoft()
	d.Models, d.Adapters = models, models*AdaptersPerModel
	return deploy.EncodeDocument(d.Document(1))
}

// documentBytes returns the encoded size of a document.
func documentBytes(_ context.Context, models int) (float64, error) {
	b, err := documentYAML(models)
	return float64(len(b)), err
}

// documentProvider provides an encoded document to peers.
type documentProvider []byte

// Copy implements peer.DocumentProvider.
func (p documentProvider) Copy(string) (member.DocumentCopy, error) {
	return member.DocumentCopy{Revision: 1, Digest: envdoc.Digest(p), Body: p}, nil
}

// fetchBytes returns the bytes on the wire of fetching a document from a peer,
// without TLS.
func fetchBytes(ctx context.Context, models int) (float64, error) {
	b, err := documentYAML(models)
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	c := &byteCounter{Listener: l}
	config := peer.Config{Environment: "andesoft/production", VM: "entry-vm-001", Instance: "entry-vm-001-instance"}
	peer.NewServer(ctx, config, c, peer.ServerDeps{Documents: documentProvider(b)})
	client := peer.NewClient(ctx, config, peer.ClientDeps{})
	fetch := func() {
		if err == nil {
			_, err = client.Document(ctx, l.Addr().String())
		}
	}
	fetch()
	before := c.bytes.Load()
	for range countedCalls {
		fetch()
	}
	return float64(c.bytes.Load()-before) / countedCalls, err
}

// decodeTime returns the processor time of decoding a document.
func decodeTime(_ context.Context, models int) (float64, error) {
	b, err := documentYAML(models)
	if err != nil {
		return 0, err
	}
	if _, err := envdoc.Decode("measured", b); err != nil {
		return 0, err
	}
	return cpuTimePerCall(func() { _, _ = envdoc.Decode("measured", b) }), nil
}

// documentMemory returns the heap size of a decoded document.
func documentMemory(_ context.Context, models int) (float64, error) {
	b, err := documentYAML(models)
	if err != nil {
		return 0, err
	}
	return retainedBytes(func() any {
		doc, _ := envdoc.Decode("measured", b)
		return doc
	}), nil
}

// daemonsPerEightVMs is the number of daemons among eight VMs at the target size.
const daemonsPerEightVMs = 8 * TargetDaemons / TargetVMs

// vmListBytes returns the size of a VM list of n VMs in the platform's JSON format.
func vmListBytes(_ context.Context, n int) (float64, error) {
	var l struct {
		VMs []store.VM `json:"vms"`
	}
	for i := range n {
		vm := store.VM{ID: fmt.Sprintf("entry-vm-%03d", i), Kind: store.KindEntry, DataCentre: "lima-1", Region: "lima", Address: "10.0.12.200:8081", State: store.StateLive}
		if i%8 >= daemonsPerEightVMs {
			vm.ID, vm.Kind, vm.Pool = engineVM(i), store.KindEngine, "assistant"
			vm.Fencing, vm.MemoryMB, vm.Accelerators = store.FencingRefuses, 320_000, deploy.AcceleratorsPerEngine
		}
		l.VMs = append(l.VMs, vm)
	}
	b, err := json.Marshal(l)
	return float64(len(b)), err
}

// fullTimeLine returns a time line at its capacity of n events, five for each
// request.
func fullTimeLine(n int) *event.Timeline {
	const eventsPerRequest = 5
	l := event.New("entry-vm-001", event.WithCapacity(n))
	for i := range n {
		l.Add(event.Event{
			Kind: event.RequestSent, Request: fmt.Sprintf("0123456789abcdef0123456789%06d", i/eventsPerRequest),
			Model: "model-001", VM: engineVM(i), Text: fmt.Sprintf("attempt %d", i),
		})
	}
	return l
}

// timeLineMemory returns the heap size of a full time line.
func timeLineMemory(n int) float64 {
	return retainedBytes(func() any { return fullTimeLine(n) })
}

// eventSelectTime returns the processor time of selecting the events of a request
// that has none from a full time line.
func eventSelectTime(n int) float64 {
	l := fullTimeLine(n)
	return cpuTimePerCall(func() { l.Select(event.Filter{Request: "none"}) })
}
