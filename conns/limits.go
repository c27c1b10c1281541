package conns

import "time"

// Limits that suit a server of callers over HTTP.
const (
	// DefaultHeaderLines is for Config.MaxHeaderLines. Each line takes some 120 bytes besides its text.
	// It is the limit that Apache's server has by default.
	DefaultHeaderLines = 100
	// ResponseTimeout is for Config.WriteTimeout. A response that takes longer to read keeps its
	// memory from others.
	ResponseTimeout = 10 * time.Second
	// descriptorShare and memoryShare are the parts, as 1/n, of a process's descriptors and memory
	// for connections of callers. The rest of the descriptors is for its own calls.
	descriptorShare, memoryShare = 4, 4
	// connBytes is the memory of a connection: the buffers of net/http and TLS, a header of 16 KiB
	// and the goroutines.
	connBytes = 48 << 10
)

// LimitFor returns Config.Limit for a process with a number of descriptors and of bytes of memory.
func LimitFor(descriptors int, memory int64) int {
	return int(max(min(int64(descriptors/descriptorShare), memory/memoryShare/connBytes), 1))
}
