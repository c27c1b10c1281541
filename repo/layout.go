package repo

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// partitionCount is over how many parts jobs are spread. A part takes one transaction
// after another, and may be away by itself.
const partitionCount = 16

// JobPartitions returns the parts that hold jobs.
func JobPartitions() []string {
	l := make([]string, 0, partitionCount)
	for i := range partitionCount {
		l = append(l, "j"+strconv.Itoa(i))
	}
	return l
}

// PartitionOf returns the part of a row: what belongs to a job is in a part by the
// job's ID, all else in the part without a name. No transaction needs two.
func PartitionOf(table, key string) string {
	switch table {
	case TableJobs, TableRecords, TableCancels:
		return "j" + strconv.FormatUint(xxhash.Sum64String(key)%partitionCount, 10)
	}
	return ""
}

// newRow returns a row to be put.
func newRow(table, key string, value []byte) Row {
	return Row{Table: table, Partition: PartitionOf(table, key), Key: key, Value: value}
}

// hasVersion returns the condition that a row has a version.
func hasVersion(table, key string, version int64) Condition {
	return Condition{table, PartitionOf(table, key), key, version}
}
