package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/limpetlb/limpetlb/limpetlab/link"
)

// soakLinkCommand runs a link to a server in a process of its own, which the fault soak stops and resumes.
type soakLinkCommand struct {
	Address string `help:"Address of the link." required:""`
	Target  string `help:"Address of the server." required:""`
}

// Run prints the address of the link and runs the link until ctx ends. SIGUSR1 resets the connections of the link.
func (c *soakLinkCommand) Run(ctx context.Context) error {
	resets := make(chan os.Signal, 1)
	signal.Notify(resets, syscall.SIGUSR1)
	defer signal.Stop(resets)
	l, err := link.StartAt(c.Address, c.Target)
	if err != nil {
		return err
	}
	if _, err := fmt.Println(l.Address()); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-resets:
			l.Reset()
		}
	}
}
