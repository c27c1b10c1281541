// Package itest holds integration tests that run hosts and fake targets as real
// processes and route the hosts' connections through fault-injecting proxies. It
// contains no production code.
package itest
