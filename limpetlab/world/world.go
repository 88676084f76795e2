// Package world runs the stand-ins of a deployment on loopback sockets: a
// platform for each data centre to reach, engines and a plain service, and the
// links between data centres, which can be cut.
//
// # Usage
//
//	w, err := world.Start(ctx, world.Config{Deployment: deploy.Andesoft()})
//	defer w.Stop()
//	url := w.PlatformURL("lima-1")
//	w.AddDaemon("vm-1", "lima-1", peerAddress)
//	w.Cut("lima-1", world.Platform, world.Peers)
//	overcommits := w.Books().MemoryOvercommits
package world

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/link"
	"github.com/limpetlb/limpetlb/limpetlab/object"
	"github.com/limpetlb/limpetlb/limpetlab/plain"
	"github.com/limpetlb/limpetlb/limpetlab/serve"
	"github.com/limpetlb/limpetlb/limpetlab/table"
	"github.com/limpetlb/limpetlb/limpetlab/vmlist"
	"github.com/limpetlb/limpetlb/limpetlab/weight"
)

// Config says what to run.
type Config struct {
	Deployment deploy.Deployment
	// Engine sets the pace of the engines; its VM, memory and fencing are
	// set by the world.
	Engine engsim.Config
	// VMLag is the lag of the VM list.
	VMLag time.Duration
	// Faults is the hook of all stand-ins; nil for none.
	Faults fault.Provider
	// ServiceTime is how long the plain service takes for a call.
	ServiceTime time.Duration
	// PlatformAddress is the address of the first data centre's platform;
	// empty for any port.
	PlatformAddress string
}

// Engine is an engine with its server.
type Engine struct {
	*engsim.Engine
	VM     store.VM
	Server *serve.Server
}

// Service is a server of the plain service.
type Service struct {
	VM     store.VM
	Server *serve.Server
}

// World is a running set of stand-ins.
type World struct {
	config    Config
	Table     *table.Table
	Objects   *object.Store
	List      *vmlist.List
	Weights   *weight.Store
	Engines   []*Engine
	Services  []*Service
	Bookings  *plain.Books
	platforms map[string]*serve.Server

	mu    sync.Mutex
	links map[linkKey]*link.Link
	cut   map[string]bool
}

// linkKey names the link from a data centre to an address of another one.
type linkKey struct {
	from, to, address string
}

// loopback is any port of the loopback address.
const loopback = "127.0.0.1:0"

// Start starts the stand-ins. Their goroutines end with ctx or Stop.
func Start(ctx context.Context, c Config) (*World, error) {
	w := &World{
		config:    c,
		Table:     table.New(table.Config{}, table.WithFaults(c.Faults)),
		Objects:   object.New(object.WithFaults(c.Faults)),
		List:      vmlist.New(c.VMLag, vmlist.WithFaults(c.Faults)),
		Weights:   weight.New(c.Deployment.Store, weight.WithFaults(c.Faults)),
		Bookings:  plain.NewBooks(),
		platforms: make(map[string]*serve.Server),
		links:     make(map[linkKey]*link.Link),
		cut:       make(map[string]bool),
	}
	for i, dc := range c.Deployment.DataCentres {
		address := loopback
		if i == 0 && c.PlatformAddress != "" {
			address = c.PlatformAddress
		}
		if err := w.startDataCentre(ctx, dc, address); err != nil {
			w.Stop()
			return nil, err
		}
	}
	for i := range c.Deployment.ServiceVMs {
		if err := w.startService(i); err != nil {
			w.Stop()
			return nil, err
		}
	}
	return w, nil
}

// startDataCentre starts the platform's address in dc and the engines of dc.
func (w *World) startDataCentre(ctx context.Context, dc, address string) error {
	platform, err := serve.Start(address, w.platform(dc))
	if err != nil {
		return err
	}
	w.platforms[dc] = platform
	for i := range w.config.Deployment.Engines {
		if err := w.startEngine(ctx, dc, i); err != nil {
			return err
		}
	}
	return nil
}

