// Command limpetlab runs stand-ins, demonstrations, loads and benches.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands is the command line.
type commands struct {
	Bench benchCommand `cmd:"" help:"Measure the decisions against baselines, with bounds."`
	Demo  demoCommand  `cmd:"" help:"Run a whole deployment in one process, with load and faults, and judge it."`
	Load  loadCommand  `cmd:"" help:"Drive running daemons, or one started here, and print percentiles."`
	Soak  soakCommand  `cmd:"" help:"Run the daemons of the users' platform as processes under faults, and judge them."`
	Stand standCommand `cmd:"" help:"Run the stand-ins alone, for daemons started by hand."`
}

// errBroken ends a command whose output says what did not hold.
var errBroken = errors.New("a bound or a promise did not hold")

func main() {
	os.Exit(run())
}

// run parses the command line, runs the command and returns the exit status.
func run() int {
	var c commands
	parsed := kong.Parse(&c, kong.Name("limpetlab"), kong.Description("Stand-ins, demonstrations, loads and benches for limpetlb."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "limpetlab:", err)
		return 1
	}
	return 0
}

// printJSON writes one JSON object to standard output.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
