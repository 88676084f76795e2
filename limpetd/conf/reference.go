package conf

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/alecthomas/kong"
)

// Reference returns a Markdown table of the flags of a command line, which is a
// struct with kong tags.
func Reference(commandLine any) (string, error) {
	parser, err := kong.New(commandLine, kong.Name("reference"))
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("| flag | environment variable | default | meaning |\n|---|---|---|---|\n")
	for _, f := range parser.Model.Flags {
		if f.Name == "help" {
			continue
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", f.Name, strings.Join(f.Envs, ", "), defaultOf(f), f.Help)
	}
	return b.String(), nil
}

// defaultOf returns the table cell with the default of a flag.
func defaultOf(f *kong.Flag) string {
	switch {
	case f.Default != "":
		return "`" + f.Default + "`"
	case f.Required:
		return "required"
	case f.Target.Kind() == reflect.Bool:
		return "`false`"
	default:
		return "none"
	}
}
