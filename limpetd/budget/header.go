package budget

import "bytes"

const (
	// HeaderLineBytes is what a line of a header takes once it is parsed, beside its bytes: its entry in the map of
	// the header, its list of values and its name.
	HeaderLineBytes = 128
	// opaqueFactor is what a byte of a header takes at most once it is parsed: the shortest lines have four
	// bytes.
	opaqueFactor = HeaderLineBytes/4 + 1
	// tlsHandshake is the first byte of a connection that begins with TLS. It can't begin a request line.
	tlsHandshake = 0x16
)

// HeaderScan counts the bytes and lines of a request header before it is parsed.
type HeaderScan struct {
	// Bytes is the size of the header as far as it has arrived.
	Bytes int64
	// lineBytes is the size of the last line without its end, ended whether the empty line at the end was read.
	lineBytes int64
	ended     bool
	// Rest is the size of what arrived behind the header, restLines its number of lines.
	Rest, restLines int64
	// began is whether the connection has sent anything, opaque whether it uses TLS.
	began, opaque bool
}

// Next begins the header of the next request of the connection.
func (s *HeaderScan) Next() { *s = HeaderScan{began: s.began, opaque: s.opaque} }

// Opaque reports whether the connection uses TLS, so that its bytes show no lines.
func (s *HeaderScan) Opaque() bool { return s.opaque }

// Add adds bytes that were read from the connection, and returns what they take once they are parsed.
func (s *HeaderScan) Add(p []byte) int64 {
	if !s.began && len(p) > 0 {
		s.began, s.opaque = true, p[0] == tlsHandshake
	}
	if s.opaque {
		return opaqueFactor * int64(len(p))
	}
	cost := int64(len(p))
	for len(p) > 0 && !s.ended {
		line, rest, found := bytes.Cut(p, []byte("\n"))
		s.Bytes += int64(len(p) - len(rest))
		s.lineBytes += int64(len(bytes.TrimSuffix(line, []byte("\r"))))
		if !found {
			p = nil
			break
		}
		cost += HeaderLineBytes
		s.ended = s.lineBytes == 0
		s.lineBytes, p = 0, rest
	}
	s.Rest += int64(len(p))
	s.restLines += int64(bytes.Count(p, []byte("\n")))
	return cost
}

// Behind returns what the header behind a request takes at most once it is parsed, if it arrived together with the
// request, whose body has a size; negative if that is unknown.
func (s *HeaderScan) Behind(body int64) int64 {
	if s.opaque || body >= s.Rest {
		return 0
	}
	return s.Rest - max(body, 0) + s.restLines*HeaderLineBytes
}

// LinesBytes returns what bytes take at most if they are lines of a header that is parsed.
func LinesBytes(p []byte) int64 {
	return int64(len(p)) + int64(bytes.Count(p, []byte("\n")))*HeaderLineBytes
}
