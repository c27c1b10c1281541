package node

import "testing"

// TestLimits guards against defaults that an ordinary client reaches, and against limits that
// together use more than half of the descriptors.
func TestLimits(t *testing.T) {
	const mib = 1 << 20
	for _, c := range []struct {
		name        string
		memory      int64
		descriptors int
		body        int64
		want        overloadLimits
	}{
		{"smallest deployed", 144 * mib, 3075, 256 << 10, overloadLimits{18 * mib, 9 * mib, 768, 64, 128}},
		{"largest deployed", 2048 * mib, 30_000, 256 << 10, overloadLimits{256 * mib, 128 * mib, 7500, 64, 128}},
		{"little memory", 16 * mib, 1024, 1 * mib, overloadLimits{4 * mib, 2 * mib, 85, 64, 64}},
		{"few descriptors", 512 * mib, 64, 256 << 10, overloadLimits{64 * mib, 32 * mib, 16, 4, 4}},
		{"no memory named", 0, 4096, 256 << 10, overloadLimits{64 * mib, 32 * mib, 1024, 64, 128}},
	} {
		l := limitsFor(c.memory, c.descriptors, c.body)
		if l != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, l, c.want)
		}
		if n := l.clientConns + l.platformConns + l.hostConns; n > c.descriptors/2 {
			t.Errorf("%s: %d connections of %d descriptors", c.name, n, c.descriptors)
		}
	}
	if l := limitsFor(0, 0, 256<<10); l.clientConns < 16 || l.clientConns > 1024 {
		t.Errorf("no settings: %+v", l)
	}
}
