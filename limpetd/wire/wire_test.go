package wire

import (
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

func TestDecodeChat(t *testing.T) {
	g, err := DecodeChat([]byte(`{
		"model": "m", "stream": true, "stream_options": {"include_usage": true}, "max_completion_tokens": 9,
		"temperature": 0.5, "seed": 7, "top_p": 1, "stop": null, "priority": "night",
		"messages": [
			{"role": "system", "content": "be short"},
			{"role": "user", "content": [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]}
		]}`))
	require.NoError(t, err)
	require.Equal(t, Generation{
		Chat: true, Model: "m", Prompt: "system: be short\nuser: ab\nassistant:", MaxTokens: 9,
		Temperature: 0.5, Seed: 7, Stream: true, IncludeUsage: true, Priority: "night",
	}, g)
}

// TestDecodeRejectsInvalidRequests checks the code of the error for each kind of invalid
// body, and that the text does not mention Go.
func TestDecodeRejectsInvalidRequests(t *testing.T) {
	cases := []struct {
		body string
		want code.Code
	}{
		{`{"model":"m","prompt":"p","n":2}`, code.BadParameter},
		{`{"model":"m","prompt":"p","stop":["x"]}`, code.BadParameter},
		{`{"model":"m","prompt":"p","max_tokens":0}`, code.BadParameter},
		{`{"model":"m","prompt":"p","max_tokens":40000}`, code.BadParameter},
		{`{"model":"m","prompt":"p","temperature":3}`, code.BadParameter},
		{`{"model":"m","prompt":["p","q"]}`, code.BadParameter},
		{`{"model":"m","prompt":[1,2]}`, code.BadParameter},
		{`{"model":"m"}`, code.BadParameter},
		{`{"prompt":"p"}`, code.BadParameter},
		{`{"model":"m","prompt":"p"`, code.MalformedBody},
		{`{"model":"m","prompt":"p"} x`, code.MalformedBody},
		{`{"model":{},"prompt":"p"}`, code.MalformedBody},
		{`[]`, code.MalformedBody},
		{``, code.MalformedBody},
	}
	for _, c := range cases {
		_, err := DecodeCompletion([]byte(c.body))
		require.Equal(t, c.want, code.Of(err), c.body)
		require.Equal(t, code.RunNo, code.RunOf(err), c.body)
		require.NotContains(t, err.Error(), "Go ", c.body)
	}
	_, err := DecodeChat([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`))
	require.Equal(t, code.BadParameter, code.Of(err))
}

func TestAppendChunk(t *testing.T) {
	chat := ResponseEncoder{ID: "r", Model: "m", Created: 5, Chat: true}
	require.Equal(t,
		`data: {"id":"r","object":"chat.completion.chunk","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"a\nb"},"finish_reason":null}]}`+"\n\n",
		string(chat.AppendChunk(nil, Chunk{First: true, Text: "a\nb"})))
	require.Equal(t,
		`data: {"id":"r","object":"chat.completion.chunk","created":5,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n",
		string(chat.AppendChunk(nil, Chunk{Finish: "stop"})))
	completion := ResponseEncoder{ID: "r", Model: "m", Created: 5}
	require.Equal(t,
		`data: {"id":"r","object":"text_completion","created":5,"model":"m","choices":[{"index":0,"text":"a","finish_reason":null}]}`+"\n\n",
		string(completion.AppendChunk(nil, Chunk{Text: "a"})))
}

// TestNewErrorHidesTextOfErrorWithoutCode checks that the text of an unexpected error,
// which may contain internal details, is not sent to the caller.
func TestNewErrorHidesTextOfErrorWithoutCode(t *testing.T) {
	e := NewError(errors.New("secret address"), "r").Error
	require.NotContains(t, e.Message, "secret")
	require.Equal(t, "internal", e.Name)
	e = NewError(code.Errorf(code.QueueFull, "the queue is full"), "r").Error
	require.Equal(t, Error{Message: "the queue is full", Type: "rate_limit_error", Code: 1201, Name: "queue_full", Run: code.RunNo, RequestID: "r"}, e)
}

func FuzzDecodeChat(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":1e9}`)
	f.Add(`{"messages":null}`)
	f.Fuzz(func(t *testing.T, body string) {
		g, err := DecodeChat([]byte(body))
		requireValid(t, g, err)
		if err == nil {
			require.True(t, strings.HasSuffix(g.Prompt, "assistant:"))
		}
	})
}

func FuzzDecodeCompletion(f *testing.F) {
	f.Add(`{"model":"m","prompt":"x","temperature":-1}`)
	f.Add(`{"model":"m","prompt":["x"],"stream":true,"stream_options":null}`)
	f.Fuzz(func(t *testing.T, body string) {
		g, err := DecodeCompletion([]byte(body))
		requireValid(t, g, err)
	})
}

// requireValid checks the result of decoding any body: either err has code MalformedBody
// or BadParameter, or g is within the limits and AppendChunk encodes its prompt as exactly
// one event with valid JSON.
func requireValid(t *testing.T, g Generation, err error) {
	if err != nil {
		require.Contains(t, []code.Code{code.MalformedBody, code.BadParameter}, code.Of(err))
		return
	}
	require.NotEmpty(t, g.Model)
	require.True(t, g.MaxTokens >= 1 && g.MaxTokens <= MaxTokensLimit)
	require.True(t, g.Temperature >= 0 && g.Temperature <= MaxTemperature)
	event := string(ResponseEncoder{ID: "r", Model: g.Model, Chat: g.Chat}.AppendChunk(nil, Chunk{Text: g.Prompt}))
	data, ok := strings.CutPrefix(event, "data: ")
	require.True(t, ok)
	require.Equal(t, 1, strings.Count(event, "\n\n"))
	require.True(t, json.Valid([]byte(data)))
}

// TestDecodeMatchesForms checks the texts of prompts in all their forms, and the fields that the decoder compares
// without case.
func TestDecodeMatchesForms(t *testing.T) {
	chats := map[string]string{
		`[{"content":"b","role":"a"}]`:                                               "a: b\nassistant:",
		`[{"role":"a","content":null},{"Role":"b","CONTENT":"\u00e9\n"}]`:            "a: \nb: é\n\nassistant:",
		`[{"role":"a","content":[]}]`:                                                "a: \nassistant:",
		`[{"role":"a","content":"x","content":[{"text":"1","type":"text"}],"y":{}}]`: "a: 1\nassistant:",
		"[{\"role\":\"a\",\"content\":\"\xff\"}]":                                    "a: \uFFFD\nassistant:",
	}
	for messages, want := range chats {
		g, err := DecodeChat([]byte(`{"ignored":[{}],"MODEL":"m","messages":` + messages + `}`))
		require.NoError(t, err, messages)
		require.Equal(t, want, g.Prompt)
		require.Equal(t, "m", g.Model)
	}
	for _, messages := range []string{`null`, `[]`, `[null]`, `[{}]`, `[{"role":"a"}]`, `[{"role":"a","content":1}]`, `[{"role":"a","content":[1]}]`, `[{"role":"a","content":[{"type":"text","text":1}]}]`} {
		_, err := DecodeChat([]byte(`{"model":"m","messages":` + messages + `}`))
		require.Equal(t, code.BadParameter, code.Of(err), messages)
	}
	for text, want := range map[string]string{`"p"`: "p", `["p"]`: "p", `[null]`: "", `""`: ""} {
		g, err := DecodeCompletion([]byte(`{"model":"m","prompt":` + text + `}`))
		require.NoError(t, err, text)
		require.Equal(t, want, g.Prompt)
	}
	for _, text := range []string{`null`, `[]`, `["p",null]`, `{}`, `1`} {
		_, err := DecodeCompletion([]byte(`{"model":"m","prompt":` + text + `}`))
		require.Equal(t, code.BadParameter, code.Of(err), text)
	}
}

// TestDecodingAllocatesForThePromptOnly guards against values that take far more memory than bytes once they are
// decoded.
func TestDecodingAllocatesForThePromptOnly(t *testing.T) {
	// slack is for what does not depend on the size of the body, and for rounding to pages.
	const size, slack = 1 << 20, 32 << 10
	bodies := map[string]string{
		"messages": `{"model":"m","messages":[` + strings.Repeat(`{"role":"a","content":""},`, size/26) + `{}]}`,
		"empty":    `{"model":"m","messages":[` + strings.Repeat(`{},`, size/3) + `{}]}`,
		"parts":    `{"model":"m","messages":[{"role":"a","content":[` + strings.Repeat(`{},`, size/3) + `{}]}]}`,
		"unknown":  `{"model":"m","messages":[],"other":[` + strings.Repeat(`[],`, size/3) + `{}]}`,
		"names":    `{"model":"m",` + strings.Repeat(`"":0,`, size/5) + `"messages":[]}`,
		"text":     `{"model":"m","messages":[{"content":"` + strings.Repeat("x", size) + `","role":"a"}]}`,
		"tools":    `{"model":"m","tools":[` + strings.Repeat(`{},`, size/3) + `{}],"messages":[{"role":"a","content":""}]}`,
	}
	for name, text := range bodies {
		body := []byte(text)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _ = DecodeChat(body)
		runtime.ReadMemStats(&after)
		require.LessOrEqual(t, int64(after.TotalAlloc-before.TotalAlloc), DecodeBytes(int64(len(body)))+slack, name)
	}
}

// TestSplitBatchIsBounded guards against batches of more requests than the maximum, and against cutting requests wrongly.
func TestSplitBatchIsBounded(t *testing.T) {
	const body = `{"priority":"night", "requests": [ {"a":1} , 2,[]]}`
	priority, requests, err := SplitBatch([]byte(body), 3)
	require.NoError(t, err)
	require.Equal(t, "night", priority)
	require.Equal(t, [][]byte{[]byte(`{"a":1}`), []byte(`2`), []byte(`[]`)}, requests)
	_, _, err = SplitBatch([]byte(body), 2)
	require.Equal(t, code.BadParameter, code.Of(err))
	lines, err := SplitLines([]byte("{\"a\":1}\n 2\n"), 2)
	require.NoError(t, err)
	require.Equal(t, [][]byte{[]byte(`{"a":1}`), []byte(`2`)}, lines)
	_, err = SplitLines([]byte("1\n2\n"), 1)
	require.Equal(t, code.BadParameter, code.Of(err))
	_, err = SplitLines([]byte("1\n["), 2)
	require.Equal(t, code.MalformedBody, code.Of(err))
}
