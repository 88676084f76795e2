package main

import (
	"context"
	"os"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/node"
	"github.com/limpetlb/limpetlb/limpetd/telem"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// startDaemon starts a daemon in this process, which logs to standard error.
func startDaemon(ctx context.Context, c conf.Config) (fleet.Daemon, error) {
	return node.New(ctx, c, node.WithLogger(telem.NewLogger(os.Stderr, c.LogLevel)))
}
