package gate

import (
	"encoding/json"
	"net/http"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// readiness is the body of /readyz.
type readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []reason `json:"reasons"`
}

type reason struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Meaning string `json:"meaning"`
}

// livez tells that the process answers.
func (g *Gate) livez(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}

// readyz tells whether the daemon takes work, and why not.
func (g *Gate) readyz(w http.ResponseWriter, _ *http.Request) {
	state := readiness{Reasons: []reason{}}
	for _, c := range g.reasons() {
		i := c.Info()
		state.Reasons = append(state.Reasons, reason{Code: int(c), Name: i.Name, Meaning: i.Meaning})
	}
	state.Ready = len(state.Reasons) == 0
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state)
}

// reasons are the codes of what keeps the daemon from taking work.
func (g *Gate) reasons() []code.Code {
	var codes []code.Code
	if g.leaving.Load() {
		codes = append(codes, code.Stopping)
	}
	if g.deps.Ready != nil {
		return append(codes, g.deps.Ready.Ready()...)
	}
	if _, ok := g.deps.Documents.Document(); !ok {
		codes = append(codes, code.NoDocument)
	}
	return codes
}
