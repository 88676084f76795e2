package cmds

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// pollPeriod is the time between status calls while a command waits.
const pollPeriod = 250 * time.Millisecond

// validateCommand checks a document without a daemon.
type validateCommand struct {
	File string `short:"f" required:"" help:"The document."`
}

// validated is the result of a check.
type validated struct {
	File        string `json:"file"`
	Environment string `json:"environment"`
	Revision    int64  `json:"revision"`
	Digest      string `json:"digest"`
	Models      int    `json:"models"`
	Adapters    int    `json:"adapters"`
	Callers     int    `json:"callers"`
	Services    int    `json:"services"`
	Level       int    `json:"level"`
}

// Run checks the document.
func (c *validateCommand) Run(d *Deps) error {
	v, _, err := readDocument(c.File)
	if err != nil {
		return err
	}
	if d.json {
		return d.printJSON(v)
	}
	_, err = fmt.Fprintf(d.streams.Out, "%s: valid\nenvironment %s revision %d\n%d models, %d adapters, %d callers, %d services\ndigest %s\n",
		v.File, v.Environment, v.Revision, v.Models, v.Adapters, v.Callers, v.Services, v.Digest)
	return err
}

// readDocument reads and checks a file.
func readDocument(file string) (validated, []byte, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return validated{}, nil, code.Errorf(code.BadParameter, "--file: %w", err)
	}
	doc, err := envdoc.Decode(file, body)
	if err != nil {
		return validated{}, nil, err
	}
	v := validated{
		File:        file,
		Environment: doc.Environment,
		Revision:    doc.Revision,
		Digest:      envdoc.Digest(body),
		Models:      len(doc.Models),
		Callers:     len(doc.Callers),
		Services:    len(doc.Services),
		Level:       envdoc.RequiredLevel(doc),
	}
	for _, m := range doc.Models {
		v.Adapters += len(m.Adapters)
	}
	return v, body, nil
}

// submitFlags are shared by the commands that change the document in force.
type submitFlags struct {
	Submission string        `help:"Submission id; a repeated call with the same id is harmless. Made when absent."`
	Wait       bool          `help:"Wait until every live daemon has taken the document up."`
	WaitFor    time.Duration `help:"Longest time to wait." default:"30s"`
}

// submit sends a change under the id of a submission, waits as the flags say,
// and prints the confirmation.
func (f submitFlags) submit(d *Deps, send func(c *admin.Client, id string) (admin.Accepted, error)) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	id := f.Submission
	if id == "" {
		id = uuid.NewString()
		d.progress("submission %s", id)
	}
	accepted, err := send(client, id)
	if err != nil {
		return err
	}
	if f.Wait {
		if err := awaitRevision(d, client, accepted.Revision, f.WaitFor); err != nil {
			return err
		}
	}
	return d.printAccepted(accepted)
}

// applyCommand applies a document.
type applyCommand struct {
	File    string `short:"f" required:"" help:"The document."`
	Untried bool   `help:"Let production take a document that was not tried; for emergencies."`
	submitFlags
}

// Run applies the document.
func (c *applyCommand) Run(d *Deps) error {
	_, body, err := readDocument(c.File)
	if err != nil {
		return err
	}
	return c.submit(d, func(k *admin.Client, id string) (admin.Accepted, error) {
		return k.Apply(d.ctx, admin.Submission{ID: id, File: c.File, Body: string(body), Untried: c.Untried})
	})
}

// promoteCommand promotes a tried document.
type promoteCommand struct {
	Digest string `required:"" help:"Digest of the document that was tried."`
	submitFlags
}

// Run promotes the document.
func (c *promoteCommand) Run(d *Deps) error {
	return c.submit(d, func(k *admin.Client, id string) (admin.Accepted, error) {
		return k.Promote(d.ctx, admin.Promotion{ID: id, Digest: c.Digest})
	})
}

// printAccepted writes the confirmation of a change.
func (d *Deps) printAccepted(a admin.Accepted) error {
	if d.json {
		return d.printJSON(a)
	}
	text := "accepted"
	if a.Repeated {
		text = "accepted before"
	}
	_, err := fmt.Fprintf(d.streams.Out, "%s: revision %d\ndigest %s\nsubmission %s\n", text, a.Revision, a.Digest, a.ID)
	return err
}

// awaitRevision waits until every live daemon has the revision. It prints each
// daemon as it takes the document up.
func awaitRevision(d *Deps, client *admin.Client, revision int64, longest time.Duration) error {
	deadline := time.NewTimer(longest)
	defer deadline.Stop()
	tick := time.NewTicker(pollPeriod)
	defer tick.Stop()
	shown := make(map[string]bool)
	var behind []admin.Daemon
	for {
		status, err := client.Status(d.ctx)
		if err == nil {
			behind = d.showTaken(status, revision, shown)
			if len(behind) == 0 {
				return nil
			}
		}
		select {
		case <-d.ctx.Done():
			return code.Errorf(code.DocumentNotForce, "interrupted while waiting for revision %d", revision)
		case <-deadline.C:
			return notInForce(revision, behind)
		case <-tick.C:
		}
	}
}

// showTaken prints the daemons that newly have the revision and returns those
// that do not have it yet.
func (d *Deps) showTaken(s admin.Status, revision int64, shown map[string]bool) []admin.Daemon {
	var behind []admin.Daemon
	for _, m := range s.Daemons {
		if m.Leaving {
			continue
		}
		if m.Revision < revision {
			behind = append(behind, m)
			continue
		}
		if !shown[m.VM] {
			shown[m.VM] = true
			d.progress("%s has revision %d (%d of %d)", m.VM, m.Revision, len(shown), len(s.Daemons))
		}
	}
	return behind
}

// notInForce names the daemons that are behind, with their reasons.
func notInForce(revision int64, behind []admin.Daemon) error {
	text := ""
	for _, m := range behind {
		text += fmt.Sprintf("\n%s has revision %d: %s", m.VM, m.Revision, strings.Join(m.Reasons, ", "))
	}
	return code.Errorf(code.DocumentNotForce, "revision %d is accepted but not in force on %d daemons:%s", revision, len(behind), text)
}
