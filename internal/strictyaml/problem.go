// Package strictyaml decodes YAML written by people into typed values and reports
// all mistakes at once, each with its file, line, column and field.
//
// It accepts less than YAML does: unknown and repeated keys, empty values,
// several documents, tags, anchors, aliases and merge keys are mistakes, and a
// value must have the type of its field, without conversion.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake in a file or a value.
type Problem struct {
	// File is empty for a value that was not read from a file.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; zero means that the position is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the field, such as "services[0].route"; empty for
	// the whole document.
	Field string `json:"field,omitempty"`
	// Message describes what was expected.
	Message string `json:"message"`
}

// String returns "file:line:column: field: message", without the unknown parts.
func (p Problem) String() string {
	var text strings.Builder
	if p.File != "" {
		text.WriteString(p.File + ":")
	}
	if p.Line != 0 {
		fmt.Fprintf(&text, "%d:%d:", p.Line, p.Column)
	}
	if text.Len() > 0 {
		text.WriteString(" ")
	}
	if p.Field != "" {
		text.WriteString(p.Field + ": ")
	}
	text.WriteString(p.Message)
	return text.String()
}

// Format returns the problems as text, one per line.
func Format(problems []Problem) string {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// sortProblems sorts problems by their position in the file.
func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Message, b.Message),
		)
	})
}
