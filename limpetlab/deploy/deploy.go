// Package deploy defines the two sample deployments, andesoft and ibeji, that the
// demo, the load tool, the fault matrix and the benchmarks use: their sizes, their
// environment documents and the API keys of their callers.
//
// # Usage
//
//	d, err := deploy.ByName("andesoft")
//	doc := d.Document(1)
//	body, err := deploy.EncodeDocument(doc)
package deploy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/weight"
)

// AcceleratorsPerEngine is the number of accelerators of an engine.
const AcceleratorsPerEngine = 4

// Deployment describes an organisation's installation.
type Deployment struct {
	Name        string
	DataCentres []string
	// Daemons and Engines are the numbers of daemons and engines in each data
	// centre.
	Daemons int
	Engines int
	// ServiceVMs is the number of backend servers of the plain service over all
	// data centres.
	ServiceVMs int
	// EngineMemoryMB is the accelerator memory of an engine in MB.
	EngineMemoryMB int64
	Models         int
	Adapters       int
	Weights        envdoc.Weights
	// WeightStore configures the weight store.
	WeightStore weight.Config
	// EnginePool and ServicePool are the names of the VM pools, Service is the
	// name of the plain service.
	EnginePool  string
	ServicePool string
	Service     string
	// AtMostOncePath is the path of calls that must be executed at most once,
	// RepeatablePath that of calls that may be repeated.
	AtMostOncePath string
	RepeatablePath string
	// NetworkDelay is the one-way network delay between callers and a data centre.
	NetworkDelay time.Duration
}

// Names of the priorities and callers in the documents of both deployments.
const (
	PriorityUrgent   = "urgent"
	PriorityNormal   = "normal"
	PriorityDeferred = "overnight"
	CallerUrgent     = "app"
	CallerNormal     = "desk"
	CallerDeferred   = "summaries"
)

// Andesoft returns the deployment in Lima.
func Andesoft() Deployment {
	return Deployment{
		Name:           "andesoft",
		DataCentres:    []string{"lima-1", "lima-2", "lima-3", "lima-4"},
		Daemons:        2,
		Engines:        3,
		ServiceVMs:     4,
		EngineMemoryMB: 320_000,
		Models:         15,
		Adapters:       75,
		Weights:        envdoc.Weights{Attainment: 8, Moves: 2},
		WeightStore: weight.Config{
			ModelsPerSecond: 1.4, FullSpeedModels: 14,
			AdapterMin: 6 * time.Millisecond, AdapterMax: 19 * time.Millisecond,
			FullSpeedAdapters: 110,
		},
		EnginePool:     "assistant",
		ServicePool:    "app",
		Service:        "app",
		AtMostOncePath: "/bookings",
		RepeatablePath: "/schedule",
		NetworkDelay:   time.Millisecond,
	}
}

// Ibeji returns the deployment in Lagos.
func Ibeji() Deployment {
	return Deployment{
		Name:           "ibeji",
		DataCentres:    []string{"lagos-1", "lagos-2", "lagos-3"},
		Daemons:        2,
		Engines:        4,
		ServiceVMs:     3,
		EngineMemoryMB: 320_000,
		Models:         26,
		Adapters:       63,
		Weights:        envdoc.Weights{Attainment: 3, Moves: 8},
		WeightStore: weight.Config{
			ModelsPerSecond: 1.4, FullSpeedModels: 16,
			AdapterMin: 9 * time.Millisecond, AdapterMax: 29 * time.Millisecond,
			FullSpeedAdapters: 130,
		},
		EnginePool:     "drafting",
		ServicePool:    "dispatch",
		Service:        "dispatch",
		AtMostOncePath: "/sends",
		RepeatablePath: "/campaigns",
		NetworkDelay:   3 * time.Millisecond,
	}
}

// ByName returns the deployment with a name. An unknown name is an error with code
// BadParameter.
func ByName(name string) (Deployment, error) {
	switch name {
	case "andesoft":
		return Andesoft(), nil
	case "ibeji":
		return Ibeji(), nil
	}
	return Deployment{}, code.Errorf(code.BadParameter, "unknown deployment %q: must be andesoft or ibeji", name)
}

// Accelerators returns the number of accelerators in all data centres.
func (d Deployment) Accelerators() int {
	return len(d.DataCentres) * d.Engines * AcceleratorsPerEngine
}

