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

// Checker is implemented by inputs that validate themselves.
type Checker interface {
	// Check returns all faults of the value.
	Check() List
}

// DecodeYAML decodes one YAML document into v and checks it. Unknown fields are
// faults. A returned error is a List whose faults name file and line.
func DecodeYAML(file string, data []byte, v Checker) error {
	var n yaml.Node
	if err := yaml.Unmarshal(data, &n); err != nil {
		return List{{File: file, Line: lineNumber(err.Error()), Field: "document", Value: err.Error(), Allowed: "well-formed YAML"}}
	}
	positions := map[string]position{}
	if len(n.Content) > 0 {
		indexPositions(n.Content[0], "", positions)
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
			l = append(l, faultFromTypeError(s, positions))
		}
	case err != nil:
		l = append(l, Fault{Line: lineNumber(err.Error()), Field: "document", Value: err.Error(), Allowed: "values of the documented types"})
	}
	for _, f := range v.Check() {
		f.Line = nearestLine(f.Field, positions)
		if !hasFaultFor(l, f.Field) {
			l = append(l, f)
		}
	}
	for i := range l {
		l[i].File = file
	}
	return l.Err()
}

// position is the line of a field in a file, and the field's value if it is a
// scalar.
type position struct {
	line  int
	value string
}

// indexPositions records the position of each path below n. The keys are paths
// such as Accounts[1].Name.
func indexPositions(n *yaml.Node, path string, positions map[string]position) {
	if path != "" {
		positions[path] = position{n.Line, n.Value}
	}
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			k := n.Content[i]
			p := k.Value
			if path != "" {
				p = path + "." + p
			}
			indexPositions(n.Content[i+1], p, positions)
			positions[p] = position{k.Line, n.Content[i+1].Value}
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			indexPositions(c, fmt.Sprintf("%s[%d]", path, i), positions)
		}
	}
}

// nearestLine returns the line of path, or that of its closest parent if the path
// isn't in the file, or 1 if no parent is.
func nearestLine(path string, positions map[string]position) int {
	for path != "" {
		if p, ok := positions[path]; ok {
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

// hasFaultFor reports whether l already has a fault of the field. A value of a wrong
// type isn't decoded, so Check may report the field's zero value as well, which
// would only repeat the first fault.
func hasFaultFor(l List, field string) bool {
	return slices.ContainsFunc(l, func(f Fault) bool { return f.Field == field })
}

// Patterns of the YAML library's error texts: the line, an unknown field, and a
// value of a wrong type with the type expected.
var (
	linePattern    = regexp.MustCompile(`line (\d+)`)
	unknownPattern = regexp.MustCompile(`field (\S+) not found`)
	valuePattern   = regexp.MustCompile("cannot unmarshal \\S+ `([^`]*)` into (.+)")
)

// lineNumber returns the line number in an error text of the YAML library, or 1 if
// there is none.
func lineNumber(s string) int {
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

// faultFromTypeError converts one error text of the YAML library into a Fault. The
// text names line and value but no path, so the field is the longest path on that
// line that matches, and the first in alphabetical order among equally long ones.
func faultFromTypeError(s string, positions map[string]position) Fault {
	f := Fault{Line: lineNumber(s), Value: s, Allowed: "a value of the documented type"}
	match := func(string, position) bool { return true }
	if m := unknownPattern.FindStringSubmatch(s); m != nil {
		f.Value, f.Allowed = m[1], "a known field name"
		match = func(path string, _ position) bool { return path == m[1] || strings.HasSuffix(path, "."+m[1]) }
	}
	if m := valuePattern.FindStringSubmatch(s); m != nil {
		f.Value, f.Allowed = m[1], "a value of type "+m[2]
		match = func(_ string, p position) bool { return p.value == m[1] }
	}
	for path, p := range positions {
		if p.line == f.Line && match(path, p) && (len(path) > len(f.Field) || len(path) == len(f.Field) && path < f.Field) {
			f.Field = path
		}
	}
	return f
}
