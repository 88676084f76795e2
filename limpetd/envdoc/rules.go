package envdoc

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Bounds of a document.
const (
	maxWeight   = 10
	maxReplicas = 256
	maxRank     = 99
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._+-]{0,62}$`)
	digestPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern    = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)*(/|/\*)?$`)
	methods        = []string{
		http.MethodGet, http.MethodHead, http.MethodPost,
		http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
)

// report notes that the value at a path breaks a rule.
type report func(path, format string, args ...any)

// names finds names that stand twice.
type names struct {
	seen   map[string]bool
	report report
}

// add checks the form of a name and that it is new.
func (n *names) add(path, name, kind string) {
	if !namePattern.MatchString(name) {
		n.report(path, "%q is not a name: lower case letters, digits, dots, dashes and underscores, at most 63", name)
		return
	}
	if n.seen[name] {
		n.report(path, "%s %q is declared twice", kind, name)
		return
	}
	n.seen[name] = true
}

// checkDocument applies the rules that span fields.
func checkDocument(d *Document, r report) {
	if !namePattern.MatchString(d.Environment) {
		r("environment", "%q is not a name", d.Environment)
	}
	if d.Revision < 1 {
		r("revision", "must be at least 1")
	}
	checkWeights(d.Weights, r)
	checkPriorities(d.Priorities, r)
	checkModels(d.Models, r)
	checkServices(d, r)
	checkCallers(d, r)
	checkBudgets(d.Budgets, r)
}

// checkWeights bounds the weights.
func checkWeights(w Weights, r report) {
	if w.Attainment < 0 || w.Attainment > maxWeight {
		r("weights.attainment", "must be between 0 and %d", maxWeight)
	}
	if w.Moves < 0 || w.Moves > maxWeight {
		r("weights.moves", "must be between 0 and %d", maxWeight)
	}
	if w.Attainment == 0 && w.Moves == 0 {
		r("weights", "one weight must be above 0")
	}
}

// checkPriorities checks ranks and expectations.
func checkPriorities(priorities []Priority, r report) {
	if len(priorities) == 0 {
		r("priorities", "at least one priority is needed")
	}
	n := names{seen: map[string]bool{}, report: r}
	var ranks []int
	for i, p := range priorities {
		at := fmt.Sprintf("priorities[%d]", i)
		n.add(at+".name", p.Name, "priority")
		if p.Rank < 0 || p.Rank > maxRank {
			r(at+".rank", "must be between 0 and %d", maxRank)
		}
		if slices.Contains(ranks, p.Rank) {
			r(at+".rank", "rank %d is declared twice", p.Rank)
		}
		ranks = append(ranks, p.Rank)
		checkExpectation(at, p, r)
	}
}

// checkExpectation checks the times of a priority.
func checkExpectation(at string, p Priority, r report) {
	if p.FirstToken <= 0 {
		r(at+".first_token", "must be above 0")
	}
	if p.BetweenTokens <= 0 {
		r(at+".between_tokens", "must be above 0")
	}
	if p.Deadline < 0 {
		r(at+".deadline", "must not be negative")
	}
	if p.Deferred && p.Deadline == 0 {
		r(at+".deadline", "deferred work needs a deadline")
	}
	if !p.Deferred && p.Deadline != 0 {
		r(at+".deadline", "only deferred work has a deadline")
	}
}

// checkModels checks models and adapters; they share one space of names.
func checkModels(models []Model, r report) {
	if len(models) == 0 {
		r("models", "at least one model is needed")
	}
	n := names{seen: map[string]bool{}, report: r}
	for i, m := range models {
		at := fmt.Sprintf("models[%d]", i)
		n.add(at+".name", m.Name, "model or adapter")
		checkLoad(at, m.Version, m.MemoryMB, r)
		if !namePattern.MatchString(m.Pool) {
			r(at+".pool", "%q is not a name", m.Pool)
		}
		if m.MinReplicas < 0 || m.MinReplicas > maxReplicas {
			r(at+".min_replicas", "must be between 0 and %d", maxReplicas)
		}
		for j, a := range m.Adapters {
			at := fmt.Sprintf("models[%d].adapters[%d]", i, j)
			n.add(at+".name", a.Name, "model or adapter")
			checkLoad(at, a.Version, a.MemoryMB, r)
		}
	}
}

