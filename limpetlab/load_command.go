package main

import (
	"context"
	"fmt"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/load"
)

// loadCommand sends load to daemons.
type loadCommand struct {
	Address       []string      `help:"Address (ip:port) of a daemon's interface for callers; repeat for more daemons. Without an address, a daemon with fast simulated engines is started in this process."`
	Key           string        `help:"Key of a caller that the environment document declares." env:"LIMPETLAB_KEY"`
	Model         string        `help:"Model or adapter to request."`
	Count         int           `help:"Maximum number of requests." default:"20000"`
	Duration      time.Duration `help:"Maximum duration of the run." default:"30s"`
	Workers       int           `help:"Number of concurrent callers, each of which sends one request at a time." default:"32"`
	MaxTokens     int           `help:"Maximum length of an answer in tokens." default:"4"`
	Stream        bool          `help:"Request streamed answers."`
	CompareDirect bool          `help:"Also send each request directly to an engine, and print how much the daemon adds to the median latency."`
	Engine        string        `help:"Address (ip:port) of the engine to call directly."`
	ModelName     string        `help:"Name of the model on the engine; --model if empty."`
	Version       string        `help:"Version of the model on the engine." default:"1"`
	MaxAdded      time.Duration `help:"With --compare-direct, exit with status 1 if the daemon adds more to the median latency; 0 for no bound." default:"0"`
	JSON          bool          `help:"Accepted for uniformity, without effect: results are always printed as one JSON object."`
}

// Run sends the load and prints its result. It returns errViolation if the daemon
// adds too much latency or a request was lost.
func (c *loadCommand) Run(ctx context.Context) error {
	config := load.Config{
		Addresses: c.Address, Key: c.Key, Model: c.Model,
		Count: c.Count, Duration: c.Duration, Workers: c.Workers,
		MaxTokens: c.MaxTokens, Stream: c.Stream,
	}
	if c.CompareDirect {
		config.EngineAddress = c.Engine
		config.EngineSlot = envdoc.Slot{Model: c.Model, Version: c.Version}
		if c.ModelName != "" {
			config.EngineSlot.Model = c.ModelName
		}
	}
	if c.CompareDirect && len(c.Address) > 0 && c.Engine == "" {
		return code.Errorf(code.BadParameter, "--compare-direct with --address requires --engine")
	}
	if len(c.Address) == 0 {
		local, err := load.StartLocal(ctx, startDaemon)
		if err != nil {
			return err
		}
		defer local.Stop()
		config.Addresses, config.Key, config.Model = local.Addresses(), local.Key(), local.Model()
		if c.CompareDirect {
			config.EngineAddress, config.EngineSlot = local.EngineAddress(), local.EngineSlot()
		}
	}
	result, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	if err := printJSON(result); err != nil {
		return err
	}
	if c.MaxAdded > 0 && result.AddedP50 != nil && *result.AddedP50 > c.MaxAdded.Seconds()*1000 {
		return fmt.Errorf("%w: the daemon adds %.3f ms to the median latency", errViolation, *result.AddedP50)
	}
	if result.Lost > 0 {
		return fmt.Errorf("%w: %d requests ended without an answer or a code, the first: %s", errViolation, result.Lost, result.LostError)
	}
	return nil
}
