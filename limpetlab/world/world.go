// Package world simulates the environment of a deployment's daemons with servers on
// loopback sockets: the platform, with one address for each data centre, engines, a
// plain service, and the links between data centres, which can be cut.
//
// # Usage
//
//	w, err := world.Start(ctx, world.Config{Deployment: deploy.Andesoft()})
//	defer w.Stop()
//	url := w.PlatformURL("lima-1")
//	w.AddDaemon("vm-1", "lima-1", peerAddress)
//	w.Disconnect("lima-1", world.FromPlatform, world.FromPeers)
//	overcommits := w.Stats().MemoryOvercommits
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

// Config configures an Environment.
type Config struct {
	Deployment deploy.Deployment
	// Engine configures the engines. The Environment sets VM, MemoryMB and Fencing for
	// each engine.
	Engine engsim.Config
	// VMLag is the time after which changes appear in the VM list.
	VMLag time.Duration
	// Faults is the fault hook of all simulated servers; nil for none.
	Faults fault.Provider
	// ServiceTime is the time that the plain service takes for a call.
	ServiceTime time.Duration
	// PlatformAddress is the platform's address for the first data centre; empty
	// selects a free port of the loopback address.
	PlatformAddress string
}

// Engine is a simulated engine with its HTTP server.
type Engine struct {
	*engsim.Engine
	VM     store.VM
	Server *serve.Server
}

// Service is a backend server of the plain service.
type Service struct {
	VM     store.VM
	Server *serve.Server
}

// Environment is a running set of simulated servers.
type Environment struct {
	config       Config
	Table        *table.Table
	Objects      *object.Store
	VMList       *vmlist.List
	Weights      *weight.Store
	Engines      []*Engine
	Services     []*Service
	ExecutionLog *plain.ExecutionLog
	platforms    map[string]*serve.Server

	mu    sync.Mutex
	links map[linkKey]*link.Link
	// isolated indicates which data centres are disconnected from their peers.
	isolated map[string]bool
}

// linkKey identifies the link from a data centre to an address in another one.
type linkKey struct {
	from, to, address string
}

// loopbackAddress selects a free port of the loopback address.
const loopbackAddress = "127.0.0.1:0"

// Start starts the servers. Their goroutines end when ctx ends or Stop is called.
func Start(ctx context.Context, c Config) (*Environment, error) {
	w := &Environment{
		config:       c,
		Table:        table.New(table.Config{}, table.WithFaults(c.Faults)),
		Objects:      object.New(object.WithFaults(c.Faults)),
		VMList:       vmlist.New(c.VMLag, vmlist.WithFaults(c.Faults)),
		Weights:      weight.New(c.Deployment.WeightStore, weight.WithFaults(c.Faults)),
		ExecutionLog: plain.NewExecutionLog(),
		platforms:    make(map[string]*serve.Server),
		links:        make(map[linkKey]*link.Link),
		isolated:     make(map[string]bool),
	}
	for i, dc := range c.Deployment.DataCentres {
		address := loopbackAddress
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

// startDataCentre starts the platform's server for dc at an address, and the engines
// of dc.
func (w *Environment) startDataCentre(ctx context.Context, dc, address string) error {
	platform, err := serve.Start(address, w.platformHandler(dc))
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

// engineFencings lists the fencing behaviours that the engines of a data centre have
// in turn.
var engineFencings = []store.Fencing{store.FencingRefuses, store.FencingIgnores, store.FencingUnknown}

// startEngine starts the engine of dc with index i and adds it to the VM list.
func (w *Environment) startEngine(ctx context.Context, dc string, i int) error {
	c := w.config.Engine
	c.VM = fmt.Sprintf("engine-%s-%d", dc, i+1)
	c.MemoryMB = w.config.Deployment.EngineMemoryMB
	c.Fencing = engineFencings[i%len(engineFencings)]
	e := engsim.New(ctx, c, w.Weights, engsim.WithFaults(w.config.Faults))
	server, err := serve.Start(loopbackAddress, e.Handler())
	if err != nil {
		return err
	}
	vm := store.VM{
		ID: c.VM, Kind: store.KindEngine, DataCentre: dc, Region: w.config.Deployment.Name,
		Address: server.Address(), State: store.StateLive, Pool: w.config.Deployment.EnginePool,
		Fencing: c.Fencing, MemoryMB: c.MemoryMB, Accelerators: deploy.AcceleratorsPerEngine,
	}
	w.Engines = append(w.Engines, &Engine{Engine: e, VM: vm, Server: server})
	w.VMList.Add(vm)
	return nil
}

// startService starts the plain service's server with index i and adds it to the VM
// list. The servers are spread over the data centres in turn.
func (w *Environment) startService(i int) error {
	d := w.config.Deployment
	id := fmt.Sprintf("service-%d", i+1)
	s := plain.New(id, w.ExecutionLog, plain.WithFaults(w.config.Faults), plain.WithExecutionTime(w.config.ServiceTime))
	server, err := serve.Start(loopbackAddress, s)
	if err != nil {
		return err
	}
	vm := store.VM{
		ID: id, Kind: store.KindService, DataCentre: d.DataCentres[i%len(d.DataCentres)], Region: d.Name,
		Address: server.Address(), State: store.StateLive, Pool: d.ServicePool,
	}
	w.Services = append(w.Services, &Service{VM: vm, Server: server})
	w.VMList.Add(vm)
	return nil
}

// platformHandler returns the platform's HTTP handler for a data centre.
func (w *Environment) platformHandler(dc string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/table/", w.Table.Handler())
	mux.Handle("/v1/objects/", w.Objects.Handler())
	mux.HandleFunc("GET /v1/vms", func(rw http.ResponseWriter, r *http.Request) {
		vms, err := w.VMList.VMs(r.Context())
		if err == nil {
			vms, err = w.reachableVMs(dc, vms)
		}
		if err != nil {
			http.Error(rw, err.Error(), http.StatusServiceUnavailable)
			return
		}
		serve.WriteJSON(rw, vmsResponse{VMs: vms})
	})
	mux.HandleFunc("GET /books", func(rw http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(rw, w.Stats())
	})
	return mux
}

// vmsResponse is the response body with the VM list.
type vmsResponse struct {
	VMs []store.VM `json:"vms"`
}

// PlatformURL returns the platform's base URL for a data centre.
func (w *Environment) PlatformURL(dc string) string {
	return "http://" + w.platforms[dc].Address()
}

// Region returns the region of all VMs.
func (w *Environment) Region() string {
	return w.config.Deployment.Name
}

// AddDaemon adds a daemon's VM to the VM list, with its peer address.
func (w *Environment) AddDaemon(vm, dc, peerAddress string) {
	w.VMList.Add(store.VM{
		ID: vm, Kind: store.KindEntry, DataCentre: dc, Region: w.Region(),
		Address: peerAddress, State: store.StateLive,
	})
}

// Stop stops all servers and cuts all links.
func (w *Environment) Stop() {
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
