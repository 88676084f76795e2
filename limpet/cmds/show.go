package cmds

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
)

// table writes a table with aligned columns to the output stream. Cells are separated
// by tabs.
func (d *Deps) table(header string, rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(d.streams.Out, 2, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}

// statusCommand shows the state of the environment.
type statusCommand struct{}

// Run prints the state.
func (c *statusCommand) Run(d *Deps) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	s, err := client.Status(d.ctx)
	if err != nil {
		return err
	}
	if d.json {
		return d.printJSON(s)
	}
	_, _ = fmt.Fprintf(d.streams.Out, "environment %s, stage %s, revision %d\ndaemon %s in %s; lease holder %s, fence %d; %d requests in flight\n\n",
		s.Environment, s.Stage, s.Revision, s.Daemon, s.DataCentre, orNone(s.LeaseHolder), s.Fence, s.InFlight)
	err = d.table("DAEMON\tDATA CENTRE\tREVISION\tLEVEL\tSTATE\tREASONS", func(w io.Writer) {
		for _, m := range s.Daemons {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", m.VM, m.DataCentre, m.Revision, m.Level, daemonState(m), strings.Join(m.Reasons, ", "))
		}
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(d.streams.Out)
	return d.table("ENGINE\tSTATE\tMEMORY MB\tCOMMITTED MB\tSLOTS\tUNRESOLVED\tSET ASIDE", func(w io.Writer) {
		for _, e := range s.Engines {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", e.VM, e.State, e.MemoryMB, e.CommittedMB, e.Slots, e.Unconfirmed, e.SetAside)
		}
	})
}

// orNone returns s, or "none" if s is empty.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// daemonState returns the state of a daemon. The state of a daemon with the reason
// peer_down is "silent", because its last report is out of date.
func daemonState(m admin.Daemon) string {
	switch {
	case slices.Contains(m.Reasons, code.PeerDown.Info().Name):
		return "silent"
	case m.Leaving:
		return "leaving"
	case m.Ready:
		return "ready"
	default:
		return "unready"
	}
}

// planCommand shows the next planned moves.
type planCommand struct{}

// Run prints the plan.
func (c *planCommand) Run(d *Deps) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	p, err := client.Plan(d.ctx)
	if err != nil {
		return err
	}
	if d.json {
		return d.printJSON(p)
	}
	_, _ = fmt.Fprintf(d.streams.Out, "data centre %s: %d moves\n", p.DataCentre, len(p.Moves))
	err = d.table("MOVE\tENGINE\tSLOT\tGAIN\tCOST\tRULE", func(w io.Writer) {
		for _, m := range p.Moves {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.3g\t%.3g\t%s\n", m.Kind, m.Engine, m.Slot, m.Gain, m.Cost, m.Rule)
		}
	})
	for _, n := range p.Notes {
		_, _ = fmt.Fprintln(d.streams.Out, n)
	}
	return err
}

// eventsCommand shows the timeline.
type eventsCommand struct {
	Request string        `help:"Show only events of the request with this id."`
	Model   string        `help:"Show only events of this model or adapter."`
	VM      string        `help:"Show only events that this VM recorded or that concern this VM."`
	Since   time.Duration `help:"Show only events of this period before now; 0 for no limit." default:"1h"`
	Limit   int           `help:"Maximum number of events; the newest are shown." default:"200"`
	Local   bool          `help:"Show only events of the daemon that is called."`
}

// Run prints the events.
func (c *eventsCommand) Run(d *Deps) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	f := event.Filter{Request: c.Request, Model: c.Model, VM: c.VM, Limit: c.Limit}
	if c.Since > 0 {
		f.Since = time.Now().Add(-c.Since)
	}
	events, err := client.Events(d.ctx, f, c.Local)
	if err != nil {
		return err
	}
	if d.json {
		return d.printJSON(events)
	}
	err = d.table("TIME\tPROCESS\tEVENT\tREQUEST\tMODEL\tVM\tCODE\tTEXT", func(w io.Writer) {
		for _, e := range events.Events {
			at := time.Unix(0, e.At.Wall).UTC().Format("15:04:05.000")
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", at, e.Process, e.Kind, e.Request, e.Model, e.VM, codeName(e.Code), e.Text)
		}
	})
	for _, m := range events.Missing {
		d.progress("no events from %s: the daemon did not answer", m)
	}
	return err
}

// codeName returns the name and number of a code, or an empty string for code 0.
func codeName(c int) string {
	if c == 0 {
		return ""
	}
	return code.Code(c).String()
}

// drainCommand makes a VM leave, or cancels the drain of a backend server.
type drainCommand struct {
	VM   string `arg:"" help:"VM of a daemon or of a backend server."`
	Stay bool   `help:"Cancel the drain of a backend server."`
}

// drainResult is the JSON output of a drain. Leaving is false if a drain was cancelled.
type drainResult struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

// Run requests that the VM leaves or, with --stay, cancels the drain of a backend server.
func (c *drainCommand) Run(d *Deps) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	if err := client.Drain(d.ctx, admin.DrainRequest{VM: c.VM, Cancel: c.Stay}); err != nil {
		return err
	}
	if d.json {
		return d.printJSON(drainResult{VM: c.VM, Leaving: !c.Stay})
	}
	state := "is leaving"
	if c.Stay {
		state = "stays"
	}
	_, err = fmt.Fprintf(d.streams.Out, "%s %s\n", c.VM, state)
	return err
}

// codesCommand lists the result codes.
type codesCommand struct{}

// listedCode is the JSON output for a result code.
type listedCode struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Status  int    `json:"status"`
	Run     string `json:"run"`
	Meaning string `json:"meaning"`
	Remedy  string `json:"remedy"`
}

// Run prints the codes.
func (c *codesCommand) Run(d *Deps) error {
	if d.json {
		var list []listedCode
		for _, i := range code.Table() {
			list = append(list, listedCode{int(i.Code), i.Name, i.Status, string(i.Run), i.Meaning, i.Remedy})
		}
		return d.printJSON(list)
	}
	return d.table("CODE\tNAME\tHTTP\tRUN\tMEANING\tREMEDY", func(w io.Writer) {
		for _, i := range code.Table() {
			_, _ = fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\n", i.Code, i.Name, i.Status, i.Run, i.Meaning, i.Remedy)
		}
	})
}
