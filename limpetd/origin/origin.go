// Package origin remembers at which version of the engines' software streams began.
//
// The events of two versions don't fit together, so a stream goes on only at engines of the version
// that sent its first event. A Table records the version of each stream for term, which is longer than any
// caller takes a stream up again, and the versions that each service had in that time. While a service has
// one version, its streams are not looked up. If there are few, they are sent to other daemons in any case, so that the
// streams of a daemon that fails before a second version appears are recorded elsewhere. Otherwise the streams of the last
// term are sent when the second version appears.
//
// A new table lacks the versions that served before it was made, and the servers of one of them may just have
// left. Until SetComplete, or until it is older than term, Lookup finds only recorded streams.
//
// Facts carry records between tables in any order. A Table starts no goroutine and reads no clock. It is not
// safe for concurrent use.
//
// # Usage
//
//	t := origin.NewTable()
//	t.SetVersions("service", []string{"v1", "v2"}, now)
//	t.Record("service", streamID, "v1", now)
//	version, known := t.Lookup("service", streamID, now)
//	other.Merge(t.Since(0, false, now), now)
package origin

import (
	"maps"
	"slices"
	"time"
)

const (
	// term is how long a stream, and a version that is no longer listed, are remembered.
	term = time.Minute
	// maxStreams bounds the streams of a table. The oldest are forgotten first, and then can't be
	// taken up again while their service has several versions.
	maxStreams = 1 << 17
	// maxEarlyStreams is the number of streams in the last term up to which those of services with one version are told.
	// With more, none of them are for busyTerm: the messages for new links of hundreds of daemons would be large.
	maxEarlyStreams = 9000
	busyTerm        = 10 * time.Minute
	// factSpan is how far apart the starts of streams may be that Facts hold together.
	factSpan = 4 * time.Second
)

// key identifies a version of the software of a service.
type key struct {
	service, software string
}

// stream is a stream that began at a time.
type stream struct {
	id      uint64
	key     key
	at      time.Time
	version int64
	// merged is whether another daemon told of it.
	merged bool
}

// Table remembers streams and versions. Its zero value is not usable; see NewTable.
type Table struct {
	// version counts the records.
	version int64
	// madeAt is when the table received versions first. complete is whether it was given the
	// versions from before.
	madeAt   time.Time
	complete bool
	// streams are in the order of their versions, software is that of each.
	streams  []stream
	software map[uint64]key
	// seen is when a version was listed last, listed are those that are listed now.
	seen   map[key]time.Time
	listed map[string][]string
	mixed  map[string]bool
	// busyUntil is until when only streams of services with several versions are told.
	busyUntil time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{software: map[uint64]key{}, seen: map[key]time.Time{}, listed: map[string][]string{}, mixed: map[string]bool{}}
}

// SetVersions records the versions that the servers of a service have.
func (t *Table) SetVersions(service string, versions []string, now time.Time) {
	if t.madeAt.IsZero() {
		t.madeAt = now
	}
	for _, v := range t.listed[service] {
		t.seen[key{service, v}] = now
	}
	for _, v := range versions {
		t.seen[key{service, v}] = now
	}
	t.listed[service] = versions
	t.update(now)
}

// SetComplete records that the table has been given the versions that others saw before it was made.
func (t *Table) SetComplete() { t.complete = true }

// update forgets what is older than term, and stamps the streams of services that have become mixed anew, so
// that they are told.
func (t *Table) update(now time.Time) {
	count := map[string]int{}
	for k, at := range t.seen {
		if now.Sub(at) > term && !slices.Contains(t.listed[k.service], k.software) {
			delete(t.seen, k)
			continue
		}
		count[k.service]++
	}
	mixed := map[string]bool{}
	for service, n := range count {
		if n > 1 {
			mixed[service] = true
		}
	}
	var became []stream
	kept := t.streams[:0]
	for _, s := range t.streams {
		switch {
		case now.Sub(s.at) > term:
			delete(t.software, s.id)
		case mixed[s.key.service] && !t.mixed[s.key.service]:
			t.version++
			s.version = t.version
			became = append(became, s)
		default:
			kept = append(kept, s)
		}
	}
	kept = append(kept, became...)
	t.streams, t.mixed = kept, mixed
	if len(t.streams) > maxEarlyStreams {
		t.busyUntil = now.Add(busyTerm)
	}
}

// Record records that a stream began at a version.
func (t *Table) Record(service string, id uint64, software string, now time.Time) {
	t.add(stream{id: id, key: key{service, software}, at: now})
}

// add adds a stream that is not known yet.
func (t *Table) add(s stream) {
	if _, known := t.software[s.id]; known {
		return
	}
	if len(t.streams) >= maxStreams {
		delete(t.software, t.streams[0].id)
		t.streams = t.streams[1:]
	}
	t.version++
	s.version = t.version
	t.streams = append(t.streams, s)
	t.software[s.id] = s.key
}

