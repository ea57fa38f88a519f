package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Limits of a document, so that a malicious one can't exhaust the reader's resources.
const (
	// MaxBytes is the maximum size of a document.
	MaxBytes = 4 << 20
	// MaxLineBytes is the maximum length of a line, which also limits the nesting within a line.
	MaxLineBytes = 4096
	// MaxDepth is the maximum nesting of brackets in a document.
	MaxDepth = 64
)

// Document holds the positions of the fields in a file, and the problems found.
type Document struct {
	file string
	// positions maps the paths of fields to their positions.
	positions map[string]position
	problems  []Problem
}

type position struct {
	line   int
	column int
}

// Read decodes data into the struct that target points to. It then calls check, which
// returns the problems of the decoded value, with fields but without positions. Read
// returns all problems, with their positions, in the order of the file. It omits problems
// that check returns for a field that could not be decoded.
func Read(file string, data []byte, target any, check func() []Problem) []Problem {
	document := &Document{file: file, positions: map[string]position{}}
	root := document.parse(data)
	if root == nil {
		return document.problems
	}
	document.decode(root, reflect.ValueOf(target).Elem(), "")
	decodeProblems := len(document.problems)
	for _, problem := range check() {
		if !document.isCovered(problem.Field, decodeProblems) {
			document.report(problem.Field, "%s", problem.Message)
		}
	}
	sortProblems(document.problems)
	return document.problems
}

// parse returns the root of the only document in data. If it can't, it reports a problem and
// returns nil.
func (d *Document) parse(data []byte) ast.Node {
	if message := exceededLimit(data); message != "" {
		d.report("", "%s", message)
		return nil
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.reportSyntax(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		d.report("", "expected exactly one YAML document")
		return nil
	}
	return file.Docs[0].Body
}

// exceededLimit describes the limit that the document exceeds; it is empty if there is none.
func exceededLimit(data []byte) string {
	if len(data) > MaxBytes {
		return fmt.Sprintf("expected at most %d bytes, found %d", MaxBytes, len(data))
	}
	for line := range bytes.Lines(data) {
		if len(line) > MaxLineBytes {
			return fmt.Sprintf("expected lines of at most %d bytes, found one of %d", MaxLineBytes, len(line))
		}
	}
	if maxNesting(data) > MaxDepth {
		return fmt.Sprintf("expected at most %d brackets inside one another", MaxDepth)
	}
	return ""
}

// maxNesting returns an upper bound for the nesting of flow collections.
func maxNesting(data []byte) int {
	depth := 0
	deepest := 0
	for _, character := range data {
		switch character {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		}
	}
	return deepest
}

func (d *Document) reportSyntax(err error) {
	problem := Problem{File: d.file, Message: "expected YAML: " + firstLine(err.Error())}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		problem.Message = "expected YAML: " + firstLine(syntax.GetMessage())
		if token := syntax.GetToken(); token != nil && token.Position != nil {
			problem.Line = token.Position.Line
			problem.Column = token.Position.Column
		}
	}
	d.problems = append(d.problems, problem)
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// report adds a problem at the field's position, or at that of the nearest enclosing
// field that the file contains.
func (d *Document) report(field, format string, arguments ...any) {
	at := d.positionOf(field)
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    at.line,
		Column:  at.column,
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}

func (d *Document) positionOf(field string) position {
	for {
		if at, found := d.positions[field]; found || field == "" {
			return at
		}
		field = parentPath(field)
	}
}

// parentPath returns the path without its last name or index.
func parentPath(field string) string {
	return field[:max(0, strings.LastIndexAny(field, ".["))]
}

// isCovered reports whether one of the first count problems is at the field, at a field inside it,
// or at one that encloses it.
func (d *Document) isCovered(field string, count int) bool {
	for _, problem := range d.problems[:count] {
		if within(field, problem.Field) || within(problem.Field, field) {
			return true
		}
	}
	return false
}

// within reports whether inner is outer or a part of it. No other path is part of the root, whose
// path is empty.
func within(inner, outer string) bool {
	if inner == outer {
		return true
	}
	rest, found := strings.CutPrefix(inner, outer)
	return found && outer != "" && (rest[0] == '.' || rest[0] == '[')
}
