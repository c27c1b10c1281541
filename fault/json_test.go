package fault

import (
	"strings"
	"testing"
)

// TestElementLimit guards against inputs whose elements take many times their bytes when decoded.
// Commas in strings and between the fields of an object don't count.
func TestElementLimit(t *testing.T) {
	array := func(n int, element string) string { return "[" + strings.Repeat(element+",", n-1) + element + "]" }
	for _, x := range []struct {
		name, body     string
		total, longest int
		refused        bool
	}{
		{"scalar", `1`, 0, 0, false},
		{"object", `[{"A":1,"B":2},{"A":1}]`, 2, 2, false},
		{"strings", `["a,b","\",[","c"]`, 3, 3, false},
		{"nested", `[[1,2,3],[3]]`, 6, 3, false},
		{"unbalanced", `]}],`, 0, 0, true},
		{"too deep", strings.Repeat("[", 1<<20), maxDepth + 1, 1, true},
		{"longest", array(maxLength, "{}"), maxLength, maxLength, false},
		{"too long", array(maxLength+1, "{}"), maxLength + 1, maxLength + 1, true},
		{"most", array(68, array(1000, "1")), 68_068, 1000, false},
		{"too many", array(70, array(1000, "1")), 70_070, 1000, true},
	} {
		if n, l := countElements([]byte(x.body)); n != x.total || l != x.longest {
			t.Errorf("%s: %d elements, longest %d; want %d and %d", x.name, n, l, x.total, x.longest)
		}
		var v any
		if err := UnmarshalJSON([]byte(x.body), &v); (err != nil) != x.refused {
			t.Errorf("%s: error %v", x.name, err)
		}
	}
}
