// Package cmds holds the commands of limpet, the operators' command line.
//
// Results go to the output stream as tables, or as one JSON object with --json.
// Progress and errors go to the error stream. The exit status tells scripts
// what happened; see the Exit constants.
//
// # Usage
//
//	status := cmds.Run(ctx, os.Args[1:], cmds.Streams{Out: os.Stdout, Err: os.Stderr})
//	os.Exit(status)
package cmds

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
)

// The exit statuses.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the input was refused and nothing changed.
	ExitRefused = 1
	// ExitUsage means that the command line was wrong.
	ExitUsage = 2
	// ExitConflict means that another operator's change was first.
	ExitConflict = 3
	// ExitUnreachable means that no daemon answered, or that the outcome is
	// not known; the same submission may be sent again.
	ExitUnreachable = 4
	// ExitNotInForce means that the change was accepted, but not all daemons
	// took it up in time.
	ExitNotInForce = 5
)

// Streams are where a command writes.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Deps is what every command needs.
type Deps struct {
	ctx     context.Context
	streams Streams
	json    bool
	daemon  string
	token   string
	ca      string
	timeout time.Duration
}

// cli is the command line.
type cli struct {
	Daemon  string        `help:"Operators' address of a daemon, such as https://10.0.0.7:8082." env:"LIMPET_DAEMON" default:"https://127.0.0.1:8082"`
	Token   string        `help:"Operator token." env:"LIMPET_TOKEN"`
	CA      string        `help:"File with the PEM certificates that the daemon is signed by." env:"LIMPET_CA"`
	Timeout time.Duration `help:"Longest time for one call." env:"LIMPET_TIMEOUT" default:"15s"`
	JSON    bool          `help:"Print one JSON object instead of a table." env:"LIMPET_JSON"`

	Validate validateCommand `cmd:"" help:"Check an environment document."`
	Apply    applyCommand    `cmd:"" help:"Apply an environment document to the daemon's stage."`
	Promote  promoteCommand  `cmd:"" help:"Put the document tried in the trial stage into production."`
	Status   statusCommand   `cmd:"" help:"Show daemons, document and engines."`
	Plan     planCommand     `cmd:"" help:"Show what placement would move next, and why."`
	Events   eventsCommand   `cmd:"" help:"Show the time line over all daemons."`
	Drain    drainCommand    `cmd:"" help:"Make a VM leave."`
	Codes    codesCommand    `cmd:"" help:"List the result codes."`
	Explain  explainCommand  `cmd:"" help:"Tell from log files what became of a request, and why."`
}

// exited is the panic value by which kong's exit ends the parse.
type exited int

// Run runs one command and returns its exit status.
func Run(ctx context.Context, args []string, s Streams) (status int) {
	defer func() {
		if r := recover(); r != nil {
			code, ok := r.(exited)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("limpet"), kong.Writers(s.Out, s.Err),
		kong.Description("Operate limpetlb environments."),
		kong.Exit(func(n int) { panic(exited(n)) }))
	if err != nil {
		_, _ = fmt.Fprintln(s.Err, err)
		return ExitUsage
	}
	command, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(s.Err, "limpet: %v\nRun `limpet --help` for the commands.\n", err)
		return ExitUsage
	}
	d := &Deps{ctx: ctx, streams: s, json: c.JSON, daemon: c.Daemon, token: c.Token, ca: c.CA, timeout: c.Timeout}
	if err := command.Run(d); err != nil {
		d.printError(err)
		return statusOf(err)
	}
	return ExitOK
}

// statusOf maps the code of an error to an exit status.
func statusOf(err error) int {
	switch code.Of(err) {
	case code.DocumentConflict, code.StoreConflict, code.DocumentNotTried:
		return ExitConflict
	case code.PeerDown, code.DocumentStoreDown, code.StoreDown, code.StoreUnknown, code.Internal:
		return ExitUnreachable
	case code.DocumentNotForce:
		return ExitNotInForce
	default:
		return ExitRefused
	}
}

// client returns the client of the daemon.
func (d *Deps) client() (*admin.Client, error) {
	if u, err := url.Parse(d.daemon); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, code.Errorf(code.BadParameter, "--daemon %q: must be like https://10.0.0.7:8082", d.daemon)
	}
	if d.token == "" {
		return nil, code.Errorf(code.BadOperator, "no token is given with --token or LIMPET_TOKEN")
	}
	opts := []admin.ClientOption{}
	if d.ca != "" {
		pem, err := os.ReadFile(d.ca)
		if err != nil {
			return nil, code.Errorf(code.BadSetting, "--ca %q: %w", d.ca, err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, code.Errorf(code.BadSetting, "--ca %q holds no PEM certificate", d.ca)
		}
		opts = append(opts, admin.WithTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}))
	}
	opts = append(opts, admin.WithTimeout(d.timeout))
	return admin.NewClient(d.daemon, d.token, opts...), nil
}

// printJSON writes v as one JSON object.
func (d *Deps) printJSON(v any) error {
	e := json.NewEncoder(d.streams.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printError writes an error with its code and remedy.
func (d *Deps) printError(err error) {
	c := code.Of(err)
	info := c.Info()
	if d.json {
		_ = d.printJSON(admin.Fault{Code: int(c), Name: info.Name, Message: err.Error()})
		return
	}
	remedy := info.Remedy
	if c == code.PeerDown {
		// The remedy of the code is for a peer of a daemon.
		remedy = "Check --daemon and --ca, and that the daemon runs; or ask another daemon."
	}
	_, _ = fmt.Fprintf(d.streams.Err, "limpet: %s\n%s\n%s\n", c, err, remedy)
}

// progress writes a line about a long wait.
func (d *Deps) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.streams.Err, format+"\n", args...)
}
