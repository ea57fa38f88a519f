package strictyaml

import (
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// collectFields maps the names in the file to the fields of a struct; inlined
// structs add their fields to those of the struct around them.
func collectFields(target reflect.Value, fields map[string]reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name, inline := fileName(field)
		switch {
		case inline:
			collectFields(target.Field(i), fields)
		case name != "":
			fields[name] = target.Field(i)
		}
	}
}

// fileName returns the name of a struct's field in the file, empty for a field
// that the file can't set, and whether its fields are inlined.
func fileName(field reflect.StructField) (name string, inline bool) {
	tag := field.Tag.Get("yaml")
	name, options, _ := strings.Cut(tag, ",")
	if strings.Contains(options, "inline") {
		return "", true
	}
	if name == "-" || !field.IsExported() {
		return "", false
	}
	if name == "" {
		return strings.ToLower(field.Name), false
	}
	return name, false
}

func sortedNames(fields map[string]reflect.Value) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// mappingEntries returns the entries of a mapping; the library has a type of
// its own for a mapping of one entry.
func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	default:
		return nil, false
	}
}

// remember notes where a value stands. A mapping or list that is the value of
// a field keeps the place of the field's name, noted before.
func (d *Document) recordPosition(path string, node ast.Node) {
	entries, isMapping := mappingEntries(node)
	_, noted := d.positions[path]
	switch {
	case isMapping && noted:
	case isMapping && len(entries) > 0:
		d.recordTokenPosition(path, entries[0].Key.GetToken())
	case noted && node.Type() == ast.SequenceType:
	default:
		d.recordTokenPosition(path, node.GetToken())
	}
}

func (d *Document) recordTokenPosition(path string, at *token.Token) {
	if at != nil && at.Position != nil {
		d.positions[path] = position{line: at.Position.Line, column: at.Position.Column}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
