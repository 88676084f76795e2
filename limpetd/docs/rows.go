package docs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Head is the value of a row that describes an accepted document. The head row
// holds the latest one. A submission row and a change row hold each document's
// Head under its submission id and its change number.
type Head struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Level is the feature level that the document needs, so that a daemon
	// that cannot decode the document can report the reason.
	Level int `json:"level"`
	// Change is the number of documents accepted in the stage so far.
	Change int64 `json:"change"`
	// Submission is the id of the submission or promotion.
	Submission string    `json:"submission"`
	Operator   string    `json:"operator"`
	At         time.Time `json:"at"`
}

// MaxKeptChanges is the number of accepted documents whose change and submission rows
// the table keeps.
const MaxKeptChanges = 20_000

// headKey returns the key of the head row of a scope.
func headKey(scope string) string {
	return "documents/" + scope + "/head"
}

// changeKey returns the key of the row of a change number.
func changeKey(scope string, change int64) string {
	return fmt.Sprintf("documents/%s/change/%012d", scope, change)
}

// submissionKey returns the key of the row of a submission id.
func submissionKey(scope, id string) string {
	return "documents/" + scope + "/submission/" + id
}

// objectKey returns the key of a body in the object store.
func objectKey(digest string) string {
	return "documents/" + digest
}

// decodeHead decodes the value of a row. The error has code StoreCorrupt.
func decodeHead(r store.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return Head{}, code.Errorf(code.StoreCorrupt, "decode row %s: %w", r.Key, err)
	}
	return h, nil
}

// encode returns h as the value of a row.
func (h Head) encode() ([]byte, error) {
	return json.Marshal(h)
}

// snapshot holds the rows that the acceptance of a candidate depends on, as they
// were read. A missing row has version 0.
type snapshot struct {
	head        Head
	headVersion int64
	// earlier is the Head with which the same submission id was accepted
	// before, or nil.
	earlier *Head
	// source is the head of the stage that a document is promoted from.
	source        Head
	sourceVersion int64
}

// parseSnapshot decodes the rows and assigns them by key. sourceRowKey is empty
// unless a document is promoted.
func parseSnapshot(rows []store.Row, headRowKey, submissionRowKey, sourceRowKey string) (snapshot, error) {
	var s snapshot
	for _, row := range rows {
		h, err := decodeHead(row)
		if err != nil {
			return snapshot{}, err
		}
		switch row.Key {
		case headRowKey:
			s.head, s.headVersion = h, row.Version
		case submissionRowKey:
			s.earlier = &h
		case sourceRowKey:
			s.source, s.sourceVersion = h, row.Version
		}
	}
	return s, nil
}
