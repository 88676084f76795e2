package relay

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// bytesPerToken is the estimated average length of a token in a prompt, in bytes.
const bytesPerToken = 4

// Catalog looks up the callers, priorities, models and services of one environment
// document.
type Catalog struct {
	doc *envdoc.Document
	// models maps the names of models and adapters to their slots.
	models     map[string]envdoc.Slot
	priorities map[string]*envdoc.Priority
	callers    map[string]*envdoc.Caller
	// keyDigests holds the SHA-256 digest of the key of each caller, in the order of
	// the document.
	keyDigests [][]byte
}

// NewCatalog returns the catalog of doc.
func NewCatalog(doc *envdoc.Document) *Catalog {
	t := &Catalog{
		doc:        doc,
		models:     make(map[string]envdoc.Slot),
		priorities: make(map[string]*envdoc.Priority),
		callers:    make(map[string]*envdoc.Caller),
	}
	for i := range doc.Models {
		m := &doc.Models[i]
		t.models[m.Name] = envdoc.Slot{Model: m.Name, Version: m.Version}
		for _, a := range m.Adapters {
			t.models[a.Name] = envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version}
		}
	}
	for i := range doc.Priorities {
		t.priorities[doc.Priorities[i].Name] = &doc.Priorities[i]
	}
	for i := range doc.Callers {
		c := &doc.Callers[i]
		t.callers[c.Name] = c
		digest, _ := hex.DecodeString(c.KeySHA256)
		t.keyDigests = append(t.keyDigests, digest)
	}
	return t
}

// Document returns the document of the catalog.
func (t *Catalog) Document() *envdoc.Document {
	return t.doc
}

// CallerByKey returns the caller with a key. It compares the key's digest with the
// digests of all callers, each in constant time.
func (t *Catalog) CallerByKey(key string) (*envdoc.Caller, bool) {
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i, d := range t.keyDigests {
		if subtle.ConstantTimeCompare(digest[:], d) == 1 {
			found = i
		}
	}
	if found < 0 {
		return nil, false
	}
	return &t.doc.Callers[found], true
}

// Caller returns the caller with the given name.
func (t *Catalog) Caller(name string) (*envdoc.Caller, bool) {
	c, ok := t.callers[name]
	return c, ok
}

// Priority returns the priority with the given name if c may use it. An empty name
// selects the first priority of c, which is the default. An error has code
// UnknownPriority or Forbidden.
func (t *Catalog) Priority(c *envdoc.Caller, name string) (*envdoc.Priority, error) {
	if name == "" && len(c.Priorities) > 0 {
		name = c.Priorities[0]
	}
	p, ok := t.priorities[name]
	if !ok {
		return nil, code.Errorf(code.UnknownPriority, "priority %q is not declared", name)
	}
	if !slices.Contains(c.Priorities, name) {
		return nil, code.Errorf(code.Forbidden, "caller %q may not use priority %q", c.Name, name)
	}
	return p, nil
}

// LeastUrgentDeferred returns the least urgent deferred priority of c, that is, the one
// with the highest rank. The bool is false if c has no deferred priority.
func (t *Catalog) LeastUrgentDeferred(c *envdoc.Caller) (*envdoc.Priority, bool) {
	var chosen *envdoc.Priority
	for _, name := range c.Priorities {
		p := t.priorities[name]
		if p == nil || !p.Deferred {
			continue
		}
		if chosen == nil || p.Rank > chosen.Rank {
			chosen = p
		}
	}
	return chosen, chosen != nil
}

// MayUse reports whether c may use the model or adapter of a slot.
func MayUse(c *envdoc.Caller, s envdoc.Slot) bool {
	if len(c.Models) == 0 || slices.Contains(c.Models, s.Model) {
		return true
	}
	return s.Adapter != "" && slices.Contains(c.Models, s.Adapter)
}

