// Command limpetd is the daemon of limpetlb. The same program runs on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/node"
	"github.com/limpetlb/limpetlb/limpetd/telem"
)

// Exit statuses of limpetd.
const (
	// exitError means that the daemon could not start or did not end cleanly.
	exitError = 1
	// exitSettings means that a setting is missing or invalid.
	exitSettings = 2
)

// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the memory limit of
// the process. The rest covers received bytes that have not been read.
const memoryLimitRatio = 0.6

func main() {
	os.Exit(run())
}

// exit ends the process with a status of the command line parser. Each status that is
// not 0 becomes exitSettings: an invalid command line is an invalid setting.
func exit(status int) {
	if status != 0 {
		status = exitSettings
	}
	os.Exit(status)
}

// run runs the daemon until a signal, an operator or the platform asks the daemon to
// leave, and returns the exit status.
func run() int {
	var c conf.Config
	kong.Parse(&c, kong.Name("limpetd"), kong.Description("Serve models and adapters to callers."), kong.Exit(exit))
	if err := c.Check(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "limpetd:", err)
		return exitSettings
	}
	log := telem.NewLogger(os.Stderr, c.LogLevel)
	defer func() { _ = log.Sync() }()

	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(c.MemoryMB) * (1 << 20)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := node.New(context.WithoutCancel(ctx), c, node.WithLogger(log))
	if err != nil {
		log.Error("daemon_not_started", zap.Error(err))
		return exitError
	}
	select {
	case <-ctx.Done():
	case <-n.LeaveRequested():
	}
	if err := n.Leave(context.Background()); err != nil {
		log.Error("leave_incomplete", zap.Error(err))
		return exitError
	}
	return 0
}
