// Program bed2 shows the cases of this review that are scripts. It starts hosts as the deploy file
// does, and plays the platform, the workers, the clients and the network itself.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// cases are by name. A case returns whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (bool, error){
	"chain":   chain,
	"slow":    slow,
	"both":    both,
	"lost":    lost,
	"retired": retired,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/citronbridge", "the program under test")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	keep := flag.String("logs", "", "folder to which the hosts' logs are copied")
	flag.Parse()
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return cantRun
	}
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer os.RemoveAll(dir)
	b, err := newBed(*program, dir, io.MultiWriter(out))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer b.close()
	if *keep != "" {
		defer copyLogs(dir, *keep)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := f(b, *trouble)
		done <- result{broken, err}
	}()
	select {
	case <-stop:
		return cantRun
	case <-time.After(115 * time.Second):
		fmt.Fprintln(os.Stderr, "the case takes too long")
		return cantRun
	case r := <-done:
		switch {
		case r.err != nil:
			b.log("the case couldn't run: %v", r.err)
			fmt.Println("couldn't run:", r.err)
			return cantRun
		case r.broken:
			b.log("the rule was broken")
			fmt.Println("broken")
			return broken
		}
		b.log("the rule held")
		fmt.Println("held")
		return held
	}
}

func copyLogs(from, to string) {
	l, _ := filepath.Glob(filepath.Join(from, "*.log"))
	for _, f := range l {
		if b, err := os.ReadFile(f); err == nil {
			os.WriteFile(filepath.Join(to, filepath.Base(f)), b, 0o600)
		}
	}
}
