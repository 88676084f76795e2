// Package cmds implements the commands of limpet, the command line tool for operators.
//
// Results are written to the output stream, as text or, with --json, as one JSON
// value. Progress and errors are written to the error stream; with --json, the errors of
// a command are written to the output stream. The exit status indicates the result of a
// command to scripts; see the Exit constants.
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
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Exit statuses of limpet.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the command was refused and nothing changed.
	ExitRefused = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitConflict means that the change conflicts with another operator's change,
	// or that the document was not tried in the trial stage.
	ExitConflict = 3
	// ExitUnreachable means that the daemon or the platform did not answer, or that
	// the outcome is unknown. The command can be repeated with the same submission
	// id.
	ExitUnreachable = 4
	// ExitNotInForce means that the change was accepted, but was not in force on all
	// daemons in time.
	ExitNotInForce = 5
)

// Streams holds the output and error streams of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Deps holds the context, the streams and the global flags, which all commands share.
type Deps struct {
	ctx     context.Context
	streams Streams
	// json is whether results and errors are printed as JSON.
	json   bool
	daemon string
	token  string
	// ca is the name of a PEM file; empty for the authorities of the system.
	ca      string
	timeout time.Duration
}

// cli defines the global flags and the commands.
type cli struct {
	Daemon  string        `help:"URL of the operators' interface of a daemon, such as https://10.0.0.7:8082." env:"LIMPET_DAEMON" default:"https://127.0.0.1:8082"`
	Token   string        `help:"Operator token." env:"LIMPET_TOKEN"`
	CA      string        `help:"File with the PEM certificates of the authority that signs the daemon's certificate." env:"LIMPET_CA"`
	Timeout time.Duration `help:"Timeout of each call to the daemon." env:"LIMPET_TIMEOUT" default:"15s"`
	JSON    bool          `help:"Print JSON instead of text." env:"LIMPET_JSON"`

	Validate validateCommand `cmd:"" help:"Check an environment document."`
	Check    checkCommand    `cmd:"" help:"Check an environment document and compare it with another one: status 0 without findings, 1 with findings, 2 if a file can't be read."`
	Apply    applyCommand    `cmd:"" help:"Apply an environment document to the stage of the daemon."`
	Promote  promoteCommand  `cmd:"" help:"Put the document that is in force in the trial stage into production."`
	Status   statusCommand   `cmd:"" help:"Show the state of the environment, its daemons and its engines."`
	Plan     planCommand     `cmd:"" help:"Show the next planned loads and unloads of models and adapters, and why."`
	Events   eventsCommand   `cmd:"" help:"Show the timeline of events of all daemons."`
	Drain    drainCommand    `cmd:"" help:"Make the daemon or backend server of a VM leave."`
	Codes    codesCommand    `cmd:"" help:"List the result codes."`
	Explain  explainCommand  `cmd:"" help:"Show from log files how a request ended, and why."`
}

// parserExit is the value of the panic that ends the parser when kong calls its exit
// function, for example after --help. It holds the exit status.
type parserExit int

// Run runs one command and returns its exit status.
func Run(ctx context.Context, args []string, s Streams) (status int) {
	defer func() {
		if r := recover(); r != nil {
			exit, ok := r.(parserExit)
			if !ok {
				panic(r)
			}
			status = int(exit)
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("limpet"), kong.Writers(s.Out, s.Err),
		kong.Description("Operate the environments of limpetlb."),
		kong.Exit(func(n int) { panic(parserExit(n)) }))
	if err != nil {
		_, _ = fmt.Fprintln(s.Err, err)
		return ExitUsage
	}
	command, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(s.Err, "limpet: %v\nRun `limpet --help` for a list of commands.\n", err)
		return ExitUsage
	}
	d := &Deps{ctx: ctx, streams: s, json: c.JSON, daemon: c.Daemon, token: c.Token, ca: c.CA, timeout: c.Timeout}
	if err := command.Run(d); err != nil {
		var exit exitError
		if errors.As(err, &exit) {
			return int(exit)
		}
		d.printError(err)
		return exitStatus(err)
	}
	return ExitOK
}

// exitStatus returns the exit status for the code of an error.
func exitStatus(err error) int {
	switch code.Of(err) {
	case code.DocumentConflict, code.StoreConflict, code.DocumentNotTried:
		return ExitConflict
	case code.PeerDown, code.DocumentStoreDown, code.StoreDown, code.StoreUnknown, code.Internal:
		return ExitUnreachable
	case code.DocumentNotInForce:
		return ExitNotInForce
	default:
		return ExitRefused
	}
}

// client returns a client of the daemon that the flags select.
func (d *Deps) client() (*admin.Client, error) {
	if u, err := url.Parse(d.daemon); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, code.Errorf(code.BadParameter, "--daemon %q must be a URL such as https://10.0.0.7:8082", d.daemon)
	}
	if d.token == "" {
		return nil, code.Errorf(code.BadOperator, "the operator token is missing: set --token or LIMPET_TOKEN")
	}
	opts := []admin.ClientOption{}
	if d.ca != "" {
		pem, err := os.ReadFile(d.ca)
		if err != nil {
			return nil, code.Errorf(code.BadSetting, "--ca %q: %w", d.ca, err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, code.Errorf(code.BadSetting, "--ca %q contains no PEM certificate", d.ca)
		}
		opts = append(opts, admin.WithTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}))
	}
	opts = append(opts, admin.WithTimeout(d.timeout))
	return admin.NewClient(d.daemon, d.token, opts...), nil
}

// printJSON writes v to the output stream as indented JSON.
func (d *Deps) printJSON(v any) error {
	e := json.NewEncoder(d.streams.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printError writes an error with its code and remedy to the error stream, or as JSON
// to the output stream.
func (d *Deps) printError(err error) {
	c := code.Of(err)
	info := c.Info()
	if d.json {
		_ = d.printJSON(admin.ErrorBody{Code: int(c), Name: info.Name, Message: err.Error()})
		return
	}
	remedy := info.Remedy
	if c == code.PeerDown {
		// The remedy in the table applies to daemons that cannot reach a peer.
		remedy = "Check --daemon and --ca and that the daemon is running, or use another daemon."
	}
	_, _ = fmt.Fprintf(d.streams.Err, "limpet: %s\n%s\n%s\n", c, err, remedy)
}

// progress writes a line to the error stream that is not part of the result.
func (d *Deps) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.streams.Err, format+"\n", args...)
}
