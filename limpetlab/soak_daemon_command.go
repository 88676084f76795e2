package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/limpetlb/limpetlb/limpetlab/soak"
	plat "github.com/limpetlb/limpetlb/platform"
)

// errDaemon means that a daemon ended with an error.
var errDaemon = errors.New("the daemon ended with status")

// soakDaemonCommand runs a daemon of the fault soak: limpetp, with paths to servers that can be cut.
type soakDaemonCommand struct {
	Settings string `help:"Settings file that the platform writes." required:""`
	Paths    string `help:"File that says how the paths to servers are cut." required:""`
}

// Run runs the daemon until a signal ends it.
func (c *soakDaemonCommand) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	// A daemon that leaves may lose its paths too.
	path := soak.FollowCuts(context.WithoutCancel(ctx), c.Paths)
	if status := (plat.Process{SettingsFile: c.Settings, LogLevel: "info"}).Run(signals, plat.WithServerDialer(path)); status != 0 {
		return fmt.Errorf("%w: %d", errDaemon, status)
	}
	return nil
}