// WithFasterStore returns a copy of d whose weight store loads models faster by a factor.
func (d Deployment) WithFasterStore(factor float64) Deployment {
	d.WeightStore.ModelsPerSecond *= factor
	return d
}

// CallerKey returns the API key of a caller.
func CallerKey(caller string) string {
	return "demo-key-of-" + caller
}

// keyDigest returns the SHA-256 digest of a caller's key in hexadecimal.
func keyDigest(caller string) string {
	sum := sha256.Sum256([]byte(CallerKey(caller)))
	return hex.EncodeToString(sum[:])
}

// Memory of the models and adapters in the documents, in MB. Model sizes start at
// smallestModelMB, grow by modelStepMB and repeat after modelSizes models.
const (
	smallestModelMB = 14_000
	modelStepMB     = 6_000
	modelSizes      = 5
	adapterMB       = 180
)

// Document returns the environment document of d with a revision. The version of a
// model is the revision in which the model last changed, here always 1.
func (d Deployment) Document(revision int64) *envdoc.Document {
	doc := &envdoc.Document{
		Environment: d.Name,
		Revision:    revision,
		Weights:     d.Weights,
		Priorities:  priorities(),
		Callers: []envdoc.Caller{
			{Name: CallerUrgent, KeySHA256: keyDigest(CallerUrgent), Priorities: []string{PriorityUrgent, PriorityNormal}},
			{Name: CallerNormal, KeySHA256: keyDigest(CallerNormal), Priorities: []string{PriorityNormal}},
			{Name: CallerDeferred, KeySHA256: keyDigest(CallerDeferred), Priorities: []string{PriorityDeferred}},
		},
		Services: []envdoc.Service{d.service()},
		Budgets: envdoc.Budgets{
			LoadsPerSecond:    d.WeightStore.ModelsPerSecond,
			LoadsAtOnce:       d.WeightStore.FullSpeedModels,
			AdaptersInTransit: d.WeightStore.FullSpeedAdapters,
		},
	}
	for i := range d.Models {
		doc.Models = append(doc.Models, d.model(i))
	}
	for i := range d.Adapters {
		m := &doc.Models[i%d.Models]
		name := fmt.Sprintf("%s-a%d", m.Name, i/d.Models+1)
		m.Adapters = append(m.Adapters, envdoc.Adapter{Name: name, Version: "1", MemoryMB: adapterMB})
	}
	return doc
}

// priorities returns the priorities in the documents of both deployments.
func priorities() []envdoc.Priority {
	return []envdoc.Priority{
		{Name: PriorityUrgent, Rank: 0, FirstToken: envdoc.Duration(900 * time.Millisecond), BetweenTokens: envdoc.Duration(57 * time.Millisecond)},
		{Name: PriorityNormal, Rank: 1, FirstToken: envdoc.Duration(1700 * time.Millisecond), BetweenTokens: envdoc.Duration(57 * time.Millisecond)},
		{
			Name: PriorityDeferred, Rank: 2, Deferred: true,
			FirstToken: envdoc.Duration(10 * time.Minute), BetweenTokens: envdoc.Duration(200 * time.Millisecond),
			Deadline: envdoc.Duration(9 * time.Hour),
		},
	}
}

// service returns the declaration of the plain service.
func (d Deployment) service() envdoc.Service {
	return envdoc.Service{
		Name: d.Service,
		Pool: d.ServicePool,
		Paths: []envdoc.Path{
			{Method: "POST", Path: d.AtMostOncePath, KeyRequired: true},
			{Method: "GET", Path: d.RepeatablePath, Repeatable: true},
		},
	}
}

// model returns the declaration of the model with index i.
func (d Deployment) model(i int) envdoc.Model {
	m := envdoc.Model{
		Name:     fmt.Sprintf("%s-m%02d", d.Name, i+1),
		Version:  "1",
		Pool:     d.EnginePool,
		MemoryMB: smallestModelMB + modelStepMB*int64(i%modelSizes),
	}
	if i == 0 {
		m.MinReplicas = 2
	}
	return m
}

// EncodeDocument returns a document as YAML.
func EncodeDocument(doc *envdoc.Document) ([]byte, error) {
	return yaml.Marshal(doc)
}
