package crowd_test

import (
	"context"
	"strings"
	"testing"
)

// decodeCrowd callers hold more than the limit of memory if all of their requests are decoded at once.
const decodeCrowd = 60

// decodePatterns are the patterns of callers whose JSON has far more values than text. Their key is valid.
var decodePatterns = []pattern{
	jsonPattern("empty messages", "/v1/chat/completions", `{"model":"m","messages":[`, `{},`, `{}]}`),
	jsonPattern("empty parts of content", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[`, `{},`, `{}]}]}`),
	jsonPattern("short messages", "/v1/chat/completions", `{"model":"m","messages":[`, `{"role":"a","content":""},`, `{"role":"a","content":""}]}`),
	jsonPattern("short parts of content", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[`, `{"type":"text"},`, `{"type":"text"}]}]}`),
	jsonPattern("empty prompts", "/v1/completions", `{"model":"m","prompt":[`, `"",`, `""]}`),
	jsonPattern("empty requests of a batch", "/v1/batches", `{"requests":[`, `{},`, `{}]}`),
}

// jsonPattern returns a pattern that sends a whole JSON body of the size limit: it has first, many times item, and last.
func jsonPattern(name, path, first, item, last string) pattern {
	return pattern{name: name, reads: true, send: func(_ context.Context, c *client) {
		_, headers, _ := strings.Cut(c.entry.head, "\r\n")
		c.entry.head = "POST " + path + " HTTP/1.1\r\n" + headers
		body := first + strings.Repeat(item, (bodyLimit-len(first)-len(last))/len(item)) + last
		c.write(c.announce(len(body)), []byte(body))
	}}
}

// TestDecodedRequestsStayWithinMemory guards against JSON that takes far more memory than bytes once it is decoded.
func TestDecodedRequestsStayWithinMemory(t *testing.T) {
	for _, crowd := range decodePatterns {
		t.Run(crowd.name, func(t *testing.T) {
			p, e := startLimpetd(t, standardLimits)
			runCrowd(t, p, e, e, crowd, decodeCrowd)
		})
	}
}