// checkLoad checks what a model and an adapter have in common.
func checkLoad(at, version string, memoryMB int64, r report) {
	if !versionPattern.MatchString(version) {
		r(at+".version", "%q is not a version", version)
	}
	if memoryMB <= 0 {
		r(at+".memory_mb", "must be above 0")
	}
}

// checkServices checks plain services and their paths.
func checkServices(d *Document, r report) {
	n := names{seen: map[string]bool{}, report: r}
	for i, s := range d.Services {
		at := fmt.Sprintf("services[%d]", i)
		n.add(at+".name", s.Name, "service")
		if !namePattern.MatchString(s.Pool) {
			r(at+".pool", "%q is not a name", s.Pool)
		}
		if slices.ContainsFunc(d.Models, func(m Model) bool { return m.Pool == s.Pool }) {
			r(at+".pool", "%q is a pool of engines", s.Pool)
		}
		if len(s.Paths) == 0 {
			r(at+".paths", "at least one path is needed")
		}
		checkPaths(at, s.Paths, r)
	}
}

// checkPaths checks the paths of a service.
func checkPaths(service string, paths []Path, r report) {
	var seen []string
	for i, p := range paths {
		at := fmt.Sprintf("%s.paths[%d]", service, i)
		if !slices.Contains(methods, p.Method) {
			r(at+".method", "%q is none of %s", p.Method, strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(p.Path, "/") || !pathPattern.MatchString(p.Path) || dotted(p.Path) {
			r(at+".path", "%q is not a path: begin with /, and end in /* for all below it", p.Path)
		}
		if p.Repeatable && p.KeyRequired {
			r(at+".key_required", "a repeatable call needs no key")
		}
		both := p.Method + " " + p.Path
		if slices.Contains(seen, both) {
			r(at, "%s is declared twice", both)
		}
		seen = append(seen, both)
	}
}

// dotted tells whether a segment of the path is . or ..
func dotted(path string) bool {
	return slices.ContainsFunc(strings.Split(path, "/"), func(s string) bool { return s == "." || s == ".." })
}

// checkCallers checks callers and what they refer to.
func checkCallers(d *Document, r report) {
	n := names{seen: map[string]bool{}, report: r}
	var keys []string
	for i, c := range d.Callers {
		at := fmt.Sprintf("callers[%d]", i)
		n.add(at+".name", c.Name, "caller")
		if !digestPattern.MatchString(c.KeySHA256) {
			r(at+".key_sha256", "must be a SHA-256 digest: 64 hexadecimal digits in lower case")
		} else if slices.Contains(keys, c.KeySHA256) {
			r(at+".key_sha256", "another caller has this key")
		}
		keys = append(keys, c.KeySHA256)
		if len(c.Priorities) == 0 {
			r(at+".priorities", "at least one priority is needed")
		}
		if c.RequestsPerSecond < 0 {
			r(at+".requests_per_second", "must not be negative")
		}
		checkReferences(d, at, c, r)
	}
}

// checkReferences checks that what a caller may use is declared.
func checkReferences(d *Document, at string, c Caller, r report) {
	for j, name := range c.Priorities {
		if _, ok := d.Priority(name); !ok {
			r(fmt.Sprintf("%s.priorities[%d]", at, j), "priority %q is not declared", name)
		}
	}
	for j, name := range c.Models {
		if _, _, ok := d.Lookup(name); !ok {
			r(fmt.Sprintf("%s.models[%d]", at, j), "model or adapter %q is not declared", name)
		}
	}
	for j, name := range c.Services {
		if _, ok := d.Service(name); !ok {
			r(fmt.Sprintf("%s.services[%d]", at, j), "service %q is not declared", name)
		}
	}
}

// checkBudgets checks the limits that data centres share.
func checkBudgets(b Budgets, r report) {
	if b.LoadsPerSecond <= 0 {
		r("budgets.loads_per_second", "must be above 0")
	}
	if b.LoadsAtOnce < 1 {
		r("budgets.loads_at_once", "must be at least 1")
	}
	if b.AdaptersInTransit < 1 {
		r("budgets.adapters_in_transit", "must be at least 1")
	}
}
