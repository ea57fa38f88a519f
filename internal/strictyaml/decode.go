package strictyaml

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

var unmarshalerType = reflect.TypeFor[yaml.InterfaceUnmarshaler]()

// decode sets target from node and reports each mistake in it.
func (d *Document) decode(node ast.Node, target reflect.Value, path string) {
	d.recordPosition(path, node)
	switch {
	case node.Type() == ast.NullType:
		d.report(path, "expected %s, found nothing", describeType(target.Type()))
	case isUnsupported(node):
		d.report(path, "expected a plain value: tags, anchors and aliases are not allowed")
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(node, target.Elem(), path)
	case target.Addr().Type().Implements(unmarshalerType):
		d.decodeScalar(node, target, path)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(node, target, path)
	case target.Kind() == reflect.Slice:
		d.decodeSlice(node, target, path)
	case target.Kind() == reflect.Map:
		d.decodeMap(node, target, path)
	default:
		d.decodeScalar(node, target, path)
	}
}

func isUnsupported(node ast.Node) bool {
	switch node.Type() {
	case ast.TagType, ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.DirectiveType:
		return true
	default:
		return false
	}
}

func (d *Document) decodeStruct(node ast.Node, target reflect.Value, path string) {
	entries, isMapping := mappingEntries(node)
	if !isMapping {
		d.report(path, "expected a mapping")
		return
	}
	fields := map[string]reflect.Value{}
	collectFields(target, fields)
	seen := map[string]bool{}
	for _, entry := range entries {
		d.decodeEntry(entry, fields, seen, path)
	}
}

func (d *Document) decodeEntry(entry *ast.MappingValueNode, fields map[string]reflect.Value, seen map[string]bool, path string) {
	key := entry.Key.GetToken()
	name := key.Value
	child := joinPath(path, name)
	field, known := fields[name]
	switch {
	case !known:
		d.reportAt(key, child, "unknown field; expected one of %s", strings.Join(sortedNames(fields), ", "))
	case seen[name]:
		d.reportAt(key, child, "expected the field once, found it again")
	default:
		seen[name] = true
		d.recordTokenPosition(child, key)
		d.decode(entry.Value, field, child)
	}
}

func (d *Document) decodeSlice(node ast.Node, target reflect.Value, path string) {
	sequence, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		d.report(path, "expected a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		d.decode(value, target.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

// decodeMap decodes a mapping with arbitrary keys.
func (d *Document) decodeMap(node ast.Node, target reflect.Value, path string) {
	entries, isMapping := mappingEntries(node)
	if !isMapping {
		d.report(path, "expected a mapping")
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(entries)))
	for _, entry := range entries {
		keyToken := entry.Key.GetToken()
		child := joinPath(path, keyToken.Value)
		key := reflect.ValueOf(keyToken.Value).Convert(target.Type().Key())
		if target.MapIndex(key).IsValid() {
			d.reportAt(keyToken, child, "expected the field once, found it again")
			continue
		}
		d.recordTokenPosition(child, keyToken)
		value := reflect.New(target.Type().Elem()).Elem()
		d.decode(entry.Value, value, child)
		target.SetMapIndex(key, value)
	}
}

func (d *Document) decodeScalar(node ast.Node, target reflect.Value, path string) {
	if number, ok := plainNumber(node); ok && target.Kind() == reflect.Float64 {
		target.SetFloat(number)
		return
	}
	if !scalarFits(node, target) {
		d.report(path, "expected %s", describeType(target.Type()))
		return
	}
	if err := yaml.NodeToValue(node, target.Addr().Interface()); err != nil {
		d.report(path, "expected %s, found %q", describeType(target.Type()), node.GetToken().Value)
	}
}

// decimalNumber is a number in any decimal notation, some of which YAML reads as text.
var decimalNumber = regexp.MustCompile(`^[-+]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][-+]?[0-9]+)?$`)

// plainNumber returns the value of a number that is written without quotes.
func plainNumber(node ast.Node) (float64, bool) {
	written := node.GetToken()
	if written.Type == token.DoubleQuoteType || written.Type == token.SingleQuoteType || !decimalNumber.MatchString(written.Value) {
		return 0, false
	}
	number, err := strconv.ParseFloat(written.Value, 64)
	return number, err == nil
}

// scalarFits reports whether the value in the file has the field's type. It is checked because
// the YAML library converts numbers to text and text to numbers.
func scalarFits(node ast.Node, target reflect.Value) bool {
	found := node.Type()
	if target.Addr().Type().Implements(unmarshalerType) {
		return found == ast.StringType || found == ast.IntegerType
	}
	switch target.Kind() {
	case reflect.String:
		return found == ast.StringType || found == ast.LiteralType
	case reflect.Bool:
		return found == ast.BoolType
	case reflect.Float64:
		return found == ast.FloatType || found == ast.IntegerType
	default:
		return found == ast.IntegerType
	}
}

// describeType describes the YAML values of a Go type for problems.
func describeType(goType reflect.Type) string {
	if goType.Kind() == reflect.Pointer {
		goType = goType.Elem()
	}
	if reflect.PointerTo(goType).Implements(unmarshalerType) {
		return "a " + strings.ToLower(goType.Name()) + " such as \"250ms\""
	}
	switch goType.Kind() {
	case reflect.Struct, reflect.Map:
		return "a mapping"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "text (numbers in quotes)"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number, not negative"
	default:
		return "a whole number"
	}
}

func (d *Document) reportAt(at *token.Token, field, format string, arguments ...any) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    at.Position.Line,
		Column:  at.Position.Column,
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}
