package cmds

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/tools/txtar"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/event"
)

// fakeDaemon answers operator calls. Revision 1 is in force at first. A new revision is
// in force on vm-1 at once, and on vm-2 from the second status call, or never if stuck
// is set.
type fakeDaemon struct {
	revision int64
	calls    int
	stuck    bool
}

func (f *fakeDaemon) Apply(_ context.Context, _ string, s admin.Submission) (admin.Accepted, error) {
	if strings.Contains(s.Body, "revision: 1\n") {
		return admin.Accepted{}, code.Errorf(code.DocumentConflict, "revision 1 is in force, applied by ana")
	}
	f.revision = 2
	return admin.Accepted{ID: s.ID, Revision: 2, Digest: "d2"}, nil
}

func (f *fakeDaemon) Promote(_ context.Context, _ string, p admin.Promotion) (admin.Accepted, error) {
	if p.Digest != "d2" {
		return admin.Accepted{}, code.Errorf(code.DocumentNotTried, "trial has digest d2")
	}
	f.revision = 2
	return admin.Accepted{ID: p.ID, Revision: 2, Digest: p.Digest, Repeated: true}, nil
}

func (f *fakeDaemon) Status(context.Context) (admin.Status, error) {
	f.calls++
	secondRevision := f.revision
	if f.stuck || f.calls < 2 {
		secondRevision = 1
	}
	return admin.Status{
		Environment: "test", Stage: "trial", Daemon: "vm-1", DataCentre: "dc-1", Revision: f.revision, LeaseHolder: "vm-2", Fence: 7,
		Daemons: []admin.Daemon{
			{VM: "vm-1", DataCentre: "dc-1", Revision: f.revision, Ready: true},
			{VM: "vm-2", DataCentre: "dc-1", Revision: secondRevision, Reasons: []string{"document_level"}},
			{VM: "vm-3", DataCentre: "dc-1", Leaving: true},
		},
		Engines: []admin.Engine{{VM: "engine-1", State: "live", MemoryMB: 100, CommittedMB: 60, Slots: 3}},
	}, nil
}

func (f *fakeDaemon) Plan(context.Context) (admin.Plan, error) {
	return admin.Plan{DataCentre: "dc-1", Moves: []admin.Move{{Kind: "load", Engine: "engine-1", Slot: "m@1", Rule: "reachable", Cost: 0.5}}}, nil
}

func (f *fakeDaemon) Events(_ context.Context, filter event.Filter, _ bool) (admin.Events, error) {
	e := event.Event{At: event.Timestamp{Wall: 1e9}, Process: "vm-1", Kind: event.RequestShed, Request: "r1", Code: 1202}
	if !filter.Matches(e) {
		return admin.Events{Events: event.Merge()}, nil
	}
	return admin.Events{Events: []event.Event{e}, Missing: []string{"vm-2"}}, nil
}

func (f *fakeDaemon) Drain(_ context.Context, _ string, d admin.DrainRequest) error {
	if d.VM == "vm-9" {
		return code.Errorf(code.BadParameter, "VM %q runs no live daemon", d.VM)
	}
	return nil
}

// TestCommands runs each archive of testdata. The files of an archive are written to a
// temporary directory, each line of the file commands is run there, and the outputs and
// exit statuses are compared with the file want.
func TestCommands(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, archives)
	for _, file := range archives {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			runArchive(t, archive)
		})
	}
}

// runArchive runs the commands of an archive against a fake daemon, which is stuck if the
// comment of the archive contains that word.
func runArchive(t *testing.T, archive *txtar.Archive) {
	f := &fakeDaemon{revision: 1, stuck: bytes.Contains(archive.Comment, []byte("stuck"))}
	server := httptest.NewServer(admin.New(admin.Deps{
		Operators: []conf.Operator{{Name: "ana", TokenSHA256: sha256.Sum256([]byte("secret"))}},
		Applier:   f, Status: f, Plan: f, Events: f, Drainer: f, Probes: http.NotFoundHandler(),
		Log: zap.NewNop(), Timeline: event.New("vm-1"),
	}))
	defer server.Close()
	var commands, want string
	t.Chdir(t.TempDir())
	for _, file := range archive.Files {
		switch file.Name {
		case "commands":
			commands = string(file.Data)
		case "want":
			want = string(file.Data)
		default:
			require.NoError(t, os.WriteFile(file.Name, file.Data, 0o600))
		}
	}
	var got strings.Builder
	for line := range strings.Lines(commands) {
		var out, progress bytes.Buffer
		args := append([]string{"--daemon=" + server.URL, "--token=secret"}, strings.Fields(line)...)
		status := Run(t.Context(), args, Streams{Out: &out, Err: &progress})
		fmt.Fprintf(&got, "$ %s%s%sstatus %d\n", line, out.String(), progress.String(), status)
	}
	require.Equal(t, want, trimLines(got.String()))
}

// trimLines removes the spaces at the ends of lines, which pad table columns.
func trimLines(s string) string {
	lines := strings.Split(s, "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	return strings.Join(lines, "\n")
}
