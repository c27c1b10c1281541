// Command standins plays the cases of the review: it is the platform, the workers and the
// clients around host processes of the system. Its exit status is 1 if the rule was broken,
// 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases returns the cases by name. Each reports whether its rule was broken.
func cases() map[string]func(*bed) (broken bool, err error) {
	return map[string]func(*bed) (bool, error){
		"avoid":   avoid,
		"cancel":  cancel,
		"ends":    ends,
		"growth":  growth,
		"memory":  memory,
		"move":    move,
		"pace":    pace,
		"rack":    rack,
		"reserve": reserve,
		"waiting": waiting,
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// maxTime is the longest time of a case.
const maxTime = 118 * time.Second

// play plays a case and returns the exit status.
func play(name, record string) int {
	f := cases()[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	b, err := newBed(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	// A case that is ended from outside, or takes too long, ends its processes too.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		b.logf("the case was ended before its time")
		b.killAll()
		os.Exit(2)
	}()
	broken, err := f(b)
	switch {
	case errors.Is(err, errCannotRun) || err != nil:
		b.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken:
		b.logf("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	b.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
