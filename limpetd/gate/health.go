package gate

import (
	"encoding/json"
	"net/http"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// readiness is the JSON response of /readyz.
type readiness struct {
	Ready   bool              `json:"ready"`
	Reasons []readinessReason `json:"reasons"`
}

// readinessReason is one reason why the daemon is not ready, with the number, name and
// meaning of the result code.
type readinessReason struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Meaning string `json:"meaning"`
}

// livez responds to liveness probes with status 200.
func (g *Gate) livez(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}

// readyz reports whether the daemon accepts requests, and the reasons if not.
func (g *Gate) readyz(w http.ResponseWriter, _ *http.Request) {
	state := readiness{Reasons: []readinessReason{}}
	for _, c := range g.notReadyCodes() {
		i := c.Info()
		state.Reasons = append(state.Reasons, readinessReason{Code: int(c), Name: i.Name, Meaning: i.Meaning})
	}
	state.Ready = len(state.Reasons) == 0
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state)
}

// notReadyCodes returns the codes of the reasons why the daemon does not accept
// requests.
func (g *Gate) notReadyCodes() []code.Code {
	var codes []code.Code
	if g.leaving.Load() {
		codes = append(codes, code.Stopping)
	}
	if g.deps.Ready != nil {
		return append(codes, g.deps.Ready.NotReadyReasons()...)
	}
	if _, ok := g.deps.Documents.Document(); !ok {
		codes = append(codes, code.NoDocument)
	}
	return codes
}
