package docs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Head is a row that names an accepted document: the head itself, and one row
// for each change that led to it.
type Head struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Level is the feature level that the document needs, so that a daemon
	// which cannot decode the document knows why.
	Level int `json:"level"`
	// Change counts the accepted documents of the stage.
	Change     int64     `json:"change"`
	Submission string    `json:"submission"`
	Operator   string    `json:"operator"`
	At         time.Time `json:"at"`
}

// KeptChanges is the number of accepted documents, and of submission ids, that
// the table keeps.
const KeptChanges = 20_000

// The keys of rows and objects.
func headKey(scope string) string {
	return "documents/" + scope + "/head"
}

func changeKey(scope string, change int64) string {
	return fmt.Sprintf("documents/%s/change/%012d", scope, change)
}

func submissionKey(scope, id string) string {
	return "documents/" + scope + "/submission/" + id
}

func objectKey(digest string) string {
	return "documents/" + digest
}

// decodeHead reads a row.
func decodeHead(r store.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return Head{}, code.Errorf(code.StoreCorrupt, "row %s: %w", r.Key, err)
	}
	return h, nil
}

// encode returns the value of a row.
func (h Head) encode() ([]byte, error) {
	return json.Marshal(h)
}

// rows is a read of what a change depends on. Missing rows have version 0.
type rows struct {
	head        Head
	headVersion int64
	// found is the earlier acceptance of the same submission, if any.
	found *Head
	// source is the head that a promotion takes its document from.
	source        Head
	sourceVersion int64
}

// parseRows sorts the rows that were read.
func parseRows(read []store.Row, headAt, submissionAt, sourceAt string) (rows, error) {
	var r rows
	for _, row := range read {
		h, err := decodeHead(row)
		if err != nil {
			return rows{}, err
		}
		switch row.Key {
		case headAt:
			r.head, r.headVersion = h, row.Version
		case submissionAt:
			r.found = &h
		case sourceAt:
			r.source, r.sourceVersion = h, row.Version
		}
	}
	return r, nil
}
