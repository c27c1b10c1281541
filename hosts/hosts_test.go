package hosts

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/fakes/rows"
)

// TestAnnounceListWithdraw checks, for few and for many hosts, that each host gets some of
// the others and an estimate of their number within a factor of two.
func TestAnnounceListWithdraw(t *testing.T) {
	s := rows.New()
	for n := 1; n <= 400; n++ {
		if err := Announce(t.Context(), s, Row{Name: fmt.Sprint("host-", n), Address: "127.0.0.1:1", Announced: time.Now().UnixMilli()}); err != nil {
			t.Fatal(err)
		}
		if n != 3 && n != 24 && n != 400 {
			continue
		}
		for _, host := range []string{"host-1", "host-2", "host-3"} {
			p, err := List(t.Context(), s, host, 24)
			if err != nil || len(p.Rows) != min(n, 24) {
				t.Fatalf("%d of %d hosts are listed, %v", len(p.Rows), n, err)
			}
			seen := map[string]bool{}
			for _, r := range p.Rows {
				seen[r.Name] = true
			}
			if len(seen) != len(p.Rows) || !seen[host] {
				t.Errorf("%s gets %d different hosts of %d, or not itself", host, len(seen), n)
			}
			if p.Total < n/2 || p.Total > 2*n {
				t.Errorf("%d hosts are estimated as %d", n, p.Total)
			}
		}
	}
	if err := Withdraw(t.Context(), s, "host-2"); err != nil {
		t.Fatal(err)
	}
	if p, err := List(t.Context(), s, "host-2", 500); err != nil || len(p.Rows) != 399 {
		t.Errorf("%d hosts are listed after one was withdrawn, %v", len(p.Rows), err)
	}
}
