package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	plat "github.com/limpetlb/limpetlb/platform"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// Sizes of the demo on the users' platform.
const (
	platformEngines = 4
	platformModels  = 6
	platformDaemons = 3
	platformLoad    = 200 * time.Millisecond
)

// runPlatform runs the daemons of the users' platform against its stand-in, and prints
// what callers and servers saw as one JSON object.
func (c *demoCommand) runPlatform(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := stand.New(ctx, stand.Config{Engines: platformEngines, Models: platformModels, PerEngine: 2, Load: platformLoad})
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "limpetlab")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	daemons, wait, err := w.Start(ctx, folder, platformDaemons, startPlatform)
	defer func() {
		cancel()
		err = errors.Join(err, wait())
	}()
	if err != nil {
		return err
	}
	counts := w.Play(ctx, daemons, c.Seed, int(c.Rate), c.Duration)
	if err := printJSON(counts); err != nil {
		return err
	}
	if counts.Wrong+counts.Twice+counts.Ran > 0 {
		return fmt.Errorf("%w: %+v", errBroken, counts)
	}
	return nil
}

// startPlatform starts a daemon of the users' platform in this process.
func startPlatform(ctx context.Context, path string) (stand.Daemon, error) {
	s, err := plat.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	return plat.New(ctx, s, zap.NewNop())
}
