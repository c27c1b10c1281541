package repo

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// partitionCount is the number of partitions that jobs are spread over. A partition
// carries out one transaction at a time, and can be unavailable while others work.
const partitionCount = 16

// JobPartitions returns the names of the partitions that hold jobs.
func JobPartitions() []string {
	l := make([]string, 0, partitionCount)
	for i := range partitionCount {
		l = append(l, "j"+strconv.Itoa(i))
	}
	return l
}

// PartitionOf returns the partition of a row. All rows of a job are in the partition that
// a hash of its ID selects, all other rows in the unnamed partition, so that no
// transaction spans two partitions. It doesn't apply to TableFences, as each job partition
// has fence rows of its own (see Owners.Fence), nor to hosts.Table.
func PartitionOf(table, key string) string {
	switch table {
	case TableJobs, TableRecords, TableCancels:
		return "j" + strconv.FormatUint(xxhash.Sum64String(key)%partitionCount, 10)
	}
	return ""
}

// newRow returns a row to be written, in its partition.
func newRow(table, key string, value []byte) Row {
	return Row{Table: table, Partition: PartitionOf(table, key), Key: key, Value: value}
}

// hasVersion returns the condition that a row has the given version, 0 for a row that
// must not exist.
func hasVersion(table, key string, version int64) Condition {
	return Condition{table, PartitionOf(table, key), key, version}
}
