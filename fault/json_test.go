package fault

import (
	"strings"
	"testing"
)

// TestElementLimit guards against inputs whose elements take many times their bytes when decoded.
// Commas in strings and between the fields of an object don't count.
func TestElementLimit(t *testing.T) {
	for _, x := range []struct {
		name, body string
		elements   int
		refused    bool
	}{
		{"scalar", `1`, 0, false},
		{"object", `[{"A":1,"B":2},{"A":1}]`, 2, false},
		{"strings", `["a,b","\",[","c"]`, 3, false},
		{"nested", `[[1,2],[3]]`, 5, false},
		{"unbalanced", `]}],`, 0, true},
		{"as many as allowed", "[" + strings.Repeat("{},", maxElements-1) + "{}]", maxElements, false},
		{"one more", "[" + strings.Repeat("{},", maxElements) + "{}]", maxElements + 1, true},
	} {
		if n := countElements([]byte(x.body)); n != x.elements {
			t.Errorf("%s: %d elements, want %d", x.name, n, x.elements)
		}
		var v any
		if err := UnmarshalJSON([]byte(x.body), &v); (err != nil) != x.refused {
			t.Errorf("%s: error %v", x.name, err)
		}
	}
}
