package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/platform/stand"
)

// TestSoak runs a short soak with a fixed seed, and the seeds that ever failed, with the
// cause of each.
func TestSoak(t *testing.T) {
	program, err := Build(t.Context(), t.TempDir())
	require.NoError(t, err)
	for _, c := range []struct {
		seed    uint64
		length  time.Duration
		daemons int
		cause   string
	}{
		{seed: 1, length: 6 * time.Second, daemons: 3},
		{
			seed: 10, length: 10 * time.Second, daemons: 4,
			cause: "a process got SIGHUP before it handled signals, milliseconds after its start, and ended; " +
				"signals are handled first now, and the soak sends none before the process accepts connections",
		},
	} {
		folder := t.TempDir()
		report, err := Run(t.Context(), Config{Program: program, Folder: folder, Seed: c.seed, Duration: c.length, Daemons: c.daemons, Rate: 60})
		require.NoError(t, err)
		if len(report.Broken) > 0 {
			t.Log(ends(t, folder))
		}
		require.Empty(t, report.Broken, "seed %d %s: %+v", c.seed, c.cause, report)
		require.NotEmpty(t, report.Faults)
		require.Positive(t, report.Storm.Served)
	}
}

// ends returns the lines that tell why daemons ended or did not start.
func ends(t *testing.T, folder string) string {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	require.NoError(t, err)
	var out []string
	for _, path := range logs {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "daemon_not_started") || strings.Contains(line, "daemon_ended") || strings.Contains(line, "panic") {
				out = append(out, filepath.Base(path)+": "+line)
			}
		}
	}
	return strings.Join(out, "")
}

// TestEachPromiseCanBreak shows that each check fails on what it is there for.
func TestEachPromiseCanBreak(t *testing.T) {
	good := stand.Counts{Calls: 10, Served: 10}
	for name, c := range map[string]struct{ storm, calm stand.Counts }{
		"answers":       {stand.Counts{Calls: 10, Served: 9, Wrong: 1}, good},
		"run once":      {stand.Counts{Calls: 10, Served: 9, Twice: 1}, good},
		"refused":       {stand.Counts{Calls: 10, Served: 9, Ran: 1}, good},
		"recovered":     {good, stand.Counts{Calls: 10, Served: 8}},
		"served at all": {stand.Counts{Calls: 10}, good},
	} {
		r := &run{world: &stand.World{}}
		r.check(c.storm, c.calm)
		require.Len(t, r.broken, 1, name)
	}
	r := &run{world: &stand.World{}}
	r.check(good, good)
	require.Empty(t, r.broken)
}

// TestProcessThatEndsByItselfIsNoted runs a program that is no daemon.
func TestProcessThatEndsByItselfIsNoted(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "no-daemon")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\nexit 3\n"), 0o700)) //nolint:gosec // It has to run.
	noted := make(chan error, 1)
	d := &daemon{program: program, log: filepath.Join(folder, "log"), ended: func(_ *daemon, err error) { noted <- err }}
	require.NoError(t, d.start())
	require.Error(t, <-noted)
}

// TestDaemonThatDoesNotLeaveIsNoted runs a program that does not heed the request.
func TestDaemonThatDoesNotLeaveIsNoted(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "stuck")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\ntrap '' TERM\nexec sleep 60\n"), 0o700)) //nolint:gosec // It has to run.
	d := &daemon{program: program, log: filepath.Join(folder, "log"), ended: func(*daemon, error) {}}
	require.NoError(t, d.start())
	time.Sleep(200 * time.Millisecond)
	require.ErrorIs(t, d.leave(), errStuck)
	require.NoError(t, d.end())
}
