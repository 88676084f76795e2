package gate

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/guard"
)

// TestRefusalForMemoryIsCoded guards against refusals that don't say what is short, that the request did not run, or when
// the caller may retry.
func TestRefusalForMemoryIsCoded(t *testing.T) {
	small := guard.New(t.Context(), guard.Config{MemoryMB: 4}, guard.Deps{})
	g := startGate(t, testConfig{doc: testDocument(), guard: small})
	small.Charge(budget.Waiting, 4<<20)
	for path, body := range map[string]string{batch.PathChat: chatBody, "/v1/batches": "{}"} {
		resp := g.do(t, http.MethodPost, path, body)
		e := resp.wireError(t)
		require.Equal(t, http.StatusServiceUnavailable, resp.status, path)
		require.Equal(t, int(code.MemoryShort), e.Code, path)
		require.Contains(t, e.Message, "memory_mb 4")
		require.Equal(t, "no", resp.header.Get(headerRun), path)
		require.Equal(t, "1", resp.header.Get("Retry-After"), path)
	}
	require.Empty(t, g.engines.Requests())
}

// TestLargestRequestsAreServed guards against limits that refuse a single request inside them, with the limits of
// limpetd's defaults on the smallest VM, and against memory that stays charged.
func TestLargestRequestsAreServed(t *testing.T) {
	const maxBody, maxBatch = 4 << 20, DefaultMaxBatchBytes
	vm := guard.New(t.Context(), guard.Config{MemoryMB: 144}, guard.Deps{})
	doc := testDocument()
	for i := range doc.Priorities {
		// The time to decode must not decide.
		doc.Priorities[i].FirstToken = envdoc.Duration(time.Hour)
	}
	g := startGate(t, testConfig{doc: doc, config: Config{MaxBodyBytes: maxBody}, guard: vm})
	fill := func(first, item, last string, size int) string {
		return first + strings.Repeat(item, (size-len(first)-len(last))/len(item)) + last
	}
	prompt := `{"custom_id":"1","url":"/v1/completions","body":{"model":"m","prompt":"`
	for name, c := range map[string]struct {
		path, body string
		status     int
	}{
		"one message":        {batch.PathChat, fill(`{"model":"m","messages":[{"role":"user","content":"`, "x", `"}]}`, maxBody), http.StatusOK},
		"short messages":     {batch.PathChat, fill(`{"model":"m","messages":[`, `{"role":"a","content":""},`, `{"role":"a","content":""}]}`, maxBody), http.StatusOK},
		"escaped characters": {batch.PathCompletion, fill(`{"model":"m","prompt":"`, `<`, `"}`, maxBody/2), http.StatusOK},
		"prompt":             {batch.PathCompletion, fill(`{"model":"m","prompt":"`, "x", `"}`, maxBody), http.StatusOK},
		"batch":              {"/v1/batches", fill(`{"requests":[`+prompt, "x", `"}}]}`, maxBatch), http.StatusAccepted},
	} {
		resp := g.do(t, http.MethodPost, c.path, c.body)
		require.Equal(t, c.status, resp.status, "%s: %.300s", name, resp.body)
	}
	require.Eventually(t, func() bool {
		return vm.Used(budget.Waiting) == 0 && vm.Used(budget.Calls) == 0 && vm.Used(budget.Headers) == 0
	}, waitTimeout, pollPeriod, "memory stays charged")
}
