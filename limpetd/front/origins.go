package front

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/origin"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

const (
	// originWait is how long a call that takes up a stream waits until this daemon knows the
	// software version that began the stream, checked each originPoll: the other daemons tell
	// each other of streams twice in this time.
	originWait = 600 * time.Millisecond
	originPoll = 50 * time.Millisecond
	// originRetryAfter is when a caller may return whose stream can't go on now.
	originRetryAfter = time.Second
)

// ContactProvider tells whether this daemon learns of new servers, and of the streams of other daemons.
type ContactProvider interface {
	HasContact() bool
}

// StreamReporter reports the streams that OriginFacts returns to the other daemons.
type StreamReporter interface {
	// ReportStream reports soon that a stream began at a service with several software versions.
	ReportStream()
}

// OriginFacts returns the streams that began at services with several software versions, after a version of
// the records, and the current one. With own, those that other daemons told of are left out.
func (f *Front) OriginFacts(version int64, own bool) (origin.Facts, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.origins.Since(version, own, time.Now())
}

// MergeOriginFacts adds the streams that began at other daemons.
func (f *Front) MergeOriginFacts(facts origin.Facts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origins.Merge(facts, time.Now())
}

// MergeOriginHistory adds the versions that served before this daemon started. Without them, calls that take up
// streams which are not recorded are refused.
func (f *Front) MergeOriginHistory(facts origin.Facts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origins.Merge(facts, time.Now())
	f.origins.SetComplete()
}

// recordVersions records the software versions of the servers of each service. The caller must hold mu.
func (f *Front) recordVersions(servers []*layout.Server, now time.Time) {
	versions := map[string][]string{}
	for _, service := range f.services {
		versions[service] = nil
	}
	for _, s := range servers {
		if !slices.Contains(versions[s.Service], s.Software) {
			versions[s.Service] = append(versions[s.Service], s.Software)
		}
	}
	f.services = slices.Collect(maps.Keys(versions))
	for service, list := range versions {
		f.origins.SetVersions(service, list, now)
	}
}

// pinSoftware makes the call go on only at engines of the version that sends its first event, and records this
// version for the daemons at which its caller may take the stream up.
func (a *attempt) pinSoftware(now time.Time) {
	c := a.call
	if c.schedCall.PinsSoftware || c.schedCall.Route.Kind != layout.Stream || !c.schedCall.Route.Resumable {
		return
	}
	c.schedCall.Software, c.schedCall.PinsSoftware = a.server.Software, true
	f := c.front
	f.mu.Lock()
	f.origins.Record(c.schedCall.Service, hash(c.info.ID), a.server.Software, now)
	mixed := f.origins.Mixed(c.schedCall.Service)
	f.mu.Unlock()
	if mixed && f.deps.Streams != nil {
		f.deps.Streams.ReportStream()
	}
}

// takesUp reports whether the caller takes up a stream that broke off.
func (c *call) takesUp() bool {
	return c.info.LastEvent != "" && c.schedCall.Route.Kind == layout.Stream && c.schedCall.Route.Resumable
}

// pinOrigin makes a call that takes up a stream go on only at the service and the version that began it. It returns
// false if it ended the call, because this daemon can't find them out or the route leads to other services now.
func (c *call) pinOrigin(ctx context.Context) bool {
	if !c.schedCall.TakesUp {
		return true
	}
	until := time.Now().Add(originWait)
	for {
		service, software, known := c.lookupOrigin(time.Now())
		if known && !leadsTo(c.schedCall.Route, service) {
			c.refuse(code.StreamVersion, originRetryAfter, "the route no longer leads to the service that began the stream")
			return false
		}
		if known {
			c.setService(c.front.Config(), service)
			c.schedCall.Software, c.schedCall.PinsSoftware = software, true
			return true
		}
		if time.Now().After(until) || !life.Sleep(ctx, originPoll) {
			c.refuse(code.StreamVersion, originRetryAfter, "the software version that began the stream is not known")
			return false
		}
	}
}

// lookupOrigin returns the service and the version that began the stream which the call takes up. Without contact to the
// other daemons and the list of servers, another version may have begun it than this daemon knows of.
func (c *call) lookupOrigin(now time.Time) (service, software string, known bool) {
	f := c.front
	id := hash(c.info.Resumes)
	contact := f.deps.Contact == nil || f.deps.Contact.HasContact()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, recorded := f.origins.Service(id); !contact && !recorded {
		return "", "", false
	}
	if service, known = c.originService(now); !known {
		return "", "", false
	}
	software, known = f.origins.Lookup(service, id, now)
	return service, software, known
}

// runsEverywhere reports whether all engines of the service that take calls can go on with the stream of a call.
func (f *Front) runsEverywhere(c *call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.RunsEverywhere(&c.schedCall)
}

// endWithoutVersion ends a call whose stream began at a version of which no engine can go on with it.
func (c *call) endWithoutVersion(choice sched.Choice) {
	c.giveUp(code.StreamVersion, choice, "no engine of the software version that began the stream can go on with it")
}
