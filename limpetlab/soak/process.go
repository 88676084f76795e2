package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// linkProcess is a process with a link to a server. While it is stopped, the kernel accepts the connections of
// daemons and keeps what arrives on them, as for a server whose process is stopped. The process reads this when it
// goes on, also from connections that daemons have closed.
type linkProcess struct {
	program, target string

	// restartMu is held while the process is down.
	restartMu sync.Mutex

	mu      sync.Mutex
	process *os.Process
	address string
}

// anyPort is an address at which only this process has links, with any port.
func anyPort() string {
	id := os.Getpid()
	return net.JoinHostPort(net.IPv4(127, byte(64+id>>16&0x3f), byte(id>>8), byte(id)).String(), "0")
}

// startLinkProcess starts a process with a link to target.
func startLinkProcess(program, target string) (*linkProcess, error) {
	p := &linkProcess{program: program, target: target, address: anyPort()}
	return p, p.start()
}

// start starts the process at its address, which must not be running.
func (p *linkProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.program, "soak-link", "--address", p.address, "--target", p.target)
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		err = fmt.Errorf("read the address of a link process: %w", err)
		return errors.Join(err, command.Process.Kill(), command.Wait())
	}
	p.process, p.address = command.Process, strings.TrimSpace(address)
	return nil
}

// end kills the process and waits for its end.
func (p *linkProcess) end() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	_, err := p.process.Wait()
	return err
}

// restart calls onKill, kills the process and starts it again after a time. It does nothing if the process is down.
func (p *linkProcess) restart(downtime time.Duration, onKill func()) error {
	if !p.restartMu.TryLock() {
		return nil
	}
	defer p.restartMu.Unlock()
	onKill()
	if err := p.end(); err != nil {
		return err
	}
	time.Sleep(downtime)
	return p.start()
}

// signal sends a signal to the process, unless it has ended.
func (p *linkProcess) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// startStoppableLink starts a link to a server in a process of its own, and returns the address of the link.
func (r *run) startStoppableLink(address string) (string, error) {
	p, err := startLinkProcess(r.config.Program, address)
	if err != nil {
		return "", err
	}
	r.linkProcesses = append(r.linkProcesses, p)
	return p.address, nil
}

// Servers are stopped for less than maxStop. It exceeds the deadline of the calls and the time after which daemons
// give a silent server up.
const (
	minStop = 500 * time.Millisecond
	maxStop = 12 * time.Second
)

// stopServers stops the processes of a part of the servers for a while, until ctx ends.
func (r *run) stopServers(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 500*time.Millisecond, 6*time.Second)) {
		order := random.Perm(len(r.linkProcesses))
		r.count("stopped_servers")
		r.stopFor(ctx, randomDuration(random, minStop, maxStop), order[:1+random.IntN(len(order)/2)])
	}
}

// stopFor stops the processes of the servers with the given indexes, and resumes them after a time or when ctx ends.
func (r *run) stopFor(ctx context.Context, length time.Duration, servers []int) {
	for _, i := range servers {
		r.signalServer(i, syscall.SIGSTOP)
	}
	sleep(ctx, length)
	for _, i := range servers {
		r.signalServer(i, syscall.SIGCONT)
	}
}

// signalServer sends a signal to the process of a server.
func (r *run) signalServer(i int, s syscall.Signal) {
	if err := r.linkProcesses[i].signal(s); err != nil {
		r.recordViolation("signal %s to the link process of a server: %v", s, err)
	}
}
