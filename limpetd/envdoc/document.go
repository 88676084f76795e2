// Package envdoc defines and decodes the environment document, which declares the
// models, adapters and plain services of an environment, the callers that may use
// them, and the priorities of requests.
//
// A document is written in YAML. It is decoded strictly and validated as a whole:
// all faults are reported at once, each with file, line, column and the text of
// the line. A decoded document is never changed, so it can be shared by pointer.
//
// # Usage
//
//	doc, err := envdoc.Decode("andesoft.yaml", body)
//	if err != nil { ... } // code DocumentInvalid, lists every fault
//	model, adapter, ok := doc.Lookup("speakers-es")
package envdoc

import "time"

// Document is an environment document.
type Document struct {
	// Environment names the environment, for example "andesoft".
	Environment string `yaml:"environment" json:"environment"`
	// Revision is at least 1. In a submitted document, Revision is one higher than
	// the revision of the document that is replaced; in a promoted document,
	// Revision may also be more than one higher.
	Revision   int64      `yaml:"revision" json:"revision"`
	Weights    Weights    `yaml:"weights" json:"weights"`
	Priorities []Priority `yaml:"priorities" json:"priorities"`
	Models     []Model    `yaml:"models" json:"models"`
	Callers    []Caller   `yaml:"callers" json:"callers"`
	Services   []Service  `yaml:"services,omitempty" json:"services,omitempty"`
	Budgets    Budgets    `yaml:"budgets" json:"budgets"`

	// index holds the positions of models and adapters by name. It is nil unless
	// the document was decoded by Decode or Validate.
	index map[string]position
}

// Weights balance two conflicting goals of placement: attainment and few moves.
type Weights struct {
	// Attainment is the weight, from 0 to 10, of requests that meet the
	// expected times of their priority.
	Attainment float64 `yaml:"attainment" json:"attainment"`
	// Moves is the weight, from 0 to 10, of avoiding loads and unloads.
	Moves float64 `yaml:"moves" json:"moves"`
}

// Priority is a class of requests with expected response times.
type Priority struct {
	Name string `yaml:"name" json:"name"`
	// Rank is the order of the priority; rank 0 is the most urgent.
	Rank int `yaml:"rank" json:"rank"`
	// FirstToken is the time within which the first token is expected.
	FirstToken Duration `yaml:"first_token" json:"first_token"`
	// BetweenTokens is the time that is expected between two tokens.
	BetweenTokens Duration `yaml:"between_tokens" json:"between_tokens"`
	// Deferred marks requests that may wait until Deadline.
	Deferred bool `yaml:"deferred,omitempty" json:"deferred,omitempty"`
	// Deadline is the time after submission until which a deferred request may
	// wait. It is required for a deferred priority and not allowed otherwise.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
}

// Model is a declared model with its adapters.
type Model struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
	// Pool is the name of the engine pool that serves the model.
	Pool string `yaml:"pool" json:"pool"`
	// MemoryMB is the accelerator memory, in MB, that the loaded model occupies.
	MemoryMB int64 `yaml:"memory_mb" json:"memory_mb"`
	// MinReplicas is the minimum number of replicas in all data centres
	// together; 0 means 1.
	MinReplicas int       `yaml:"min_replicas,omitempty" json:"min_replicas,omitempty"`
	Adapters    []Adapter `yaml:"adapters,omitempty" json:"adapters,omitempty"`
}

// Adapter is a declared adapter of a model. Callers request an adapter by its
// name.
type Adapter struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
	// MemoryMB is the accelerator memory, in MB, that the loaded adapter
	// occupies.
	MemoryMB int64 `yaml:"memory_mb" json:"memory_mb"`
}

// Caller is a client that may send requests, identified by its key.
type Caller struct {
	Name string `yaml:"name" json:"name"`
	// KeySHA256 is the SHA-256 digest of the caller's key in lower-case
	// hexadecimal.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256"`
	// Priorities are the names of the priorities that the caller may request.
	// The first one is the default.
	Priorities []string `yaml:"priorities" json:"priorities"`
	// Models are the names of the models and adapters that the caller may use;
	// empty means all.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Services are the names of the services that the caller may use; empty
	// means all.
	Services []string `yaml:"services,omitempty" json:"services,omitempty"`
	// RequestsPerSecond is the rate limit of the caller over all daemons
	// together; 0 means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
}

// Service is a declared plain service, which runs on backend servers that are not
// engines.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Pool is the name of the pool of backend servers that run the service.
	Pool  string `yaml:"pool" json:"pool"`
	Paths []Path `yaml:"paths" json:"paths"`
}

// Path is a declared path of a plain service.
type Path struct {
	Method string `yaml:"method" json:"method"`
	// Path is an exact path, or a path that ends in /* and matches all paths
	// below.
	Path string `yaml:"path" json:"path"`
	// Repeatable marks calls that may be sent again after a failure.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// KeyRequired marks calls that are rejected without an idempotency key.
	KeyRequired bool `yaml:"key_required,omitempty" json:"key_required,omitempty"`
}

// Budgets are limits on loads that all data centres share.
type Budgets struct {
	// LoadsPerSecond is the number of loads per second that the weight store
	// serves.
	LoadsPerSecond float64 `yaml:"loads_per_second" json:"loads_per_second"`
	// LoadsAtOnce is the number of concurrent loads that the weight store
	// serves at full speed.
	LoadsAtOnce int `yaml:"loads_at_once" json:"loads_at_once"`
	// AdaptersInTransit is the number of concurrent adapter loads on all
	// engines together above which each load takes proportionally longer.
	AdaptersInTransit int `yaml:"adapters_in_transit" json:"adapters_in_transit"`
}

// Slot identifies a model, or an adapter of a model, in one version, as an engine
// holds it. Adapter is empty for a model.
type Slot struct {
	Model   string `json:"model" msgpack:"model"`
	Adapter string `json:"adapter,omitempty" msgpack:"adapter,omitempty"`
	Version string `json:"version" msgpack:"version"`
}

// String returns model[/adapter]@version.
func (s Slot) String() string {
	if s.Adapter == "" {
		return s.Model + "@" + s.Version
	}
	return s.Model + "/" + s.Adapter + "@" + s.Version
}

// Duration is a time span that is written like "1500ms".
type Duration time.Duration

// MarshalText formats d as a string such as "1.5s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a time span such as "1500ms" or "8h".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
