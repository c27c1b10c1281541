// Package table is a client of the platform's transactional table service.
package table

import (
	"encoding/json"
	"fmt"

	"citronbridge/fault"
)

// Limits of one call to the service.
const (
	// MaxWrites is the most writes that a Batcher combines into one transaction.
	MaxWrites = 100
	// MaxKeys is the most keys of a Get.
	MaxKeys = 100
	// MaxPage is the most rows of a Scan.
	MaxPage = 1000
)

// Row is a row as the service stores it.
type Row struct {
	Key   string
	Value json.RawMessage `json:",omitempty"`
	// Version increases by one with each write of the row. The first version is 1.
	Version int64
	// Writer is the Writer of the transaction that wrote this version.
	Writer string
}

// Condition requires that a row has the given version. Version 0 requires that there is no such
// row.
type Condition struct {
	Key     string
	Version int64
}

// Write sets the value of a row, or deletes the row.
type Write struct {
	Key    string
	Value  json.RawMessage `json:",omitempty"`
	Delete bool            `json:",omitempty"`
}

// Transaction is a list of writes that is applied atomically if all conditions hold, and otherwise
// not at all.
type Transaction struct {
	// Writer identifies the transaction. If the answer is lost, the Writer of the rows tells
	// whether it was applied.
	Writer     string
	Conditions []Condition
	Writes     []Write
}

// Check returns the invalid fields of a decoded transaction.
func (t *Transaction) Check() fault.List {
	var l fault.List
	l.Check(t.Writer != "", "Writer", t.Writer, "an attempt's name")
	l.CheckRange("Writes", int64(len(t.Writes)), 1, 2*MaxWrites)
	for i, w := range t.Writes {
		l.Check(w.Key != "", fmt.Sprintf("Writes[%d].Key", i), w.Key, "a key")
	}
	return l
}

// Result is the service's answer to a transaction.
type Result struct {
	// Conflicts holds the keys whose conditions don't hold. If there are any, nothing was
	// written.
	Conflicts []string `json:",omitempty"`
	// Versions holds the new versions of the written rows, in the order of the writes.
	Versions []int64 `json:",omitempty"`
}

// Page is one page of the result of a scan.
type Page struct {
	Rows []Row
	// More is true if there are more rows after the last one of the page.
	More bool
}

// Put returns a write that sets the row with the given key to v in JSON.
func Put(key string, v any) (Write, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Write{}, fmt.Errorf("encode row %s: %w", key, err)
	}
	return Write{Key: key, Value: b}, nil
}

// Remove returns a write that deletes the row with the given key.
func Remove(key string) Write { return Write{Key: key, Delete: true} }
