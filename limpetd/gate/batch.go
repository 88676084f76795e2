package gate

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"goji.io/pat"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/code"
)

// batchBody is the JSON form of a submission.
type batchBody struct {
	Priority string       `json:"priority"`
	Requests []batch.Item `json:"requests"`
}

// batchView is how a caller sees a batch.
type batchView struct {
	ID          string        `json:"id"`
	Object      string        `json:"object"`
	Status      batch.State   `json:"status"`
	Priority    string        `json:"priority"`
	CreatedAt   int64         `json:"created_at"`
	ExpiresAt   int64         `json:"expires_at"`
	EndedAt     int64         `json:"ended_at,omitempty"`
	Counts      requestCounts `json:"request_counts"`
	Error       string        `json:"error,omitempty"`
	ResultsPath string        `json:"results_path,omitempty"`
}

type requestCounts struct {
	Total  int `json:"total"`
	Failed int `json:"failed"`
}

type batchList struct {
	Object  string      `json:"object"`
	Data    []batchView `json:"data"`
	HasMore bool        `json:"has_more"`
}

func viewOf(j batch.Job) batchView {
	v := batchView{
		ID:        j.ID,
		Object:    "batch",
		Status:    j.State,
		Priority:  j.Priority,
		CreatedAt: j.At.Unix(),
		ExpiresAt: j.Deadline.Unix(),
		Counts:    requestCounts{Total: j.Requests, Failed: j.Failed},
		Error:     j.Error,
	}
	if !j.Ended.IsZero() {
		v.EndedAt = j.Ended.Unix()
	}
	if j.State == batch.StateDone {
		v.ResultsPath = "/v1/batches/" + j.ID + "/result"
	}
	return v
}

// submitBatch takes a batch as a JSON object or as lines of JSON, and answers
// 202 once it is durable.
func (g *Gate) submitBatch(x *exchange) error {
	kind, err := x.contentType()
	if err != nil {
		return err
	}
	body, err := x.body(g.config.MaxBatchBytes)
	if err != nil {
		return err
	}
	s := batch.Submission{
		Caller: x.caller,
		Key:    x.request.Header.Get(headerKey),
	}
	switch kind {
	case kindJSON:
		var b batchBody
		if err := json.Unmarshal(body, &b); err != nil {
			return code.Errorf(code.MalformedBody, "body: %w", err)
		}
		s.Priority = b.Priority
		s.Items = b.Requests
	case kindJSONL, kindNDJSON:
		s.Items, err = decodeLines(body)
		if err != nil {
			return err
		}
	default:
		return code.Errorf(code.BadContentType, "content type %q is not %s or %s", kind, kindJSON, kindJSONL)
	}
	if p := x.request.Header.Get(headerPriority); p != "" {
		s.Priority = p
	}
	j, err := g.deps.Batches.Submit(x.request.Context(), s)
	if err != nil {
		return err
	}
	return x.json(http.StatusAccepted, viewOf(j))
}

// decodeLines reads one item a line.
func decodeLines(body []byte) ([]batch.Item, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	var items []batch.Item
	for {
		var i batch.Item
		err := d.Decode(&i)
		if errors.Is(err, io.EOF) {
			return items, nil
		}
		if err != nil {
			return nil, code.Errorf(code.MalformedBody, "line %d: %w", len(items)+1, err)
		}
		if len(items) == batch.MaxItems {
			return nil, code.Errorf(code.BadParameter, "more than %d requests", batch.MaxItems)
		}
		items = append(items, i)
	}
}

// listBatches lists the caller's batches, 100 at most; the query parameter
// after continues a list.
func (g *Gate) listBatches(x *exchange) error {
	after := x.request.URL.Query().Get("after")
	jobs, more, err := g.deps.Batches.List(x.request.Context(), x.caller.Name, after)
	if err != nil {
		return err
	}
	list := batchList{Object: "list", Data: []batchView{}, HasMore: more}
	for _, j := range jobs {
		list.Data = append(list.Data, viewOf(j))
	}
	return x.json(http.StatusOK, list)
}

func (g *Gate) getBatch(x *exchange) error {
	j, err := g.deps.Batches.Get(x.request.Context(), x.caller.Name, pat.Param(x.request, "id"))
	if err != nil {
		return err
	}
	return x.json(http.StatusOK, viewOf(j))
}

// batchResult writes the result as lines of JSON; 202 while there is none.
func (g *Gate) batchResult(x *exchange) error {
	id := pat.Param(x.request, "id")
	lines, err := g.deps.Batches.Result(x.request.Context(), x.caller.Name, id)
	if err != nil {
		return err
	}
	if lines == nil {
		x.writer.Header().Set("Retry-After", "10")
		return g.stillRunning(x, id)
	}
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	for _, l := range lines {
		if err := e.Encode(l); err != nil {
			return code.Errorf(code.Internal, "result: %w", err)
		}
	}
	x.raw(http.StatusOK, kindJSONL, out.Bytes())
	return nil
}

// stillRunning answers 202 with the state of a batch.
func (g *Gate) stillRunning(x *exchange, id string) error {
	j, err := g.deps.Batches.Get(x.request.Context(), x.caller.Name, id)
	if err != nil {
		return err
	}
	return x.json(http.StatusAccepted, viewOf(j))
}

func (g *Gate) cancelBatch(x *exchange) error {
	j, err := g.deps.Batches.Cancel(x.request.Context(), x.caller.Name, pat.Param(x.request, "id"))
	if err != nil {
		return err
	}
	return x.json(http.StatusOK, viewOf(j))
}
