// Command limpetlab runs stand-ins of the systems around limpetlb, a demo, a load
// generator, benchmarks and a fault soak.
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

// commands defines the command line.
type commands struct {
	Bench      benchCommand      `cmd:"" help:"Compare placement, routing and admission with baseline policies, measure capacity, and check bounds."`
	Demo       demoCommand       `cmd:"" help:"Run a whole deployment in one process under load and faults, and check its invariants."`
	Load       loadCommand       `cmd:"" help:"Send requests to running daemons, or to a daemon started in this process, and print latency percentiles."`
	SoakDaemon soakDaemonCommand `cmd:"" hidden:"" help:"Run a daemon of the fault soak."`
	SoakLink   soakLinkCommand   `cmd:"" hidden:"" help:"Run a link to a server of the fault soak."`
	Soak       soakCommand       `cmd:"" help:"Run the daemons of the users' platform as processes under injected faults, and check their invariants."`
	Stand      standCommand      `cmd:"" help:"Run only the stand-ins, for daemons that are started by hand."`
}

// errViolation is returned by commands whose result violates a bound or an invariant.
var errViolation = errors.New("a bound or an invariant was violated")

func main() {
	os.Exit(run())
}

// run parses the command line, runs the selected command and returns the exit status.
func run() int {
	var c commands
	parsed := kong.Parse(&c, kong.Name("limpetlab"), kong.Description("Stand-ins, a demo, a load generator, benchmarks and a fault soak for limpetlb."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "limpetlab:", err)
		return 1
	}
	return 0
}

// printJSON writes value to standard output as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
