// Package itest holds the tests with real processes behind a fault-injecting
// proxy. It has no code of its own.
package itest
