// Package envdoc is the environment document: what must be served, for whom and
// at which priority.
//
// A document is written in YAML, decoded strictly and checked as a whole: all
// faults are reported at once, each with file, line, column and the offending
// line. A decoded document is never changed; daemons share it by pointer.
//
// # Usage
//
//	doc, err := envdoc.Decode("andesoft.yaml", body)
//	if err != nil { ... } // code DocumentInvalid, one line a fault
//	model, adapter, ok := doc.Lookup("speakers-es")
package envdoc

import "time"

// Document is an environment document.
type Document struct {
	// Environment names the environment, for example "andesoft".
	Environment string `yaml:"environment" json:"environment"`
	// Revision is one more than the revision that the document replaces.
	Revision   int64      `yaml:"revision" json:"revision"`
	Weights    Weights    `yaml:"weights" json:"weights"`
	Priorities []Priority `yaml:"priorities" json:"priorities"`
	Models     []Model    `yaml:"models" json:"models"`
	Callers    []Caller   `yaml:"callers" json:"callers"`
	Services   []Service  `yaml:"services,omitempty" json:"services,omitempty"`
	Budgets    Budgets    `yaml:"budgets" json:"budgets"`

	// index finds models and adapters by name; nil unless decoded.
	index map[string]place
}

// Weights state what placement prefers where attainment and moves conflict.
type Weights struct {
	// Attainment weighs requests that meet their expectation, 0 to 10.
	Attainment float64 `yaml:"attainment" json:"attainment"`
	// Moves weighs loads and unloads avoided, 0 to 10.
	Moves float64 `yaml:"moves" json:"moves"`
}

// Priority is a class of requests with an expectation.
type Priority struct {
	Name string `yaml:"name" json:"name"`
	// Rank orders priorities; rank 0 is the most urgent.
	Rank int `yaml:"rank" json:"rank"`
	// FirstToken is the time within which the first token is expected.
	FirstToken Duration `yaml:"first_token" json:"first_token"`
	// BetweenTokens is the expected time between tokens.
	BetweenTokens Duration `yaml:"between_tokens" json:"between_tokens"`
	// Deferred marks work that may wait until Deadline after submission.
	Deferred bool     `yaml:"deferred,omitempty" json:"deferred,omitempty"`
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
}

// Model is a declared model with its adapters.
type Model struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
	// Pool is the engine pool that serves the model.
	Pool string `yaml:"pool" json:"pool"`
	// MemoryMB is the accelerator memory that the model takes when loaded.
	MemoryMB int64 `yaml:"memory_mb" json:"memory_mb"`
	// MinReplicas is the least number of replicas over all data centres;
	// 0 means 1.
	MinReplicas int       `yaml:"min_replicas,omitempty" json:"min_replicas,omitempty"`
	Adapters    []Adapter `yaml:"adapters,omitempty" json:"adapters,omitempty"`
}

// Adapter is a declared adapter of a model. Callers address it by name.
type Adapter struct {
	Name     string `yaml:"name" json:"name"`
	Version  string `yaml:"version" json:"version"`
	MemoryMB int64  `yaml:"memory_mb" json:"memory_mb"`
}

// Caller is a client of the callers' interface.
type Caller struct {
	Name string `yaml:"name" json:"name"`
	// KeySHA256 is the SHA-256 digest of the caller's key in hexadecimal.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256"`
	// Priorities are those that the caller may ask for; the first is the
	// default.
	Priorities []string `yaml:"priorities" json:"priorities"`
	// Models and Services limit what the caller may use; empty means all.
	Models   []string `yaml:"models,omitempty" json:"models,omitempty"`
	Services []string `yaml:"services,omitempty" json:"services,omitempty"`
	// RequestsPerSecond limits the caller over all daemons; 0 means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
}

// Service is a plain service.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Pool is the pool of backend servers that run the service.
	Pool  string `yaml:"pool" json:"pool"`
	Paths []Path `yaml:"paths" json:"paths"`
}

// Path is a declared path of a plain service.
type Path struct {
	Method string `yaml:"method" json:"method"`
	// Path is a fixed path or one that ends in /* for all below it.
	Path string `yaml:"path" json:"path"`
	// Repeatable marks calls that may be sent again when they fail.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// KeyRequired refuses calls without an idempotency key.
	KeyRequired bool `yaml:"key_required,omitempty" json:"key_required,omitempty"`
}

// Budgets are limits that all data centres share.
type Budgets struct {
	// LoadsPerSecond is the rate of the weight store.
	LoadsPerSecond float64 `yaml:"loads_per_second" json:"loads_per_second"`
	// LoadsAtOnce is the number of loads that the weight store carries at
	// full speed.
	LoadsAtOnce int `yaml:"loads_at_once" json:"loads_at_once"`
	// AdaptersInTransit is the number of adapter loads, over all engines,
	// beyond which each takes proportionally longer.
	AdaptersInTransit int `yaml:"adapters_in_transit" json:"adapters_in_transit"`
}

// Slot names what an engine holds: a model, or an adapter on it, in one
// version. Adapter is empty for a model.
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

// Duration is a time span written as in "1500ms".
type Duration time.Duration

// MarshalText returns the span as a string.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a span such as "1500ms" or "8h".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
