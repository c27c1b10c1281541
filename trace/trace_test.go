package trace

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"citronbridge/golden"
)

// TestHistory compares the histories of a job, a worker and an unknown ID with golden files.
// The input has the log lines of several hosts, mixed with other text.
func TestHistory(t *testing.T) {
	f, err := os.Open("testdata/hosts.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	l, skipped, err := Read(f)
	if err != nil || skipped != 2 {
		t.Fatalf("%d lines skipped, want 2, error %v", skipped, err)
	}
	for id, file := range map[string]string{"5c0e7a21d94b36f8": "job", "i-7": "worker", "i-8": "none"} {
		h := HistoryOf(id, l)
		var b bytes.Buffer
		if err := h.Print(&b); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "testdata/"+file+".golden", b.String())
	}
}

// TestLongLine checks that a line longer than maxLine is skipped as a whole and that the next
// line is read.
func TestLongLine(t *testing.T) {
	// If the middle of the long line were dropped, the rest would decode as a line.
	good := `{"time":"2026-01-02T03:04:05.006Z","host":"h","message":"host starts"}`
	l, skipped, err := Read(strings.NewReader(good[:len(good)-2] + strings.Repeat("x", 2*maxLine) + `"}` + "\n" + good))
	if err != nil || skipped != 1 || len(l) != 1 || l[0].Text != "host starts" {
		t.Errorf("%d lines decoded, %d skipped, error %v, want only the last line decoded", len(l), skipped, err)
	}
}

// FuzzDecode checks that no line without a message is accepted.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`12.5 edge-1 {"time":"2026-01-02T03:04:05Z","host":"h","message":"m","run":1}`))
	f.Add([]byte(`{"time":7,"message":"m"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, ok := Decode(b); ok && l.Text == "" {
			t.Errorf("%q is decoded as %+v", b, l)
		}
	})
}