// Lookup returns the version at which a stream began. A stream that is not recorded began at the version of its
// service if that had no other for term. The result is false if it had several, or if the table is new.
func (t *Table) Lookup(service string, id uint64, now time.Time) (string, bool) {
	if k, ok := t.software[id]; ok && k.service == service {
		return k.software, true
	}
	t.update(now)
	if !t.complete && (t.madeAt.IsZero() || now.Sub(t.madeAt) < term) {
		return "", false
	}
	only, n := "", 0
	for k := range t.seen {
		if k.service == service {
			only = k.software
			n++
		}
	}
	return only, n == 1
}

// Mixed reports whether a service had several versions within term.
func (t *Table) Mixed(service string) bool { return t.mixed[service] }

// Service returns the service at which a stream began, and whether the stream is recorded.
func (t *Table) Service(id uint64) (string, bool) {
	k, ok := t.software[id]
	return k.service, ok
}

// Facts carry records between tables. Times are sent as ages, because the clocks of VMs differ.
type Facts struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Versions []VersionFact `msgpack:"versions"`
	Streams  []StreamFacts `msgpack:"streams"`
}

// VersionFact is a version of a service with several, and the time since it was listed last.
type VersionFact struct {
	_msgpack          struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Service, Software string
	Age               time.Duration
}

// StreamFacts are streams that began at a version within factSpan. Age is the time since the last of them
// began.
type StreamFacts struct {
	_msgpack          struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Service, Software string
	Age               time.Duration
	IDs               []uint64
}

// tells reports whether the streams of a service are told to other daemons.
func (t *Table) tells(service string, now time.Time) bool {
	return t.mixed[service] || now.After(t.busyUntil)
}

// Since returns the records after a version that concern services whose streams are told, and the current
// version. Only services with several versions have facts about versions. With own, records that other daemons
// told of are left out.
func (t *Table) Since(version int64, own bool, now time.Time) (Facts, int64) {
	t.update(now)
	var f Facts
	type group struct {
		key   key
		start time.Time
	}
	groups := map[group]*StreamFacts{}
	for i := len(t.streams) - 1; i >= 0 && t.streams[i].version > version; i-- {
		s := &t.streams[i]
		if !t.tells(s.key.service, now) || own && s.merged {
			continue
		}
		g := group{s.key, s.at.Truncate(factSpan)}
		if groups[g] == nil {
			groups[g] = &StreamFacts{Service: s.key.service, Software: s.key.software, Age: now.Sub(s.at)}
		}
		groups[g].IDs = append(groups[g].IDs, s.id)
		groups[g].Age = min(groups[g].Age, now.Sub(s.at))
	}
	for _, list := range groups {
		f.Streams = append(f.Streams, *list)
	}
	for k := range maps.Keys(t.seen) {
		if t.mixed[k.service] {
			f.Versions = append(f.Versions, VersionFact{Service: k.service, Software: k.software, Age: now.Sub(t.seenAt(k, now))})
		}
	}
	return f, t.version
}

// seenAt returns when a version was listed last: now if it is listed.
func (t *Table) seenAt(k key, now time.Time) time.Time {
	if slices.Contains(t.listed[k.service], k.software) {
		return now
	}
	return t.seen[k]
}

// Aged returns the facts as they are after a time.
func (f Facts) Aged(by time.Duration) Facts {
	aged := Facts{Versions: slices.Clone(f.Versions), Streams: slices.Clone(f.Streams)}
	for i := range aged.Versions {
		aged.Versions[i].Age += by
	}
	for i := range aged.Streams {
		aged.Streams[i].Age += by
	}
	return aged
}

// Mixed returns the facts about services with several versions.
func (f Facts) Mixed() Facts {
	mixed := Facts{Versions: f.Versions}
	for _, s := range f.Streams {
		if slices.ContainsFunc(f.Versions, func(v VersionFact) bool { return v.Service == s.Service }) {
			mixed.Streams = append(mixed.Streams, s)
		}
	}
	return mixed
}

// Empty reports whether there are no facts.
func (f *Facts) Empty() bool { return len(f.Versions) == 0 && len(f.Streams) == 0 }

// Merge adds the facts of another table.
func (t *Table) Merge(f Facts, now time.Time) {
	for _, v := range f.Versions {
		at := now.Add(-max(v.Age, 0))
		if k := (key{v.Service, v.Software}); now.Sub(at) <= term && at.After(t.seen[k]) {
			t.seen[k] = at
		}
	}
	for _, s := range f.Streams {
		if s.Age > term {
			continue
		}
		for _, id := range s.IDs {
			t.add(stream{id: id, key: key{s.Service, s.Software}, at: now.Add(-max(s.Age, 0)), merged: true})
		}
	}
	t.update(now)
}
