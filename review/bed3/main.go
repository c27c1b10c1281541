// Command bed3 plays the cases 11 to 15 of the review: hosts as processes, and in this one
// stand-ins of the platform, the workers, the clients and the operator. It exits with 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// cases play a case, with its disruption or without. They return how the rule was broken, or "".
var cases = map[string]func(b *bed, trouble bool) (string, error){
	"ack":    staleAck,
	"wave":   newMachines,
	"born":   earlierBirth,
	"runs":   repeatedRun,
	"memory": manyTasks,
	"wide":   wideFailure,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed3 CASE FOLDER")
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	program, err := filepath.Abs("target/citronbridge")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b, err := newBed(program, dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	type outcome struct {
		broken string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(limit):
		o.err = fmt.Errorf("the case took more than %v", limit)
	}
	switch {
	case o.err != nil:
		b.log("the case couldn't run: %v", o.err)
		fmt.Fprintln(os.Stderr, o.err)
		return 2
	case o.broken != "":
		b.log("BROKEN: %s", o.broken)
		fmt.Println("broken:", o.broken)
		return 1
	}
	b.log("the rule held")
	fmt.Println("the rule held")
	return 0
}
