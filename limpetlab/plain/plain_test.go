package plain

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// TestExecutionsAreCountedWithoutAnswer sends a call under each fault. An execution
// must count even if its answer is lost, and a call that was dropped or refused must
// not count.
func TestExecutionsAreCountedWithoutAnswer(t *testing.T) {
	executionLog := NewExecutionLog()
	faults := fault.NewSwitch()
	server := httptest.NewServer(New("app-1", executionLog, WithFaults(faults)))
	defer server.Close()
	for kind, want := range map[fault.Kind]int{fault.Drop: 0, fault.Refuse: 0, fault.Lost: 1, fault.None: 1} {
		faults.Set("app-1", fault.Action{Kind: kind})
		call := "call-" + string(kind)
		response, err := http.Post(server.URL+"/bookings", "application/json", strings.NewReader(`{"call":"`+call+`"}`))
		if err == nil {
			require.NoError(t, response.Body.Close())
		}
		require.Equal(t, kind == fault.Drop || kind == fault.Lost, err != nil, kind)
		require.Equal(t, want, executionLog.Executions(call), kind)
	}
}
