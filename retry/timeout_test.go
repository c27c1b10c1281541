package retry

import (
	"testing"
	"time"
)

// TestTimeout checks the timeout for a service that is at first unresponsive, then slow, and
// then fast.
func TestTimeout(t *testing.T) {
	var x Timeout
	if x.Next() != minTimeout {
		t.Error("the first timeout is", x.Next())
	}
	for range 5 {
		x.RecordExpiry()
	}
	if x.Next() != maxTimeout {
		t.Error("after calls without an answer it is", x.Next())
	}
	x.RecordAnswer(300 * time.Millisecond)
	if x.Next() < timeoutFactor*200*time.Millisecond {
		t.Error("after a slow answer it is", x.Next())
	}
	for range 40 {
		x.RecordAnswer(4 * time.Millisecond)
	}
	if x.Next() != minTimeout {
		t.Error("after fast answers it is", x.Next())
	}
}
