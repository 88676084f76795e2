package main

import (
	"context"
	"os"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/node"
	"github.com/limpetlb/limpetlb/limpetd/telem"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// startNode starts a daemon in this process.
func startNode(ctx context.Context, c conf.Config) (fleet.Daemon, error) {
	return node.New(ctx, c, node.WithLogger(telem.NewLogger(os.Stderr, c.LogLevel)))
}