// fencings are the kinds of engine, in turn.
var fencings = []store.Fencing{store.FencingRefuses, store.FencingIgnores, store.FencingUnknown}

// startEngine starts the engine of dc with an index.
func (w *World) startEngine(ctx context.Context, dc string, i int) error {
	c := w.config.Engine
	c.VM = fmt.Sprintf("engine-%s-%d", dc, i+1)
	c.MemoryMB = w.config.Deployment.EngineMB
	c.Fencing = fencings[i%len(fencings)]
	e := engsim.New(ctx, c, w.Weights, engsim.WithFaults(w.config.Faults))
	server, err := serve.Start(loopback, e.Handler())
	if err != nil {
		return err
	}
	vm := store.VM{
		ID: c.VM, Kind: store.KindEngine, DataCentre: dc, Region: w.config.Deployment.Name,
		Address: server.Address(), State: store.StateLive, Pool: w.config.Deployment.EnginePool,
		Fencing: c.Fencing, MemoryMB: c.MemoryMB, Accelerators: deploy.AcceleratorsPerEngine,
	}
	w.Engines = append(w.Engines, &Engine{Engine: e, VM: vm, Server: server})
	w.List.Add(vm)
	return nil
}

// startService starts the service's server with an index.
func (w *World) startService(i int) error {
	d := w.config.Deployment
	id := fmt.Sprintf("service-%d", i+1)
	s := plain.New(id, w.Bookings, plain.WithFaults(w.config.Faults), plain.WithTime(w.config.ServiceTime))
	server, err := serve.Start(loopback, s)
	if err != nil {
		return err
	}
	vm := store.VM{
		ID: id, Kind: store.KindService, DataCentre: d.DataCentres[i%len(d.DataCentres)], Region: d.Name,
		Address: server.Address(), State: store.StateLive, Pool: d.ServicePool,
	}
	w.Services = append(w.Services, &Service{VM: vm, Server: server})
	w.List.Add(vm)
	return nil
}

// platform serves the platform as a data centre sees it.
func (w *World) platform(dc string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/table/", w.Table.Handler())
	mux.Handle("/v1/objects/", w.Objects.Handler())
	mux.HandleFunc("GET /v1/vms", func(rw http.ResponseWriter, r *http.Request) {
		vms, err := w.List.VMs(r.Context())
		if err == nil {
			vms, err = w.view(dc, vms)
		}
		if err != nil {
			http.Error(rw, err.Error(), http.StatusServiceUnavailable)
			return
		}
		serve.JSON(rw, vmsBody{VMs: vms})
	})
	mux.HandleFunc("GET /books", func(rw http.ResponseWriter, _ *http.Request) {
		serve.JSON(rw, w.Books())
	})
	return mux
}

// vmsBody is the platform's answer with the VM list.
type vmsBody struct {
	VMs []store.VM `json:"vms"`
}

// PlatformURL returns the platform's base URL in a data centre.
func (w *World) PlatformURL(dc string) string {
	return "http://" + w.platforms[dc].Address()
}

// Region returns the region of all VMs.
func (w *World) Region() string {
	return w.config.Deployment.Name
}

// AddDaemon lists an entry VM.
func (w *World) AddDaemon(vm, dc, peerAddress string) {
	w.List.Add(store.VM{
		ID: vm, Kind: store.KindEntry, DataCentre: dc, Region: w.Region(),
		Address: peerAddress, State: store.StateLive,
	})
}

// Stop ends all stand-ins.
func (w *World) Stop() {
	for _, s := range w.platforms {
		s.Stop()
	}
	for _, s := range w.Services {
		s.Server.Stop()
	}
	for _, e := range w.Engines {
		e.Server.Stop()
		_ = e.Stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
		l.Cut()
	}
}
