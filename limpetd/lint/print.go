package lint

import (
	"encoding/json"
	"fmt"
	"io"
)

// Exit statuses of a check.
const (
	ExitClean      = 0
	ExitFindings   = 1
	ExitUnreadable = 2
)

// line is a finding in JSON.
type line struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Place  string `json:"place"`
	Value  string `json:"value,omitempty"`
	Bound  string `json:"bound,omitempty"`
	Remedy string `json:"remedy"`
}

// Print writes a line for each finding, as text or JSON, and returns the exit status.
func Print(w io.Writer, findings []Finding, asJSON bool) (int, error) {
	for _, f := range findings {
		info := f.Code.Info()
		l := line{int(f.Code), info.Name, f.Place, f.Value, f.Bound, info.Remedy}
		var err error
		if asJSON {
			err = json.NewEncoder(w).Encode(l)
		} else {
			_, err = fmt.Fprintln(w, l.text())
		}
		if err != nil {
			return ExitUnreadable, err
		}
	}
	if len(findings) > 0 {
		return ExitFindings, nil
	}
	return ExitClean, nil
}

func (l line) text() string {
	text := fmt.Sprintf("%d %s: %s", l.Code, l.Name, l.Place)
	if l.Value != "" {
		text += ": " + l.Value
	}
	if l.Bound != "" {
		text += " (" + l.Bound + ")"
	}
	return text + ". " + l.Remedy
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	info := f.Code.Info()
	return line{int(f.Code), info.Name, f.Place, f.Value, f.Bound, info.Remedy}.text()
}
