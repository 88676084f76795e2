package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

// standCommand runs the stand-ins without daemons.
type standCommand struct {
	Deployment string        `help:"Deployment whose engines, services and platform to run: andesoft or ibeji." enum:"andesoft,ibeji" default:"andesoft"`
	Platform   string        `help:"Address (ip:port) at which the platform of the first data centre listens." default:"127.0.0.1:7070"`
	Entry      []string      `help:"Daemon to add to the VM list, as vm=data-centre=ip:port with the address of its peer interface; repeat for more."`
	VMLag      time.Duration `help:"Delay with which changes appear in the VM list." default:"2s"`
	Speed      float64       `help:"Factor by which the weight store is faster than that of the deployment." default:"1"`
	Document   string        `help:"File to write the environment document of the deployment to."`
}

// Run starts the stand-ins, prints their addresses and waits until ctx is done.
func (c *standCommand) Run(ctx context.Context) error {
	d, err := deploy.ByName(c.Deployment)
	if err != nil {
		return err
	}
	d = d.WithFasterStore(c.Speed)
	w, err := world.Start(ctx, world.Config{
		Deployment:      d,
		Engine:          engsim.Config{CacheLag: 500 * time.Millisecond, CacheGap: 17},
		VMLag:           c.VMLag,
		PlatformAddress: c.Platform,
	})
	if err != nil {
		return err
	}
	defer w.Stop()
	for _, e := range c.Entry {
		if err := addEntry(w, e); err != nil {
			return err
		}
	}
	if c.Document != "" {
		body, err := deploy.EncodeDocument(d.Document(1))
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Document, body, 0o644); err != nil {
			return err
		}
	}
	for _, dc := range d.DataCentres {
		fmt.Printf("platform %s %s (records at /books)\n", dc, w.PlatformURL(dc))
	}
	for _, e := range w.Engines {
		fmt.Printf("engine %s http://%s\n", e.VM.ID, e.VM.Address)
	}
	for _, s := range w.Services {
		fmt.Printf("service %s http://%s\n", s.VM.ID, s.VM.Address)
	}
	fmt.Printf("caller key %s\n", deploy.CallerKey(deploy.CallerUrgent))
	<-ctx.Done()
	return nil
}

// addEntry adds a daemon, given as vm=data-centre=ip:port, to the VM list.
func addEntry(w *world.Environment, entry string) error {
	parts := strings.Split(entry, "=")
	if len(parts) != 3 {
		return fmt.Errorf("--entry %q: must be vm=data-centre=ip:port", entry)
	}
	w.AddDaemon(parts[0], parts[1], parts[2])
	return nil
}
