package main

import (
	"context"
	"fmt"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/load"
)

// loadCommand drives daemons.
type loadCommand struct {
	Address       []string      `help:"Callers' interface of a daemon (ip:port); repeat for more. Without one, a daemon with fast engines is started here."`
	Key           string        `help:"Key of a declared caller." env:"LIMPETLAB_KEY"`
	Model         string        `help:"Model or adapter to ask for."`
	Count         int           `help:"Number of requests." default:"20000"`
	Duration      time.Duration `help:"Longest time." default:"30s"`
	Workers       int           `help:"Number of callers that send one request after the other." default:"32"`
	MaxTokens     int           `help:"Length of the answers in tokens." default:"4"`
	Stream        bool          `help:"Ask for streamed answers."`
	CompareDirect bool          `help:"Call an engine directly side by side, and print what the daemon adds at the median."`
	Engine        string        `help:"Address of the engine to call directly."`
	ModelName     string        `help:"Model that the engine holds; the one asked for by default."`
	Version       string        `help:"Version that the engine holds." default:"1"`
	MaxAdded      time.Duration `help:"Exit with 1 when more is added at the median; 0 for no bound." default:"0"`
	JSON          bool          `help:"Print one JSON object (always done; accepted for uniformity)."`
}

// Run implements the command.
func (c *loadCommand) Run(ctx context.Context) error {
	config := load.Config{
		Addresses: c.Address, Key: c.Key, Model: c.Model,
		Count: c.Count, Duration: c.Duration, Workers: c.Workers,
		MaxTokens: c.MaxTokens, Stream: c.Stream,
	}
	if c.CompareDirect {
		config.Direct = c.Engine
		config.Slot = envdoc.Slot{Model: c.Model, Version: c.Version}
		if c.ModelName != "" {
			config.Slot.Model = c.ModelName
		}
	}
	if c.CompareDirect && len(c.Address) > 0 && c.Engine == "" {
		return code.Errorf(code.BadParameter, "--compare-direct with --address needs --engine")
	}
	if len(c.Address) == 0 {
		local, err := load.StartLocal(ctx, startNode)
		if err != nil {
			return err
		}
		defer local.Stop()
		config.Addresses, config.Key, config.Model = local.Addresses(), local.Key(), local.Model()
		if c.CompareDirect {
			config.Direct, config.Slot = local.Direct(), local.Slot()
		}
	}
	r, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	if err := printJSON(r); err != nil {
		return err
	}
	if c.MaxAdded > 0 && r.AddedP50 != nil && *r.AddedP50 > c.MaxAdded.Seconds()*1000 {
		return fmt.Errorf("%w: %.3f ms added at the median", errBroken, *r.AddedP50)
	}
	if r.Lost > 0 {
		return fmt.Errorf("%w: %d requests without answer or code, the first: %s", errBroken, r.Lost, r.LostError)
	}
	return nil
}
