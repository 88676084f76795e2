package crowd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/crowd"
)

const (
	// startTimeout is how long a process may take until it answers requests.
	startTimeout = 30 * time.Second
	// answerTimeout is how long the ordinary request is tried, attemptTimeout how long one attempt may take.
	answerTimeout  = 2 * time.Minute
	attemptTimeout = 15 * time.Second
	// samplePeriod is the time between two counts of the open descriptors.
	samplePeriod = 20 * time.Millisecond
)

// programs holds the paths of the programs that this run has built, by their packages.
var programs sync.Map

// programDir is the directory of the programs. TestMain removes it.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programDir = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// build builds a program unless this run has built it, and returns its path.
func build(t *testing.T, name, pkg string) string {
	t.Helper()
	path := filepath.Join(programDir, name)
	if _, built := programs.LoadOrStore(name, true); built {
		return path
	}
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, pkg).CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// limits are the limits in the settings of a process. A maxFDs of 0 means that the settings have none.
type limits struct{ memoryMB, maxFDs int }

// standardLimits are the limits of most tests.
var standardLimits = limits{memoryMB: 160, maxFDs: 400}

// settings returns the lines of a settings file.
func (l limits) settings() string {
	text := fmt.Sprintf("memory_mb = %d", l.memoryMB)
	if l.maxFDs > 0 {
		text += fmt.Sprintf("\nmax_fds = %d", l.maxFDs)
	}
	return text
}

// process is a program that runs under test.
type process struct {
	command *exec.Cmd
	limits  limits
	ended   chan struct{}
	// linkAddress, tunnelAddress and readyAddress are addresses of limpetp, operatorAddress and peerAddress those of
	// limpetd.
	linkAddress, tunnelAddress, readyAddress string
	operatorAddress, peerAddress             string
	// mu guards peakFDs, the largest number of open descriptors that was counted.
	mu      sync.Mutex
	peakFDs int
}

// startProcess starts a program with additional environment variables. line is called with each line
// of its standard output and error.
func startProcess(t *testing.T, program string, l limits, env []string, line func(text string)) *process {
	t.Helper()
	p := &process{command: exec.Command(program), limits: l, ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), env...)
	r, w, err := os.Pipe()
	require.NoError(t, err)
	p.command.Stdout, p.command.Stderr = w, w
	require.NoError(t, p.command.Start())
	require.NoError(t, w.Close())
	go func() {
		defer close(p.ended)
		lines := bufio.NewReader(r)
		for {
			text, err := lines.ReadString('\n')
			if err != nil {
				break
			}
			if line != nil {
				line(text)
			}
		}
		_ = r.Close()
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	go p.sample()
	return p
}

// sample counts the open descriptors until the process ends.
func (p *process) sample() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(samplePeriod):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
			p.mu.Lock()
			p.peakFDs = max(p.peakFDs, len(entries))
			p.mu.Unlock()
		}
	}
}

// lives reports whether the process runs.
func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakMB returns the peak resident memory of the process in MB.
func (p *process) peakMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			require.NoError(t, err)
			return kb >> 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// check checks what must hold after a crowd: the process lives and has stayed under the limits of its
// settings.
func (p *process) check(t *testing.T) {
	t.Helper()
	require.True(t, p.lives(), "the process ended")
	peak := p.peakMB(t)
	p.mu.Lock()
	fds := p.peakFDs
	p.mu.Unlock()
	load, _ := os.ReadFile("/proc/loadavg")
	t.Logf("peak memory %d of %d MB, descriptors %d of %d, load %s", peak, p.limits.memoryMB, fds, p.limits.maxFDs, strings.TrimSpace(string(load)))
	require.Less(t, peak, p.limits.memoryMB, "peak memory in MB")
	if p.limits.maxFDs > 0 {
		require.Less(t, fds, p.limits.maxFDs, "open descriptors")
	}
}

// ask sends an ordinary request until it is answered with 200: again after a status that permits it,
// and after a closed connection. It returns an error if answerTimeout passes first.
func ask(ctx context.Context, e crowd.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	for n := 0; ; n++ {
		wait, err := askOnce(ctx, e, n)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("attempt %d: %w", n, err)
		case <-time.After(wait):
		}
	}
}

// askOnce sends an ordinary request once. If it fails, it returns when the caller may retry.
func askOnce(ctx context.Context, e crowd.Entry, n int) (time.Duration, error) {
	const retryAfter = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	text := strings.ReplaceAll(e.Head, "{id}", fmt.Sprint("ask-", n)) + "Connection: close\r\nContent-Length: 4\r\n\r\nbody"
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return 0, err
	}
	request.URL.Scheme, request.URL.Host, request.RequestURI = "http", e.Address, ""
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request.WithContext(ctx))
	if err != nil {
		return retryAfter, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		wait := retryAfter
		if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			wait = max(wait, time.Duration(s*float64(time.Second)))
		}
		return wait, fmt.Errorf("status %s", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return retryAfter, err
}
