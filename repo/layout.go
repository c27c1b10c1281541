package repo

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// parts is over how many parts jobs are spread. A part takes one transaction
// after another, and may be away by itself.
const parts = 16

// JobParts returns the parts that hold jobs.
func JobParts() []string {
	l := make([]string, 0, parts)
	for i := range parts {
		l = append(l, "j"+strconv.Itoa(i))
	}
	return l
}

// PartOf returns the part of a row: what belongs to a job is in a part by the
// job's ID, all else in the part without a name. No transaction needs two.
func PartOf(table, key string) string {
	switch table {
	case TableJobs, TableRecords, TableCancels:
		return "j" + strconv.FormatUint(xxhash.Sum64String(key)%parts, 10)
	}
	return ""
}

// newRow returns a row to be put.
func newRow(table, key string, value []byte) Row {
	return Row{Table: table, Part: PartOf(table, key), Key: key, Value: value}
}

// at returns the condition that a row has a version.
func at(table, key string, version int64) Condition {
	return Condition{table, PartOf(table, key), key, version}
}
