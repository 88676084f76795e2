// Command limpetd is the daemon of limpetlb, the same on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/node"
	"github.com/limpetlb/limpetlb/limpetd/telem"
)

// The exit statuses of limpetd.
const (
	exitFault   = 1
	exitSetting = 2
)

func main() {
	os.Exit(run())
}

// exit ends the process; a wrong command line is a wrong setting.
func exit(status int) {
	if status != 0 {
		status = exitSetting
	}
	os.Exit(status)
}

// run serves until a signal asks the daemon to leave, and returns the exit
// status.
func run() int {
	var c conf.Config
	kong.Parse(&c, kong.Name("limpetd"), kong.Description("Serve models and adapters to callers."), kong.Exit(exit))
	if err := c.Check(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "limpetd:", err)
		return exitSetting
	}
	log := telem.NewLogger(os.Stderr, c.LogLevel)
	defer func() { _ = log.Sync() }()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := node.New(context.WithoutCancel(ctx), c, node.WithLogger(log))
	if err != nil {
		log.Error("daemon_not_started", zap.Error(err))
		return exitFault
	}
	select {
	case <-ctx.Done():
	case <-n.Left():
	}
	if err := n.Leave(context.Background()); err != nil {
		log.Error("leave_incomplete", zap.Error(err))
		return exitFault
	}
	return 0
}
