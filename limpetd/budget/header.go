package budget

import "bytes"

const (
	// HeaderLineBytes is the memory of a parsed header line beside its bytes: the map entry, the list of values and the
	// name.
	HeaderLineBytes = 128
	// encryptedFactor is the maximum memory per byte of a parsed header: the shortest line has four bytes.
	encryptedFactor = HeaderLineBytes/4 + 1
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
	// began is whether the connection has sent anything, encrypted whether it uses TLS.
	began, encrypted bool
}

// Next begins the header of the next request of the connection.
func (s *HeaderScan) Next() { *s = HeaderScan{began: s.began, encrypted: s.encrypted} }

// Encrypted reports whether the connection uses TLS, so that its bytes show no lines.
func (s *HeaderScan) Encrypted() bool { return s.encrypted }

// Add adds bytes that were read from the connection, and returns the memory for them after parsing.
func (s *HeaderScan) Add(p []byte) int64 {
	if !s.began && len(p) > 0 {
		s.began, s.encrypted = true, p[0] == tlsHandshake
	}
	if s.encrypted {
		return encryptedFactor * int64(len(p))
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

// ReadAhead returns an upper bound of the memory for the next header, as far as it arrived together with this header. body
// is the size of the body between the two; negative if it is unknown.
func (s *HeaderScan) ReadAhead(body int64) int64 {
	if s.encrypted || body >= s.Rest {
		return 0
	}
	return s.Rest - max(body, 0) + s.restLines*HeaderLineBytes
}

// LinesBytes returns the memory for p if it is a part of a header that is parsed.
func LinesBytes(p []byte) int64 {
	return int64(len(p)) + int64(bytes.Count(p, []byte("\n")))*HeaderLineBytes
}
