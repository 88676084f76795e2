package envdoc

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Maximum values in a document.
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

// reportFunc reports that the value at a path violates a validation rule.
type reportFunc func(path, format string, args ...any)

// nameSet collects the names of one namespace and reports duplicates.
type nameSet struct {
	seen   map[string]bool
	report reportFunc
}

// add adds a name, or reports that the name is invalid or declared twice.
func (n *nameSet) add(path, name, kind string) {
	if !namePattern.MatchString(name) {
		n.report(path, "%q is not a valid name: use lower case letters, digits, dots, dashes and underscores, at most 63", name)
		return
	}
	if n.seen[name] {
		n.report(path, "%s %q is declared twice", kind, name)
		return
	}
	n.seen[name] = true
}

// checkDocument checks the validation rules of a decoded document.
func checkDocument(d *Document, r reportFunc) {
	if !namePattern.MatchString(d.Environment) {
		r("environment", "%q is not a valid name", d.Environment)
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

// checkWeights checks the range of the weights.
func checkWeights(w Weights, r reportFunc) {
	if w.Attainment < 0 || w.Attainment > maxWeight {
		r("weights.attainment", "must be between 0 and %d", maxWeight)
	}
	if w.Moves < 0 || w.Moves > maxWeight {
		r("weights.moves", "must be between 0 and %d", maxWeight)
	}
	if w.Attainment == 0 && w.Moves == 0 {
		r("weights", "at least one weight must be above 0")
	}
}

// checkPriorities checks the names, ranks and times of the priorities.
func checkPriorities(priorities []Priority, r reportFunc) {
	if len(priorities) == 0 {
		r("priorities", "at least one priority is needed")
	}
	n := nameSet{seen: map[string]bool{}, report: r}
	var ranks []int
	for i, p := range priorities {
		path := fmt.Sprintf("priorities[%d]", i)
		n.add(path+".name", p.Name, "priority")
		if p.Rank < 0 || p.Rank > maxRank {
			r(path+".rank", "must be between 0 and %d", maxRank)
		}
		if slices.Contains(ranks, p.Rank) {
			r(path+".rank", "rank %d is declared twice", p.Rank)
		}
		ranks = append(ranks, p.Rank)
		checkTimes(path, p, r)
	}
}

// checkTimes checks the times of a priority.
func checkTimes(path string, p Priority, r reportFunc) {
	if p.FirstToken <= 0 {
		r(path+".first_token", "must be above 0")
	}
	if p.BetweenTokens <= 0 {
		r(path+".between_tokens", "must be above 0")
	}
	if p.Deadline < 0 {
		r(path+".deadline", "must not be negative")
	}
	if p.Deferred && p.Deadline == 0 {
		r(path+".deadline", "a deferred priority needs a deadline")
	}
	if !p.Deferred && p.Deadline != 0 {
		r(path+".deadline", "only a deferred priority may have a deadline")
	}
}

// checkModels checks models and adapters, which share one namespace.
func checkModels(models []Model, r reportFunc) {
	if len(models) == 0 {
		r("models", "at least one model is needed")
	}
	n := nameSet{seen: map[string]bool{}, report: r}
	for i, m := range models {
		path := fmt.Sprintf("models[%d]", i)
		n.add(path+".name", m.Name, "model or adapter")
		checkVersionAndMemory(path, m.Version, m.MemoryMB, r)
		if !namePattern.MatchString(m.Pool) {
			r(path+".pool", "%q is not a valid name", m.Pool)
		}
		if m.MinReplicas < 0 || m.MinReplicas > maxReplicas {
			r(path+".min_replicas", "must be between 0 and %d", maxReplicas)
		}
		for j, a := range m.Adapters {
			path := fmt.Sprintf("models[%d].adapters[%d]", i, j)
			n.add(path+".name", a.Name, "model or adapter")
			checkVersionAndMemory(path, a.Version, a.MemoryMB, r)
		}
	}
}

// checkVersionAndMemory checks the fields that models and adapters have in common.
func checkVersionAndMemory(path, version string, memoryMB int64, r reportFunc) {
	if !versionPattern.MatchString(version) {
		r(path+".version", "%q is not a valid version", version)
	}
	if memoryMB <= 0 {
		r(path+".memory_mb", "must be above 0")
	}
}

// checkServices checks plain services and their paths.
func checkServices(d *Document, r reportFunc) {
	n := nameSet{seen: map[string]bool{}, report: r}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		n.add(path+".name", s.Name, "service")
		if !namePattern.MatchString(s.Pool) {
			r(path+".pool", "%q is not a valid name", s.Pool)
		}
		if slices.ContainsFunc(d.Models, func(m Model) bool { return m.Pool == s.Pool }) {
			r(path+".pool", "%q is a pool of engines", s.Pool)
		}
		if len(s.Paths) == 0 {
			r(path+".paths", "at least one path is needed")
		}
		checkPaths(path, s.Paths, r)
	}
}

// checkPaths checks the paths of a service.
func checkPaths(servicePath string, paths []Path, r reportFunc) {
	var seen []string
	for i, p := range paths {
		path := fmt.Sprintf("%s.paths[%d]", servicePath, i)
		if !slices.Contains(methods, p.Method) {
			r(path+".method", "%q is not one of %s", p.Method, strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(p.Path, "/") || !pathPattern.MatchString(p.Path) || hasDotSegment(p.Path) {
			r(path+".path", "%q is not a valid path: must begin with /; end it in /* to match all paths below", p.Path)
		}
		if p.Repeatable && p.KeyRequired {
			r(path+".key_required", "a repeatable call needs no idempotency key")
		}
		endpoint := p.Method + " " + p.Path
		if slices.Contains(seen, endpoint) {
			r(path, "%s is declared twice", endpoint)
		}
		seen = append(seen, endpoint)
	}
}

// hasDotSegment reports whether a segment of the path is "." or "..".
func hasDotSegment(path string) bool {
	return slices.ContainsFunc(strings.Split(path, "/"), func(s string) bool { return s == "." || s == ".." })
}

// checkCallers checks callers and the names that they refer to.
func checkCallers(d *Document, r reportFunc) {
	n := nameSet{seen: map[string]bool{}, report: r}
	var keys []string
	for i, c := range d.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		n.add(path+".name", c.Name, "caller")
		if !digestPattern.MatchString(c.KeySHA256) {
			r(path+".key_sha256", "must be a SHA-256 digest: 64 hexadecimal digits in lower case")
		} else if slices.Contains(keys, c.KeySHA256) {
			r(path+".key_sha256", "another caller has the same key")
		}
		keys = append(keys, c.KeySHA256)
		if len(c.Priorities) == 0 {
			r(path+".priorities", "at least one priority is needed")
		}
		if c.RequestsPerSecond < 0 {
			r(path+".requests_per_second", "must not be negative")
		}
		checkReferences(d, path, c, r)
	}
}

// checkReferences checks that the priorities, models, adapters and services of a
// caller are declared.
func checkReferences(d *Document, path string, c Caller, r reportFunc) {
	for j, name := range c.Priorities {
		if _, ok := d.Priority(name); !ok {
			r(fmt.Sprintf("%s.priorities[%d]", path, j), "priority %q is not declared", name)
		}
	}
	for j, name := range c.Models {
		if _, _, ok := d.Lookup(name); !ok {
			r(fmt.Sprintf("%s.models[%d]", path, j), "model or adapter %q is not declared", name)
		}
	}
	for j, name := range c.Services {
		if _, ok := d.Service(name); !ok {
			r(fmt.Sprintf("%s.services[%d]", path, j), "service %q is not declared", name)
		}
	}
}

// checkBudgets checks the range of the budgets.
func checkBudgets(b Budgets, r reportFunc) {
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
