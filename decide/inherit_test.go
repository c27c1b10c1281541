package decide

import (
	"testing"
	"time"

	"citronbridge/fakes/rows"
	"citronbridge/repo"
	"citronbridge/watch"
)

// TestInheritTime guards against a wait for leases that have surely ended, as their decider has
// been silent for long, and against one that is too short.
func TestInheritTime(t *testing.T) {
	const lease = 10 * time.Second
	for _, c := range []struct {
		name string
		// silent is how long ago the first decider's last heartbeat was when the second one took
		// over, which stopped or not after served. want is how long the third decider waits.
		silent, served time.Duration
		stopped        bool
		want           time.Duration
	}{
		{"all at once", 0, 0, true, lease + maxHeartbeatAge},
		{"the first decider's orders end later", 1300 * time.Millisecond, time.Second, true, lease + maxHeartbeatAge - 2300*time.Millisecond},
		{"the second decider's end later", 1300 * time.Millisecond, 5 * time.Second, true, lease},
		{"both silent", 1300 * time.Millisecond, 5 * time.Second, false, lease + maxHeartbeatAge - 2*time.Second},
		{"both silent for long", time.Minute, 5 * time.Second, false, lease + maxHeartbeatAge - 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Minute
			k := watch.NewClock(func() time.Duration { return now })
			observe := func() {
				if _, err := watch.Observe(clockStore{rows.New(), &now}, k, nil).List(t.Context(), "t", "", "", 1); err != nil {
					t.Fatal(err)
				}
			}
			observe()
			second := repo.Owner{Epoch: 2, FormerOrdersUntil: Predecessor{Owner: repo.Owner{Epoch: 1}, HeartbeatAge: c.silent, HeartbeatKnown: true}.OrdersUntil(k)}
			if wait, least := inheritTime(formerOrdersEndIn(second, k), lease), max(lease+maxHeartbeatAge-c.silent, minInheritTime); wait < least || wait > least+2*clockSlack {
				t.Errorf("the second decider waits %v, want %v", wait, least)
			}
			now += c.served
			observe()
			third := repo.Owner{Epoch: 3, FormerOrdersUntil: Predecessor{Owner: second, Stopped: c.stopped, HeartbeatAge: 2 * time.Second, HeartbeatKnown: true}.OrdersUntil(k)}
			if wait := inheritTime(formerOrdersEndIn(third, k), lease); wait < c.want || wait > c.want+2*clockSlack {
				t.Errorf("the third decider waits %v, want %v", wait, c.want)
			}
		})
	}
}
