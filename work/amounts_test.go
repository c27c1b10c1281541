package work

import "testing"

func TestFits(t *testing.T) {
	for _, x := range []struct {
		name string
		a, b Amounts
		want bool
	}{
		{"fits", Amounts{1000, 100, 1}, Amounts{1000, 100, 1}, true},
		{"too much processor", Amounts{1001, 100, 1}, Amounts{1000, 100, 1}, false},
		{"too much memory", Amounts{1000, 101, 1}, Amounts{1000, 100, 1}, false},
		{"too many accelerators", Amounts{1000, 100, 2}, Amounts{1000, 100, 1}, false},
		{"processor that isn't asked for is over-committed", Amounts{0, 100, 0}, Amounts{-500, 100, 0}, true},
		{"asked for and over-committed", Amounts{1, 0, 0}, Amounts{-500, 100, 4}, false},
	} {
		if got := x.a.Fits(x.b); got != x.want {
			t.Errorf("%s: Fits returned %v", x.name, got)
		}
	}
}
