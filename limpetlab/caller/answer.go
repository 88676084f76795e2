package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// maxEventBytes is the maximum length of a line of a server-sent event.
const maxEventBytes = 1 << 20

// choice is a choice of a completion, a chat completion or an event of a stream. Only the
// text field of its kind of answer is set.
type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	Message struct {
		Content string `json:"content"`
	} `json:"message"`
	FinishReason string `json:"finish_reason"`
}

// answerBody is the body of a complete answer or the data of an event of a stream.
type answerBody struct {
	errorBody
	Choices []choice `json:"choices"`
}

// text returns the text of the first choice.
func (b answerBody) text() string {
	if len(b.Choices) == 0 {
		return ""
	}
	c := b.Choices[0]
	return c.Text + c.Delta.Content + c.Message.Content
}

// readBody reads an answer that is not streamed. The answer is complete if it has one
// choice with a finish reason.
func (a *Outcome) readBody(response *http.Response) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		a.Err = err
		return
	}
	var b answerBody
	if err := json.Unmarshal(body, &b); err != nil {
		a.Err = err
		return
	}
	a.Text = b.text()
	a.Complete = len(b.Choices) == 1 && b.Choices[0].FinishReason != ""
}

// readStream reads an answer that consists of server-sent events. The answer is complete if
// [DONE] follows a finish reason and no event holds an error code.
func (a *Outcome) readStream(response *http.Response, start time.Time) {
	var text strings.Builder
	finished := false
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Complete = finished && a.Code == 0
			continue
		}
		var b answerBody
		if err := json.Unmarshal([]byte(data), &b); err != nil {
			a.Err = err
			break
		}
		if b.Error.Code != 0 {
			a.Code, a.Run = code.Code(b.Error.Code), b.Error.Run
			continue
		}
		if a.FirstToken == 0 && b.text() != "" {
			a.FirstToken = time.Since(start)
		}
		text.WriteString(b.text())
		finished = finished || len(b.Choices) == 1 && b.Choices[0].FinishReason != ""
	}
	a.Text = text.String()
	if err := lines.Err(); err != nil && !a.Complete {
		a.Err = err
	}
}
