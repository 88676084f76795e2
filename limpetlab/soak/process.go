package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// linkProcess is a process with a link to a server. While it is stopped, the kernel accepts the connections of
// daemons and keeps what arrives on them, as for a server whose process is stopped. The process reads this when it
// goes on, also from connections that daemons have closed.
type linkProcess struct {
	process *os.Process
	address string
}

// startLinkProcess starts a process with a link to target.
func startLinkProcess(program, target string) (*linkProcess, error) {
	command := exec.Command(program, "soak-link", "--target", target)
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		err = fmt.Errorf("read the address of a link process: %w", err)
		return nil, errors.Join(err, command.Process.Kill(), command.Wait())
	}
	return &linkProcess{process: command.Process, address: strings.TrimSpace(address)}, nil
}

// end kills the process and waits for its end.
func (p *linkProcess) end() error {
	if err := p.process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	_, err := p.process.Wait()
	return err
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
	if err := r.linkProcesses[i].process.Signal(s); err != nil {
		r.recordViolation("signal %s to the link process of a server: %v", s, err)
	}
}
