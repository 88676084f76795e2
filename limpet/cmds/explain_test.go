package cmds_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpet/cmds"
)

// explain writes logs to files, runs a command on them and returns its exit status and
// output.
func explain(t *testing.T, logs map[string]string, args ...string) (status int, out, errors string) {
	t.Helper()
	folder := t.TempDir()
	for name, text := range logs {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		args = append(args, path)
	}
	var o, e bytes.Buffer
	status = cmds.Run(t.Context(), args, cmds.Streams{Out: &o, Err: &e})
	return status, o.String(), e.String()
}

const (
	logOfDaemonOne = `at=2026-01-02T10:00:00.000000000Z level=info event=daemon_started vm=one
at=2026-01-02T10:00:20.100000000Z level=info event=server_changed server=e1 draining=true
at=2026-01-02T10:00:20.200000000Z level=info event=server_changed server=e2 draining=false
at=2026-01-02T10:00:21.000000000Z level=info event=request_ended request=r1 model=m adapter=a1 code=1203 status=503 server= sends=0 took=0.5 reason="no engine holds the model"
at=2026-01-02T10:00:22.000000000Z level=info event=request_ended request=r2 model=m code=1303 status=502 server=e1 sends=1 took=0.9 reason="unexpected EOF"
not a log line
at=broken level=info event=daemon_leaving
`
	logOfDaemonTwo = `  20.4 two at=2026-01-02T10:00:20.400000000Z level=info event=lease_taken fence=3
  20.5 two at=2026-01-02T10:00:20.500000000Z level=info event=order_sent engine=e2 unload=true model=m reason=room answer=0
  20.6 two at=2026-01-02T10:00:20.600000000Z level=info event=order_sent engine=e2 unload=false model=other reason=demand answer=0
  20.7 two at=2026-01-02T10:00:20.700000000Z level=info event=order_sent engine=e3 unload=false model=m adapter=a1 reason=asked answer=2
  20.8 two at=2026-01-02T10:00:20.800000000Z level=info event=order_sent engine=e3 unload=false model=m adapter=a2 reason=asked answer=0
  21.9 two at=2026-01-02T10:00:21.900000000Z level=info event=engine_lost engine=e1 error="connection refused"
  90.0 two at=2026-01-02T10:01:30.000000000Z level=info event=order_sent engine=e1 unload=false model=m reason=demand answer=0
`
)

func TestExplainShowsOrdersForTheModelOfARefusedRequest(t *testing.T) {
	status, out, _ := explain(t, map[string]string{"one.log": logOfDaemonOne, "all.txt": logOfDaemonTwo}, "explain", "r1")
	require.Equal(t, cmds.ExitOK, status)
	require.Contains(t, out, "no engine holds the model")
	require.Contains(t, out, "unload=true model=m", "the order that unloaded the model")
	require.NotContains(t, out, "model=other")
	require.Contains(t, out, "adapter=a1 reason=asked")
	require.NotContains(t, out, "adapter=a2")
	require.NotContains(t, out, "10:01:30", "an event long after the request")
	require.NotContains(t, out, "lease_taken", "an event about the state of another daemon")
	require.NotContains(t, out, "daemon_started", "an event long before the request")
}

func TestExplainShowsEventsOfTheServer(t *testing.T) {
	status, out, _ := explain(t, map[string]string{"one.log": logOfDaemonOne, "all.txt": logOfDaemonTwo}, "--json", "explain", "r2")
	require.Equal(t, cmds.ExitOK, status)
	var lines []map[string]string
	require.NoError(t, json.Unmarshal([]byte(out), &lines))
	var events []string
	for _, l := range lines {
		events = append(events, l["process"]+" "+l["event"])
	}
	require.Equal(t, []string{"one server_changed", "two order_sent", "two engine_lost", "one request_ended"}, events)
}

func TestExplainRefusesUnknownRequestsAndFiles(t *testing.T) {
	status, out, errors := explain(t, map[string]string{"one.log": logOfDaemonOne}, "explain", "r9")
	require.Equal(t, cmds.ExitRefused, status)
	require.Empty(t, out)
	require.Contains(t, errors, "r9")
	status, _, errors = explain(t, nil, "explain", "r9", "/nowhere/x.log")
	require.Equal(t, cmds.ExitRefused, status)
	require.Contains(t, errors, "/nowhere/x.log")
}
