package node

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"citronbridge/platform"
	"citronbridge/repo"
)

// TestEvacuationsFollowTheOperator checks that an evacuation is in force whatever its row's
// value is, and ends when its row is deleted or missing from a complete listing.
func TestEvacuationsFollowTheOperator(t *testing.T) {
	h, p := newHost(t)
	row := func(key, value string, deleted bool) repo.Row {
		return repo.Row{Table: platform.TableOperator, Key: key, Value: []byte(value), Deleted: deleted}
	}
	config := repo.Row{Table: platform.TableOperator, Key: platform.KeyConfig, Value: p.Configure(2)}
	for _, c := range []struct {
		name    string
		rows    []repo.Row
		listing bool
		want    []string
	}{
		{"request", []repo.Row{row("evacuate/b", "{}", false)}, false, []string{"b"}},
		{"requests that can't be decoded, beside the configuration", []repo.Row{config, row("evacuate/a", "\xff[", false), row("evacuate/ A/b ", "", false)}, false, []string{" A/b ", "a", "b"}},
		{"other keys", []repo.Row{row("evacuate/", "{}", false), row("evacuate", "{}", false), row("Evacuate/c", "{}", false), row("wave/evacuate/c", "{}", false)}, false, []string{" A/b ", "a", "b"}},
		{"request again", []repo.Row{row("evacuate/a", "{}", false)}, false, []string{" A/b ", "a", "b"}},
		{"withdrawals", []repo.Row{row("evacuate/a", "", true), row("evacuate/unknown", "", true)}, false, []string{" A/b ", "b"}},
		{"request and withdrawal at once", []repo.Row{row("evacuate/c", "{}", false), row("evacuate/c", "", true), row("evacuate/b", "", true), row("evacuate/b", "{}", false)}, false, []string{" A/b ", "b"}},
		{"listing without a former request", []repo.Row{config, row("evacuate/b", "{}", false), row("evacuate/d", "{}", false)}, true, []string{"b", "d"}},
		{"listing without any request", []repo.Row{config}, true, nil},
	} {
		if c.listing {
			h.handleOperatorListing(c.rows)
		} else {
			h.handleOperatorRows(c.rows)
		}
		if l := h.evacuations.sorted(); !slices.Equal(l, c.want) {
			t.Errorf("%s: %q evacuated, want %q", c.name, l, c.want)
		}
	}
}

// TestEvacuationsBeforeConfiguration guards against an election that the first configuration
// starts, and whose decider doesn't know the evacuations of the same batch.
func TestEvacuationsBeforeConfiguration(t *testing.T) {
	h, p := newHost(t)
	config := repo.Row{Table: platform.TableOperator, Key: platform.KeyConfig, Value: p.Configure(2)}
	var log bytes.Buffer
	h.log = zerolog.New(&log)
	h.handleOperatorRows([]repo.Row{config, {Table: platform.TableOperator, Key: "evacuate/a", Value: []byte("{}")}})
	requested, adopted := strings.Index(log.String(), "evacuation of a data centre requested"), strings.Index(log.String(), "configuration is in force")
	if requested < 0 || adopted < requested {
		t.Errorf("the evacuation isn't known before the configuration:\n%s", log.String())
	}
}
