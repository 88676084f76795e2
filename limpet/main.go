// Command limpet is the command line tool for operators of limpetlb.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/limpetlb/limpetlb/limpet/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cmds.Run(ctx, os.Args[1:], cmds.Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(status)
}
