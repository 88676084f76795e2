package cmds

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// explainCommand shows the log lines of a request, and those that may explain how the
// request ended, from log files of daemons.
type explainCommand struct {
	Request string        `arg:"" help:"Id of the request."`
	Logs    []string      `arg:"" help:"Log files of daemons; lines may have other text before their first key."`
	Before  time.Duration `help:"How long before the start of the request related events are shown." default:"5s"`
}

const (
	// afterEnd is how long after the end of a request events still count as related,
	// because the loss of a server is detected late.
	afterEnd = time.Second
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
)

// field is a key of a log line and its value.
type field struct{ key, value string }

// record is a parsed log line. fields holds all keys but the time, the event and the
// level.
type record struct {
	at      time.Time
	process string
	event   string
	fields  []field
}

// get returns the value of a key, or an empty string if the line does not have the key.
func (r *record) get(key string) string {
	for _, f := range r.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// Run reads the logs and prints the request's lines and the related lines in the order
// of their times.
func (c *explainCommand) Run(d *Deps) error {
	var all []record
	for _, path := range c.Logs {
		list, err := readLog(path)
		if err != nil {
			return code.Errorf(code.BadParameter, "%s: %w", path, err)
		}
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b record) int { return a.at.Compare(b.at) })
	related := c.related(all)
	if len(related) == 0 {
		return code.Errorf(code.BadParameter, "no log line of request %q: no daemon of these logs received the request, or the daemon dropped log lines at that time", c.Request)
	}
	if d.json {
		return d.printJSON(jsonRecords(related))
	}
	return d.table("TIME\tPROCESS\tEVENT\tDETAILS", func(w io.Writer) {
		for _, r := range related {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.at.Format("15:04:05.000"), r.process, r.event, r.details())
		}
	})
}

// details returns the fields of a line as text, with the names of codes.
func (r *record) details() string {
	var parts []string
	for _, f := range r.fields {
		value := f.value
		if f.key == "code" {
			if n, err := strconv.Atoi(value); err == nil {
				value += " " + strconv.Quote(code.Code(n).String())
			}
		} else if strings.ContainsAny(value, " =") {
			value = strconv.Quote(value)
		}
		parts = append(parts, f.key+"="+value)
	}
	return strings.Join(parts, " ")
}

// jsonRecords returns the JSON output for records.
func jsonRecords(records []record) []map[string]string {
	out := make([]map[string]string, 0, len(records))
	for _, r := range records {
		object := map[string]string{"at": r.at.Format(time.RFC3339Nano), "process": r.process, "event": r.event}
		for _, f := range r.fields {
			object[f.key] = f.value
		}
		out = append(out, object)
	}
	return out
}

// related returns the lines of the request and of what it depended on: its server, its
// model and the state of its daemon.
func (c *explainCommand) related(all []record) []record {
	var own []record
	for _, r := range all {
		if r.get("request") == c.Request {
			own = append(own, r)
		}
	}
	var out []record
	for _, r := range all {
		if r.get("request") == c.Request || slices.ContainsFunc(own, func(o record) bool { return c.isRelated(&r, &o) }) {
			out = append(out, r)
		}
	}
	return out
}

// daemonEvents are events about the state of a daemon: its configuration, its data, its
// lease, its links, and its start and end.
var daemonEvents = []string{
	"configuration_applied", "configuration_refused", "quota_invalid", "store_lost", "store_regained", "history_lost", "lease_taken", "lease_lost",
	"lease_released", "steerer_announced", "steerer_fenced", "link_lost", "daemon_started", "daemon_leaving", "daemon_stopped", "lines_dropped",
}

// isRelated reports whether a line is about something that a request depended on. The
// parameter request is a line of the request.
func (c *explainCommand) isRelated(r, request *record) bool {
	took, err := parseSeconds(request.get("took"))
	if err != nil {
		took = 0
	}
	from, to := request.at.Add(-took-c.Before), request.at.Add(afterEnd)
	if r.at.Before(from) || r.at.After(to) || r.get("request") != "" {
		return false
	}
	server := request.get("server")
	model, adapter := request.get("model"), r.get("adapter")
	switch {
	case server != "" && (r.get("server") == server && r.process == request.process || r.get("engine") == server && r.event != "order_sent"):
		return true
	case r.event == "order_sent":
		return model != "" && r.get("model") == model && (adapter == "" || adapter == request.get("adapter"))
	}
	return r.process == request.process && slices.Contains(daemonEvents, r.event)
}

// parseSeconds parses a logged duration, which is a number of seconds.
func parseSeconds(text string) (time.Duration, error) {
	n, err := strconv.ParseFloat(text, 64)
	return time.Duration(n * float64(time.Second)), err
}

// readLog returns the lines of a log file. Lines that cannot be parsed are left out, but a
// line that is longer than maxLine is an error.
func readLog(path string) (list []record, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	process := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if r, ok := parseLine(lines.Text(), process); ok {
			list = append(list, r)
		}
	}
	return list, lines.Err()
}

// parseLine parses a log line and reports whether it is valid. The process is the last
// word before the first key, or the parameter process if there is no such word.
func parseLine(line, process string) (record, bool) {
	start := strings.Index(line, "at=")
	if start < 0 {
		return record{}, false
	}
	if words := strings.Fields(line[:start]); len(words) > 0 {
		process = words[len(words)-1]
	}
	r := record{process: process}
	decoder := logfmt.NewDecoder(strings.NewReader(line[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "at":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return record{}, false
				}
				r.at = at
			case "event":
				r.event = value
			case "level":
			default:
				r.fields = append(r.fields, field{key, value})
			}
		}
	}
	return r, decoder.Err() == nil && r.event != "" && !r.at.IsZero()
}
