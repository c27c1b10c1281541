package peers

import (
	"errors"
	"testing"

	"citronbridge/wire"
)

// TestCallLimit guards against calls that exceed the streams which the other host accepts, as it
// would close the connection, and against long polls that leave no room for other calls.
func TestCallLimit(t *testing.T) {
	poll := &wire.Request{Body: &wire.Request_Wait{Wait: &wire.WaitRequest{WaitMilliseconds: 1000}}}
	status := &wire.Request{Body: &wire.Request_Wait{Wait: &wire.WaitRequest{}}}
	o := newOutbound(nil, nil)
	var last func()
	for i := range maxCalls {
		q := status
		if i < maxLongPolls {
			q = poll
		}
		release, err := o.acquire(t.Context(), q)
		if err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		if i == maxLongPolls {
			if _, err := o.acquire(t.Context(), poll); !errors.Is(err, errBusy) {
				t.Errorf("one more long poll: error %v", err)
			}
		}
		last = release
	}
	if _, err := o.acquire(t.Context(), status); !errors.Is(err, errBusy) {
		t.Errorf("one more call: error %v", err)
	}
	last()
	if _, err := o.acquire(t.Context(), status); err != nil {
		t.Errorf("call after another has ended: %v", err)
	}
}
