package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/lint"
)

// checkCommand checks an environment document without calling a daemon, and compares it with another one.
type checkCommand struct {
	File    string `arg:"" help:"File with the environment document."`
	Against string `help:"File with the document in force, with which the document is compared."`
}

// exitError ends a command with a status after its results were printed.
type exitError int

// Error implements error.
func (e exitError) Error() string { return fmt.Sprint("exit status ", int(e)) }

// Run prints a line for each finding.
func (c *checkCommand) Run(d *Deps) error {
	doc, findings, err := readChecked(c.File)
	if err == nil && c.Against != "" {
		var before *envdoc.Document
		var faults []lint.Finding
		before, faults, err = readChecked(c.Against)
		switch {
		case err != nil:
		case before == nil:
			err = code.Errorf(code.BadParameter, "--against: %s", faults[0])
		case doc != nil:
			findings = append(findings, compareDocuments(before, doc)...)
		}
	}
	if err != nil {
		d.printError(err)
		return exitError(lint.ExitUnreadable)
	}
	status, err := lint.Print(d.streams.Out, findings, d.json)
	if err != nil || status == lint.ExitClean {
		return err
	}
	return exitError(status)
}

// readChecked returns the document in a file, or its faults. An error means that the file is not a document.
func readChecked(file string) (*envdoc.Document, []lint.Finding, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, code.Errorf(code.BadParameter, "%w", err)
	}
	if len(body) > envdoc.MaxBytes {
		return nil, []lint.Finding{{Code: code.DocumentTooLarge, Place: file, Value: fmt.Sprint(len(body), " bytes"), Bound: fmt.Sprint(envdoc.MaxBytes, " bytes")}}, nil
	}
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		var platform struct {
			Routes json.RawMessage `json:"routes"`
		}
		if json.Unmarshal(body, &platform) == nil && platform.Routes != nil {
			return nil, nil, code.Errorf(code.BadParameter, "%s is a configuration of the users' platform: use limpetp --check", file)
		}
	}
	doc, faults := envdoc.Validate(file, body)
	var findings []lint.Finding
	for _, f := range faults {
		findings = append(findings, lint.Finding{Code: code.DocumentInvalid, Place: fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column), Value: f.Text})
	}
	return doc, findings, nil
}

// compareDocuments returns what a document changes for the callers of another one.
func compareDocuments(before, after *envdoc.Document) []lint.Finding {
	var refused, lowered []lint.Finding
	callers, models, services := map[string]*envdoc.Caller{}, map[string]bool{}, map[string]bool{}
	for i := range after.Callers {
		callers[after.Callers[i].Name] = &after.Callers[i]
	}
	for _, m := range after.Models {
		models[m.Name] = true
	}
	for _, s := range after.Services {
		services[s.Name] = true
	}
	withdrawn := 0
	for _, old := range before.Callers {
		c := callers[old.Name]
		if c == nil || c.KeySHA256 != old.KeySHA256 {
			withdrawn++
		}
		if c == nil {
			refused = append(refused, lint.Finding{Code: code.ConfigCallersRefused, Place: fmt.Sprintf("caller %q", old.Name), Value: "not declared"})
		} else if c.RequestsPerSecond > 0 && (old.RequestsPerSecond == 0 || c.RequestsPerSecond < old.RequestsPerSecond) {
			lowered = append(lowered, lint.Finding{Code: code.ConfigLimitLowered, Place: fmt.Sprintf("caller %q", old.Name),
				Value: fmt.Sprint(c.RequestsPerSecond), Bound: fmt.Sprint(old.RequestsPerSecond)})
		}
	}
	for _, m := range before.Models {
		if !models[m.Name] {
			refused = append(refused, lint.Finding{Code: code.ConfigCallersRefused, Place: fmt.Sprintf("model %q", m.Name), Value: "not declared"})
		}
	}
	for _, s := range before.Services {
		if !services[s.Name] {
			refused = append(refused, lint.Finding{Code: code.ConfigCallersRefused, Place: fmt.Sprintf("service %q", s.Name), Value: "not declared"})
		}
	}
	if withdrawn > 0 {
		refused = append(refused, lint.Finding{Code: code.ConfigKeysWithdrawn, Place: "callers", Value: fmt.Sprint(withdrawn, " keys"), Bound: fmt.Sprint(len(before.Callers), " keys")})
	}
	return append(refused, lowered...)
}
