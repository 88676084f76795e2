package soak

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// leaveIn is how long a daemon may take to leave: the grace of its settings, and time
	// for the end of the process on a busy machine.
	leaveIn = 8 * time.Second
	// startIn is how long a process may take until it accepts connections.
	startIn = 5 * time.Second
	// readyStep is the time between questions whether a daemon is ready.
	readyStep = 20 * time.Millisecond
)

// errStuck means that a daemon did not leave in time.
var errStuck = errors.New("the daemon did not leave in time")

// daemon is a daemon in a process of its own.
type daemon struct {
	program, settings, log string
	front, ready           string
	// ended is told when the process ended and was not asked to.
	ended func(d *daemon, err error)

	// turn is held while the process is replaced, so that such faults follow each other.
	turn sync.Mutex

	mu      sync.Mutex
	process *os.Process
	// asked tells that the process is expected to end; done is closed when it has.
	asked bool
	done  chan struct{}
	err   error
}

// start starts the process. Its output goes to the log.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process has the file open for itself.
	defer func() { _ = log.Close() }()
	c := exec.Command(d.program, "--settings", d.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.process, d.asked, d.done = c.Process, false, make(chan struct{})
	done := d.done
	d.mu.Unlock()
	go func() {
		err := c.Wait()
		d.mu.Lock()
		asked := d.asked
		d.err = err
		d.mu.Unlock()
		close(done)
		if !asked {
			d.ended(d, err)
		}
	}()
	d.listens(done)
	return nil
}

// listens waits until the process accepts connections or has ended. Before it handles
// signals, a request to leave ends it like any other program.
func (d *daemon) listens(done chan struct{}) {
	for end := time.Now().Add(startIn); time.Now().Before(end); time.Sleep(readyStep) {
		select {
		case <-done:
			return
		default:
		}
		if c, err := net.Dial("tcp4", d.front); err == nil {
			// Nothing was sent on it.
			_ = c.Close()
			return
		}
	}
}

// signal sends a signal to the process; ends tells that the process is to end by it.
func (d *daemon) signal(s syscall.Signal, ends bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked = d.asked || ends
	err := d.process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// wait waits until the process has ended.
func (d *daemon) wait(most time.Duration) error {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.err
	case <-time.After(most):
		return errStuck
	}
}

// kill ends the process at once.
func (d *daemon) kill() error {
	if err := d.signal(syscall.SIGKILL, true); err != nil {
		return err
	}
	if err := d.wait(leaveIn); errors.Is(err, errStuck) {
		return err
	}
	return nil
}

// leave asks the process to leave; an error if it does not in time, or fails.
func (d *daemon) leave() error {
	if err := d.signal(syscall.SIGTERM, true); err != nil {
		return err
	}
	return d.wait(leaveIn)
}

// end ends the process of a run that is over.
func (d *daemon) end() error {
	d.turn.Lock()
	defer d.turn.Unlock()
	return d.kill()
}
