// Package flood has tests that send more to a real host process than it can hold at once: bodies,
// headers, handshakes and messages that don't end, and responses that nobody reads. Each checks
// that the process keeps running within the memory and the descriptors of its settings, and that
// it answers an ordinary request afterwards.
//
// The tests need the build tag flood: go test -count=1 -tags flood -p 1 ./flood. They aren't run
// under the race detector, whose memory use is several times larger.
package flood
