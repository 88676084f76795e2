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

// Sizes of the demo on the users' platform, and the load time of a model.
const (
	platformEngines  = 4
	platformModels   = 6
	platformDaemons  = 3
	platformLoadTime = 200 * time.Millisecond
)

// runPlatform runs the daemons of the users' platform against the stand-in of that
// platform and prints the counts of calls and their outcomes as one JSON object. It
// returns errViolation if an answer was wrong or a call ran that should not have run.
func (c *demoCommand) runPlatform(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := stand.New(ctx, stand.Config{Engines: platformEngines, Models: platformModels, ModelsPerEngine: 2, LoadTime: platformLoadTime})
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "limpetlab")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	daemons, wait, err := w.Start(ctx, directory, platformDaemons, startPlatformDaemon)
	defer func() {
		cancel()
		err = errors.Join(err, wait())
	}()
	if err != nil {
		return err
	}
	counts := w.SendCalls(ctx, daemons, c.Seed, int(c.Rate), c.Duration)
	if err := printJSON(counts); err != nil {
		return err
	}
	if counts.WrongResponse+counts.RanTwice+counts.RefusedButRan > 0 {
		return fmt.Errorf("%w: %+v", errViolation, counts)
	}
	return nil
}

// startPlatformDaemon starts a daemon of the users' platform in this process, with
// the settings file at path.
func startPlatformDaemon(ctx context.Context, path string) (stand.Daemon, error) {
	settings, err := plat.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	return plat.New(ctx, settings, zap.NewNop())
}
