package gate

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"

	"goji.io/pat"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// batchView is a batch in the JSON responses to callers.
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

// requestCounts holds the number of requests of a batch, and how many of them
// failed.
type requestCounts struct {
	Total  int `json:"total"`
	Failed int `json:"failed"`
}

// batchList is the JSON response with one page of a caller's batches. HasMore reports
// whether further pages follow.
type batchList struct {
	Object  string      `json:"object"`
	Data    []batchView `json:"data"`
	HasMore bool        `json:"has_more"`
}

// newBatchView returns the JSON representation of j.
func newBatchView(j batch.Job) batchView {
	v := batchView{
		ID:        j.ID,
		Object:    "batch",
		Status:    j.State,
		Priority:  j.Priority,
		CreatedAt: j.SubmittedAt.Unix(),
		ExpiresAt: j.Deadline.Unix(),
		Counts:    requestCounts{Total: j.Requests, Failed: j.FailedItems},
		Error:     j.Error,
	}
	if !j.EndedAt.IsZero() {
		v.EndedAt = j.EndedAt.Unix()
	}
	if j.State == batch.StateDone {
		v.ResultsPath = "/v1/batches/" + j.ID + "/result"
	}
	return v
}

// submitBatch accepts a batch as a JSON object or as JSON lines, and responds
// with status 202 once the batch is durable.
func (g *Gate) submitBatch(x *exchange) error {
	mediaType, err := x.contentType()
	if err != nil {
		return err
	}
	body, err := x.readBody(g.config.MaxBatchBytes, batchFactor)
	if err != nil {
		return err
	}
	s := batch.Submission{
		Caller: x.caller,
		Key:    x.request.Header.Get(headerKey),
	}
	if err := x.holdBatch(body); err != nil {
		return err
	}
	switch mediaType {
	case contentTypeJSON:
		s.Priority, s.Items, err = decodeBatch(body)
	case contentTypeJSONL, contentTypeNDJSON:
		s.Items, err = decodeJSONLines(body)
	default:
		err = code.Errorf(code.BadContentType, "content type %q is not %s or %s", mediaType, contentTypeJSON, contentTypeJSONL)
	}
	if err != nil {
		return err
	}
	if p := x.request.Header.Get(headerPriority); p != "" {
		s.Priority = p
	}
	j, err := g.deps.Batches.Submit(x.request.Context(), s)
	if err != nil {
		return err
	}
	return x.writeJSON(http.StatusAccepted, newBatchView(j))
}

// batchFactor is what a byte of a batch takes at most: the body, the decoded requests, and the buffer and the result of
// their encoding for the store.
const batchFactor = 4

// holdBatch charges what a batch takes beyond batchFactor because of characters that are escaped.
func (x *exchange) holdBatch(body []byte) error {
	const chunk = 4 << 10
	n := 2 * int64(len(body))
	for part := range slices.Chunk(body, chunk) {
		n += engine.EncodeBytes(string(part))
	}
	return x.hold(max(n, x.held))
}

// decodeBatch decodes a batch that is a JSON object.
func decodeBatch(body []byte) (priority string, items []batch.Item, err error) {
	priority, requests, err := wire.SplitBatch(body, batch.MaxItems)
	if err != nil {
		return "", nil, err
	}
	items, err = decodeItems(requests)
	return priority, items, err
}

// decodeJSONLines decodes a batch of one item per line.
func decodeJSONLines(body []byte) ([]batch.Item, error) {
	requests, err := wire.SplitLines(body, batch.MaxItems)
	if err != nil {
		return nil, err
	}
	return decodeItems(requests)
}

// decodeItems decodes the requests of a batch.
func decodeItems(requests [][]byte) ([]batch.Item, error) {
	items := make([]batch.Item, len(requests))
	for i, r := range requests {
		if err := json.Unmarshal(r, &items[i]); err != nil {
			return nil, code.Errorf(code.MalformedBody, "requests[%d]: %w", i, err)
		}
	}
	return items, nil
}

// listBatches returns one page of the caller's batches, at most 100 in the order
// of their IDs. The page starts after the batch ID in the query parameter after.
func (g *Gate) listBatches(x *exchange) error {
	after := x.request.URL.Query().Get("after")
	jobs, more, err := g.deps.Batches.List(x.request.Context(), x.caller.Name, after)
	if err != nil {
		return err
	}
	list := batchList{Object: "list", Data: []batchView{}, HasMore: more}
	for _, j := range jobs {
		list.Data = append(list.Data, newBatchView(j))
	}
	return x.writeJSON(http.StatusOK, list)
}

// getBatch returns the state of one batch of the caller.
func (g *Gate) getBatch(x *exchange) error {
	j, err := g.deps.Batches.Get(x.request.Context(), x.caller.Name, pat.Param(x.request, "id"))
	if err != nil {
		return err
	}
	return x.writeJSON(http.StatusOK, newBatchView(j))
}

// getBatchResult returns the result of a batch as JSON lines, or the state of
// the batch with status 202 while there is no result.
func (g *Gate) getBatchResult(x *exchange) error {
	id := pat.Param(x.request, "id")
	lines, err := g.deps.Batches.Result(x.request.Context(), x.caller.Name, id)
	if err != nil {
		return err
	}
	if lines == nil {
		x.writer.Header().Set("Retry-After", "10")
		return g.writePendingBatch(x, id)
	}
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	for _, l := range lines {
		if err := e.Encode(l); err != nil {
			return code.Errorf(code.Internal, "result: %w", err)
		}
	}
	x.writeBody(http.StatusOK, contentTypeJSONL, out.Bytes())
	return nil
}

// writePendingBatch responds with status 202 and the state of a batch.
func (g *Gate) writePendingBatch(x *exchange, id string) error {
	j, err := g.deps.Batches.Get(x.request.Context(), x.caller.Name, id)
	if err != nil {
		return err
	}
	return x.writeJSON(http.StatusAccepted, newBatchView(j))
}

// cancelBatch cancels a batch of the caller and returns its state.
func (g *Gate) cancelBatch(x *exchange) error {
	j, err := g.deps.Batches.Cancel(x.request.Context(), x.caller.Name, pat.Param(x.request, "id"))
	if err != nil {
		return err
	}
	return x.writeJSON(http.StatusOK, newBatchView(j))
}
