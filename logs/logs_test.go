package logs

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
)

// TestBlockedOutputDropsLines fills a pipe that nobody reads: no write must block, and the
// dropped lines must be counted, and logged once the pipe is read.
func TestBlockedOutputDropsLines(t *testing.T) {
	r, p, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	w := NewWriter(p)
	line := []byte(strings.Repeat("x", 200) + "\n")
	const lines = 20_000
	for range lines {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if w.Dropped() == 0 {
		t.Fatal("no line was dropped: the pipe took all")
	}
	read := make(chan []byte)
	go func() {
		b, err := io.ReadAll(r)
		if err != nil {
			t.Error(err)
		}
		read <- b
	}()
	w.Close()
	p.Close()
	b := <-read
	got := int64(bytes.Count(b, line))
	if got+w.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped of %d", got, w.Dropped(), lines)
	}
	if !bytes.Contains(b, []byte("log lines were left out")) {
		t.Error("no line says that lines were dropped")
	}
}

// TestOrder checks that lines are written in order.
func TestOrder(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, s := range []string{"a\n", "b\n", "c\n"} {
		w.Write([]byte(s))
	}
	w.Close()
	if b.String() != "a\nb\nc\n" {
		t.Errorf("%q written, want the lines a, b and c", b.String())
	}
}
