package code

import (
	"fmt"
	"strings"
)

// Markdown returns the Markdown table of all codes in docs/codes.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | name | HTTP | run | meaning | what to do |\n|---|---|---|---|---|---|\n")
	for _, i := range table {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s |\n", i.Code, i.Name, i.Status, i.Run, i.Meaning, i.Remedy)
	}
	return b.String()
}
