package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetlab/demo"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// process is a daemon that runs in a process of its own.
type process struct {
	command *exec.Cmd
	// addresses holds the key=value pairs of the daemon_started log line.
	addresses map[string]string
	// ended is closed when the process has ended; err is then the result of Wait.
	ended chan struct{}
	err   error
}

var (
	_ fleet.Daemon  = (*process)(nil)
	_ fleet.Freezer = (*process)(nil)
)

// startProcess returns a function that starts the program as a daemon and waits
// until its log reports its addresses.
func startProcess(program string) fleet.StartFunc {
	return func(ctx context.Context, c conf.Config) (fleet.Daemon, error) {
		p := &process{command: exec.CommandContext(ctx, program), ended: make(chan struct{})}
		p.command.Env = append(os.Environ(), environment(c)...)
		lines, err := p.command.StderrPipe()
		if err != nil {
			return nil, err
		}
		if err := p.command.Start(); err != nil {
			return nil, err
		}
		log := bufio.NewScanner(lines)
		for p.addresses == nil && log.Scan() {
			p.parseStarted(log.Text())
		}
		if p.addresses == nil {
			return nil, fmt.Errorf("%s did not start: %w", c.VM, p.command.Wait())
		}
		go func() {
			defer close(p.ended)
			_, _ = io.Copy(io.Discard, lines)
			p.err = p.command.Wait()
		}()
		return p, nil
	}
}

// parseStarted sets the addresses if line is the daemon_started log line.
func (p *process) parseStarted(line string) {
	if !strings.Contains(line, "daemon_started") {
		return
	}
	p.addresses = make(map[string]string)
	for _, pair := range strings.Fields(line) {
		key, value, _ := strings.Cut(pair, "=")
		p.addresses[key] = value
	}
}

// environment returns the environment variables for the settings in c.
func environment(c conf.Config) []string {
	return []string{
		"LIMPETD_VM=" + c.VM,
		"LIMPETD_DATA_CENTRE=" + c.DataCentre,
		"LIMPETD_REGION=" + c.Region,
		"LIMPETD_ENVIRONMENT=" + c.Environment,
		"LIMPETD_STAGE=" + c.Stage,
		"LIMPETD_PLATFORM=" + c.Platform,
		"LIMPETD_PLATFORM_PLAIN=true",
		"LIMPETD_CALLER_ADDRESS=" + c.CallerAddress,
		"LIMPETD_PEER_ADDRESS=" + c.PeerAddress,
		"LIMPETD_OPERATOR_ADDRESS=" + c.OperatorAddress,
		"LIMPETD_CALLER_PLAIN=true",
		"LIMPETD_PEER_PLAIN=true",
		"LIMPETD_OPERATORS=" + strings.Join(c.Operators, ","),
		"LIMPETD_LEASE_TERM=" + c.LeaseTerm.String(),
		"LIMPETD_PLAN_PERIOD=" + c.PlanPeriod.String(),
		"LIMPETD_DRAIN_TIMEOUT=" + c.DrainTimeout.String(),
	}
}

// CallerAddr implements fleet.Daemon.
func (p *process) CallerAddr() string { return p.addresses["callers"] }

// PeerAddr implements fleet.Daemon.
func (p *process) PeerAddr() string { return p.addresses["peers"] }

// OperatorAddr implements fleet.Daemon.
func (p *process) OperatorAddr() string { return p.addresses["operators"] }

// Leave implements fleet.Daemon. An exit status other than 0 is an error.
func (p *process) Leave(ctx context.Context) error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Freeze implements fleet.Freezer.
func (p *process) Freeze() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw implements fleet.Freezer.
func (p *process) Thaw() error { return p.command.Process.Signal(syscall.SIGCONT) }

// buildDaemon builds limpetd and returns the path of the program.
func buildDaemon(t testing.TB) string {
	program := filepath.Join(t.TempDir(), "limpetd")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "github.com/limpetlb/limpetlb/limpetd").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// TestProcessesKeepInvariants runs each daemon as a process. One schedule kills
// daemons, one asks them to leave by SIGTERM, and one stops lease holders for longer
// than the lease term.
func TestProcessesKeepInvariants(t *testing.T) {
	program := buildDaemon(t)
	for _, f := range []demo.FaultSchedule{demo.FaultKill, demo.FaultLeave, demo.FaultFreeze} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			s, err := demo.Run(t.Context(), demo.Config{
				Deployment: deploy.Ibeji(), Seed: 1, Duration: 16 * time.Second, Fault: f,
				WeightStoreSpeed: 50, Rate: 30, Start: startProcess(program), Progress: os.Stderr,
			})
			require.NoError(t, err)
			require.Empty(t, s.Violations(), s.Notes)
			require.Positive(t, s.Answered)
			require.Positive(t, s.Moves)
			if f == demo.FaultFreeze {
				require.Equal(t, 2, s.Freezes, "the lease holders of two data centres must have been stopped")
			}
		})
	}
}
