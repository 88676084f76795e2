package crowd

import (
	"bytes"
	"context"
	"fmt"
	"strings"
)

const (
	// HeaderLimit is the size limit of headers in the configuration of limpetp, headerRest the part of it for the
	// lines of an ordinary request.
	HeaderLimit = 16 << 10
	headerRest  = 1 << 10
	// longHeader and manyLines are the size and the number of lines of a header over the limit.
	longHeader = 55_000
	manyLines  = 1500
	// openHeader is the size of a header without an end.
	openHeader = 60_000
	// shortBody is the size of the bodies of calls with many header lines.
	shortBody = 10_000
)

// HeaderPatterns are the patterns of clients that hold memory with headers.
var HeaderPatterns = []Pattern{
	{Name: "many header names and a body without its last byte", Reads: true, Send: func(_ context.Context, c *Client) {
		head := strings.TrimSuffix(string(c.announce(shortBody)), "\r\n")
		c.write([]byte(head+shortNames(HeaderLimit-headerRest)+"\r\n"), bytes.Repeat([]byte("x"), shortBody-1))
	}},
	{Name: "many lines over the limit", Reads: true, Send: func(_ context.Context, c *Client) {
		head := []byte(c.Entry.Head)
		for i := range manyLines {
			head = fmt.Appendf(head, "X-%06d: %s\r\n", i, strings.Repeat("x", longHeader/manyLines-len("X-000000: \r\n")))
		}
		c.write(head, []byte("\r\n"))
	}},
	{Name: "short lines without an end", Reads: true, Send: func(_ context.Context, c *Client) {
		const line = "a:\r\n"
		c.write([]byte(c.Entry.Head + strings.Repeat(line, openHeader/len(line))))
	}},
	{Name: "many header names behind a request", Reads: true, Send: func(_ context.Context, c *Client) {
		head := strings.TrimSuffix(string(c.announce(shortBody)), "\r\n")
		c.write(append(c.announce(1), 'x'), []byte(head+shortNames(pipelinedHeader)+"\r\n"), bytes.Repeat([]byte("x"), shortBody-1))
	}},
}

// pipelinedHeader is the size of a header that is read together with the request before it.
const pipelinedHeader = 3 << 10

// shortNames returns header lines of n bytes or a few less, with names of two characters that are all different, and
// without values. The size of a line is that of its HTTP/1.1 format with a space.
func shortNames(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	const size = len("ab: \r\n")
	var b strings.Builder
	for i := 0; (i+1)*size <= n && i < len(letters)*len(letters); i++ {
		b.WriteByte(letters[i/len(letters)])
		b.WriteByte(letters[i%len(letters)])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// JSONPatterns are the patterns of callers whose JSON has far more values than text. Their key is valid.
var JSONPatterns = []Pattern{
	jsonPattern("empty messages", "/v1/chat/completions", `{"model":"m","messages":[`, `{},`, `{}]}`),
	jsonPattern("empty parts of content", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[`, `{},`, `{}]}]}`),
	jsonPattern("short messages", "/v1/chat/completions", `{"model":"m","messages":[`, `{"role":"a","content":""},`, `{"role":"a","content":""}]}`),
	jsonPattern("short parts of content", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[`, `{"type":"text"},`, `{"type":"text"}]}]}`),
	jsonPattern("empty prompts", "/v1/completions", `{"model":"m","prompt":[`, `"",`, `""]}`),
	jsonPattern("empty requests of a batch", "/v1/batches", `{"requests":[`, `{},`, `{}]}`),
}

// jsonPattern returns a pattern that sends a whole JSON body of the size limit: it has first, many times item, and last.
func jsonPattern(name, path, first, item, last string) Pattern {
	return Pattern{Name: name, Reads: true, Send: func(_ context.Context, c *Client) {
		_, headers, _ := strings.Cut(c.Entry.Head, "\r\n")
		c.Entry.Head = "POST " + path + " HTTP/1.1\r\n" + headers
		body := first + strings.Repeat(item, (BodyLimit-len(first)-len(last))/len(item)) + last
		c.write(c.announce(len(body)), []byte(body))
	}}
}
