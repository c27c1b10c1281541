package timer_test

import (
	"fmt"
	"time"

	"citronbridge/timer"
)

// A component subscribes to a Manual, and a test advances its time.
func ExampleManual() {
	m := timer.NewManual(time.Unix(0, 0).UTC())
	s := m.Every(10*time.Second, func(t time.Time) { fmt.Println("every", t.Unix()) })
	m.After(15*time.Second, func(t time.Time) { fmt.Println("after", t.Unix()) })
	m.Advance(10 * time.Second)
	m.Advance(10 * time.Second)
	s.Cancel()
	m.Advance(10 * time.Second)
	// Output:
	// every 10
	// after 20
	// every 20
}
