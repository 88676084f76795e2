package soak

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// defaultGrace is the grace period of a daemon that states none, exitTimeout the time for its process to end
	// after that on a busy machine.
	defaultGrace = 3 * time.Second
	exitTimeout  = 5 * time.Second
	// startTimeout is how long a process may take to accept connections.
	startTimeout = 5 * time.Second
	// readyPollPeriod is the time between two checks whether a daemon accepts
	// connections or is ready.
	readyPollPeriod = 20 * time.Millisecond
)

// errExitTimeout indicates that a process did not end within its timeout.
var errExitTimeout = errors.New("the process of the daemon did not end in time")

// daemon is a daemon that runs in a process of its own.
type daemon struct {
	// program, settings, log and paths are file paths.
	program, settings, log, paths string
	callerAddress, readyAddress   string
	// grace is the grace period in the settings; 0 means defaultGrace.
	grace time.Duration
	// onUnexpectedExit is called when the process ends without having been ended by
	// kill or leave.
	onUnexpectedExit func(d *daemon, err error)

	// faultMu is held while a fault signals or restarts the process, so that such
	// faults of one daemon run one after the other.
	faultMu sync.Mutex

	mu      sync.Mutex
	process *os.Process
	// exitExpected indicates that a signal was sent that ends the process.
	exitExpected bool
	// done is closed when the process has ended; err is then the result of Wait.
	done chan struct{}
	err  error
}

// start starts the process, appends its output to the log, and waits until the process
// accepts connections.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process has its own descriptor of the file.
	defer func() { _ = log.Close() }()
	command := exec.Command(d.program, "soak-daemon", "--settings", d.settings, "--paths", d.paths)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.process, d.exitExpected, d.done = command.Process, false, make(chan struct{})
	done := d.done
	d.mu.Unlock()
	go func() {
		err := command.Wait()
		d.mu.Lock()
		exitExpected := d.exitExpected
		d.err = err
		d.mu.Unlock()
		close(done)
		if !exitExpected {
			d.onUnexpectedExit(d, err)
		}
	}()
	d.awaitListening(done)
	return nil
}

// awaitListening waits until the process accepts connections or has ended, for at most
// startTimeout. Before the process handles signals, a request to leave ends it like any
// other program.
func (d *daemon) awaitListening(done chan struct{}) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyPollPeriod) {
		select {
		case <-done:
			return
		default:
		}
		if c, err := net.Dial("tcp4", d.callerAddress); err == nil {
			// No data was sent, so an error of Close does not matter.
			_ = c.Close()
			return
		}
	}
}

// signal sends a signal to the process. expectExit indicates that the signal is to end
// the process.
func (d *daemon) signal(s syscall.Signal, expectExit bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exitExpected = d.exitExpected || expectExit
	err := d.process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// wait returns the error of the process once it has ended, or errExitTimeout after timeout.
func (d *daemon) wait(timeout time.Duration) error {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.err
	case <-time.After(timeout):
		return errExitTimeout
	}
}

// leaveTimeout returns how long the process may take to leave.
func (d *daemon) leaveTimeout() time.Duration { return cmp.Or(d.grace, defaultGrace) + exitTimeout }

// kill ends the process with SIGKILL.
func (d *daemon) kill() error {
	if err := d.signal(syscall.SIGKILL, true); err != nil {
		return err
	}
	if err := d.wait(d.leaveTimeout()); errors.Is(err, errExitTimeout) {
		return err
	}
	return nil
}

// leave asks the process to leave with SIGTERM. It returns an error if the process does
// not end within leaveTimeout() or ends with an exit status other than 0.
func (d *daemon) leave() error {
	if err := d.signal(syscall.SIGTERM, true); err != nil {
		return err
	}
	return d.wait(d.leaveTimeout())
}

// end kills the process at the end of a run, after a running fault of the daemon.
func (d *daemon) end() error {
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	return d.kill()
}

// errNoPeak means that the status of a process has no peak of its memory.
var errNoPeak = errors.New("no VmHWM in the status of the process")

// peakMemory returns the largest resident memory that the process has had, in bytes.
func (d *daemon) peakMemory() (int64, error) {
	d.mu.Lock()
	id := d.process.Pid
	d.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kB int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kB); n == 1 {
			return kB << 10, nil
		}
	}
	return 0, errNoPeak
}
