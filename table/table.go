// Package table speaks with the platform's transactional table service.
package table

import (
	"encoding/json"
	"fmt"

	"citronbridge/fault"
)

// Limits of one call.
const (
	MaxWrites = 100
	MaxKeys   = 100
	MaxPage   = 1000
)

// Row is one row as the service holds it.
type Row struct {
	Key   string
	Value json.RawMessage `json:",omitempty"`
	// Version grows by one with each write of the row.
	Version int64
	// Writer is the attempt that wrote this version.
	Writer string
}

// Condition demands that a row has a version. Version 0 demands that there is
// no such row.
type Condition struct {
	Key     string
	Version int64
}

// Write sets a row or deletes it.
type Write struct {
	Key    string
	Value  json.RawMessage `json:",omitempty"`
	Delete bool            `json:",omitempty"`
}

// Transaction is applied whole if every condition holds, and else not at all.
type Transaction struct {
	// Writer identifies the attempt, so that a lost answer can be settled.
	Writer     string
	Conditions []Condition
	Writes     []Write
}

// Check returns the faults of a decoded transaction.
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
	// Conflicts are the keys whose condition didn't hold. Nothing was written
	// if there are any.
	Conflicts []string `json:",omitempty"`
	// Versions are those of the written rows, in the order of the writes.
	Versions []int64 `json:",omitempty"`
}

// Page is a part of a scan.
type Page struct {
	Rows []Row
	// More tells that rows follow behind the last one.
	More bool
}

// Put returns a write of v under key.
func Put(key string, v any) (Write, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Write{}, fmt.Errorf("encode row %s: %w", key, err)
	}
	return Write{Key: key, Value: b}, nil
}

// Remove returns a write that deletes key.
func Remove(key string) Write { return Write{Key: key, Delete: true} }
