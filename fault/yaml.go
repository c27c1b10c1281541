package fault

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Checker is a type that finds its own faults.
type Checker interface {
	// Check returns every fault of the value.
	Check() List
}

// DecodeYAML reads one YAML document into v and checks it. Unknown fields are
// faults. The returned error is a List that names file and line.
func DecodeYAML(file string, data []byte, v Checker) error {
	var n yaml.Node
	if err := yaml.Unmarshal(data, &n); err != nil {
		return List{{File: file, Line: lineOf(err.Error()), Field: "document", Value: err.Error(), Allowed: "well-formed YAML"}}
	}
	lines := map[string]place{}
	if len(n.Content) > 0 {
		index(n.Content[0], "", lines)
	}
	var l List
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	err := d.Decode(v)
	var te *yaml.TypeError
	switch {
	case errors.Is(err, io.EOF):
		return List{{File: file, Line: 1, Field: "document", Value: "", Allowed: "one YAML document"}}
	case errors.As(err, &te):
		for _, s := range te.Errors {
			l = append(l, typeFault(s, lines))
		}
	case err != nil:
		l = append(l, Fault{Line: lineOf(err.Error()), Field: "document", Value: err.Error(), Allowed: "values of the documented types"})
	}
	for _, f := range v.Check() {
		f.Line = nearestLine(f.Field, lines)
		if !hasField(l, f.Field) {
			l = append(l, f)
		}
	}
	for i := range l {
		l[i].File = file
	}
	return l.Err()
}

// place is where a field stands in a file, and its value if that is a scalar.
type place struct {
	line  int
	value string
}

// index records the place of each path below n.
func index(n *yaml.Node, path string, lines map[string]place) {
	if path != "" {
		lines[path] = place{n.Line, n.Value}
	}
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			k := n.Content[i]
			p := k.Value
			if path != "" {
				p = path + "." + p
			}
			index(n.Content[i+1], p, lines)
			lines[p] = place{k.Line, n.Content[i+1].Value}
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			index(c, fmt.Sprintf("%s[%d]", path, i), lines)
		}
	}
}

// nearestLine returns the line of path, or of its closest parent in the file.
func nearestLine(path string, lines map[string]place) int {
	for path != "" {
		if p, ok := lines[path]; ok {
			return p.line
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return 1
		}
		path = path[:i]
	}
	return 1
}

// hasField reports whether a fault of the field is known already. A value of a
// wrong type decodes to zero, whose own fault would only repeat the first.
func hasField(l List, field string) bool {
	return slices.ContainsFunc(l, func(f Fault) bool { return f.Field == field })
}

var (
	linePattern    = regexp.MustCompile(`line (\d+)`)
	unknownPattern = regexp.MustCompile(`field (\S+) not found`)
	valuePattern   = regexp.MustCompile("cannot unmarshal \\S+ `([^`]*)` into (.+)")
)

// lineOf finds the line number in an error text of the YAML library.
func lineOf(s string) int {
	m := linePattern.FindStringSubmatch(s)
	if m == nil {
		return 1
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return 1
	}
	return n
}

// typeFault turns one error text of the YAML library into a Fault.
func typeFault(s string, lines map[string]place) Fault {
	f := Fault{Line: lineOf(s), Value: s, Allowed: "a value of the documented type"}
	match := func(string, place) bool { return true }
	if m := unknownPattern.FindStringSubmatch(s); m != nil {
		f.Value, f.Allowed = m[1], "a known field name"
		match = func(path string, _ place) bool { return path == m[1] || strings.HasSuffix(path, "."+m[1]) }
	}
	if m := valuePattern.FindStringSubmatch(s); m != nil {
		f.Value, f.Allowed = m[1], "a value of type "+m[2]
		match = func(_ string, p place) bool { return p.value == m[1] }
	}
	for path, p := range lines {
		if p.line == f.Line && match(path, p) && (len(path) > len(f.Field) || len(path) == len(f.Field) && path < f.Field) {
			f.Field = path
		}
	}
	return f
}
