package strictyaml

import (
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// collectFields adds the fields of a struct to fields, by their names in the file. The fields of
// inlined structs are added like those of the enclosing struct.
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

// fileName returns the name of a struct field in the file, and whether the field is an inlined
// struct. The name is empty for an inlined struct and for a field that the file can't set.
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

// mappingEntries returns the entries of a mapping. The library represents a mapping with one entry
// by a different type.
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

// recordPosition records the position of a value. A mapping or list that is the value of
// a field keeps the position of the field's name, which was recorded before.
func (d *Document) recordPosition(path string, node ast.Node) {
	entries, isMapping := mappingEntries(node)
	_, recorded := d.positions[path]
	switch {
	case isMapping && recorded:
	case isMapping && len(entries) > 0:
		d.recordTokenPosition(path, entries[0].Key.GetToken())
	case recorded && node.Type() == ast.SequenceType:
	default:
		d.recordTokenPosition(path, node.GetToken())
	}
}

func (d *Document) recordTokenPosition(path string, t *token.Token) {
	if t != nil && t.Position != nil {
		d.positions[path] = position{line: t.Position.Line, column: t.Position.Column}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
