package front

import (
	"net/http"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

const (
	// maxNamedOrganisations bounds the organisations that have metrics of their own. Metrics are kept until the process
	// ends, and each is a line for the reader.
	maxNamedOrganisations = 64
	// otherOrganisations is the name of all organisations beyond maxNamedOrganisations, unknownOrganisation that of calls
	// without a valid key.
	otherOrganisations  = "other"
	unknownOrganisation = "unknown"
)

// organisationCounters counts the calls of an organisation.
type organisationCounters struct {
	calls, inQuota, badKey, overQuota, refused tally.Counter
}

// organisationMetrics counts calls by organisation.
type organisationMetrics struct {
	scope tally.Scope
	mu    sync.Mutex
	// byName holds the counters of each organisation, those beyond maxNamedOrganisations under otherOrganisations.
	byName map[string]*organisationCounters
}

func newOrganisationMetrics(s tally.Scope) *organisationMetrics {
	return &organisationMetrics{scope: s.SubScope("front"), byName: map[string]*organisationCounters{}}
}

// counters returns the counters of an organisation. An organisation of a reserved name shares the counters of that name.
func (m *organisationMetrics) counters(name string) *organisationCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.byName[name]; c != nil {
		return c
	}
	if name != unknownOrganisation && len(m.byName) >= maxNamedOrganisations {
		name = otherOrganisations
		if c := m.byName[name]; c != nil {
			return c
		}
	}
	s := m.scope.Tagged(map[string]string{"organisation": name})
	c := &organisationCounters{
		calls: s.Counter("organisation_calls"), inQuota: s.Counter("organisation_in_quota"), badKey: s.Counter("organisation_bad_key"),
		overQuota: s.Counter("organisation_over_quota"), refused: s.Counter("organisation_refused"),
	}
	m.byName[name] = c
	return c
}

// countOrganisation counts a call that has ended for its organisation.
func (c *call) countOrganisation() {
	name, o := c.organisation(), &c.outcome
	switch {
	case name != "":
	case o.result == code.BadKey:
		name = unknownOrganisation
	default:
		return
	}
	m := c.front.organisations.counters(name)
	m.calls.Inc(1)
	switch o.result {
	case code.BadKey:
		m.badKey.Inc(1)
	case code.OverQuota:
		m.overQuota.Inc(1)
	case code.QuotaUnknown:
		m.refused.Inc(1)
	default:
		m.inQuota.Inc(1)
		if o.status == http.StatusServiceUnavailable {
			m.refused.Inc(1)
		}
	}
}