// Call returns the Call for generation g of caller c at time now; id is the request
// id. An error has code UnknownModel, UnknownPriority or Forbidden.
func (t *Catalog) Call(c *envdoc.Caller, g wire.Generation, id string, now time.Time) (Call, error) {
	slot, ok := t.models[g.Model]
	if !ok {
		return Call{}, code.Errorf(code.UnknownModel, "model %q is not declared", g.Model)
	}
	if !MayUse(c, slot) {
		return Call{}, code.Errorf(code.Forbidden, "caller %q may not use model %q", c.Name, g.Model)
	}
	p, err := t.Priority(c, g.Priority)
	if err != nil {
		return Call{}, err
	}
	call := Call{
		Admission: admit.Request{
			ID:        id,
			Caller:    c.Name,
			Priority:  p.Name,
			MaxTokens: g.MaxTokens,
			Route: route.Request{
				Model:        slot.Model,
				Adapter:      slot.Adapter,
				Version:      slot.Version,
				Rank:         p.Rank,
				PromptTokens: PromptTokens(g.Prompt),
				Prefixes:     route.Prefixes(g.Prompt),
				ExpectedBy:   now.Add(time.Duration(p.FirstToken)),
			},
		},
		Prompt:      g.Prompt,
		MaxTokens:   g.MaxTokens,
		Temperature: g.Temperature,
		Seed:        g.Seed,
	}
	if p.Deferred {
		call.Admission.Deadline = now.Add(time.Duration(p.Deadline))
	}
	return call, nil
}

// PromptTokens estimates the number of tokens in a prompt.
func PromptTokens(prompt string) int {
	return len(prompt)/bytesPerToken + 1
}

// DocumentProvider returns the document in force, and false before the first
// document.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
}

// CatalogCache caches the catalog of the document in force.
type CatalogCache struct {
	documents DocumentProvider
	current   atomic.Pointer[Catalog]
}

// NewCatalogCache returns a CatalogCache for the documents of p.
func NewCatalogCache(p DocumentProvider) *CatalogCache {
	return &CatalogCache{documents: p}
}

// Catalog returns the catalog of the document in force. An error has code
// NoDocument.
func (s *CatalogCache) Catalog() (*Catalog, error) {
	doc, ok := s.documents.Document()
	if !ok {
		return nil, code.Errorf(code.NoDocument, "no environment document is in force yet")
	}
	if t := s.current.Load(); t != nil && t.doc == doc {
		return t, nil
	}
	t := NewCatalog(doc)
	s.current.Store(t)
	return t, nil
}

// AllowedModels returns the models and adapters that c may use, in the order of the
// document.
func (t *Catalog) AllowedModels(c *envdoc.Caller) []string {
	var names []string
	for _, m := range t.doc.Models {
		if MayUse(c, t.models[m.Name]) {
			names = append(names, m.Name)
		}
		for _, a := range m.Adapters {
			if MayUse(c, t.models[a.Name]) {
				names = append(names, a.Name)
			}
		}
	}
	return names
}

// Service returns the declared service with the given name if c may use it. An error
// has code UnknownPath or Forbidden.
func (t *Catalog) Service(c *envdoc.Caller, name string) (*envdoc.Service, error) {
	for i := range t.doc.Services {
		s := &t.doc.Services[i]
		if s.Name != name {
			continue
		}
		if len(c.Services) > 0 && !slices.Contains(c.Services, name) {
			return nil, code.Errorf(code.Forbidden, "caller %q may not use service %q", c.Name, name)
		}
		return s, nil
	}
	return nil, code.Errorf(code.UnknownPath, "service %q is not declared", name)
}

// MatchPath returns the declared path of s that matches the method and path of a call. An
// error has code UnknownPath.
func MatchPath(s *envdoc.Service, method, path string) (*envdoc.Path, error) {
	for i := range s.Paths {
		p := &s.Paths[i]
		if p.Method == method && pathMatches(p.Path, path) {
			return p, nil
		}
	}
	return nil, code.Errorf(code.UnknownPath, "service %q does not declare %s %s", s.Name, method, path)
}

// pathMatches reports whether path p matches a declared path. Only a clean path
// matches, so that p cannot reach an undeclared path by means of dot elements or
// double slashes.
func pathMatches(declared, p string) bool {
	if p != path.Clean(p) {
		return false
	}
	prefix, ok := strings.CutSuffix(declared, "/*")
	if !ok {
		return p == declared
	}
	return strings.HasPrefix(p, prefix+"/")
}
