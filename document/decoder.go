package document

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

// units are the unit suffixes that 64-bit integers may have.
var units = []struct {
	suffix string
	factor int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
}

// decoder decodes the nodes of one document into Go values.
type decoder struct {
	doc         *Document
	skipUnknown bool
	problems    Problems
}

// Defaulter is implemented by list entries that have defaults. SetDefaults is
// called before the fields that the file sets are decoded.
type Defaulter interface{ SetDefaults() }

func (d *decoder) fail(field string, node ast.Node, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File:   d.doc.name,
		Line:   lineOf(node),
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	})
}

func lineOf(node ast.Node) int {
	if t := node.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

// value decodes a node into a Go value and records the field's line.
func (d *decoder) value(field string, node ast.Node, into reflect.Value) {
	if field != "" && !d.doc.Has(field) {
		d.doc.lines[field] = lineOf(node)
	}
	if _, ok := node.(*ast.NullNode); ok {
		d.fail(field, node, "has no value")
		return
	}
	if text, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(field, node, text)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.structure(field, node, into)
	case reflect.Slice:
		d.slice(field, node, into)
	default:
		d.scalar(field, node, into)
	}
}

func (d *decoder) structure(field string, node ast.Node, into reflect.Value) {
	pairs, ok := pairsOf(node)
	if !ok {
		d.fail(field, node, "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for _, pair := range pairs {
		key := pair.Key.String()
		path := joinPath(field, key)
		target, known := fieldByTag(into, key)
		switch {
		case !known && d.skipUnknown:
		case !known:
			d.fail(path, pair.Key, "is not a known field")
		case seen[key]:
			d.fail(path, pair.Key, "is set twice")
		default:
			d.doc.lines[path] = lineOf(pair.Key)
			d.value(path, pair.Value, target)
		}
		seen[key] = true
	}
}

func pairsOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func joinPath(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}

// fieldByTag returns the field whose yaml tag has the key as its name.
func fieldByTag(into reflect.Value, key string) (reflect.Value, bool) {
	t := into.Type()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" && name == key {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (d *decoder) slice(field string, node ast.Node, into reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fail(field, node, "must be a list")
		return
	}
	items := reflect.MakeSlice(into.Type(), len(list.Values), len(list.Values))
	for i, item := range list.Values {
		if entry, ok := items.Index(i).Addr().Interface().(Defaulter); ok {
			entry.SetDefaults()
		}
		d.value(fmt.Sprintf("%s[%d]", field, i), item, items.Index(i))
	}
	into.Set(items)
}

func (d *decoder) text(field string, node ast.Node, into encoding.TextUnmarshaler) {
	text, ok := stringOf(node)
	if !ok {
		d.fail(field, node, "must be a string")
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		d.fail(field, node, "%v", err)
	}
}

func (d *decoder) scalar(field string, node ast.Node, into reflect.Value) {
	switch {
	case into.Type() == durationType:
		d.duration(field, node, into)
	case into.Kind() == reflect.String:
		d.string(field, node, into)
	case into.Kind() == reflect.Bool:
		d.bool(field, node, into)
	case into.CanInt():
		d.integer(field, node, into)
	case into.CanFloat():
		d.float(field, node, into)
	default:
		panic("document: unsupported type " + into.Type().String())
	}
}

func (d *decoder) duration(field string, node ast.Node, into reflect.Value) {
	text, _ := stringOf(node)
	value, err := time.ParseDuration(text)
	if err != nil {
		d.fail(field, node, `must be a duration with a unit, such as "1.5s"`)
		return
	}
	into.SetInt(int64(value))
}

func (d *decoder) string(field string, node ast.Node, into reflect.Value) {
	text, ok := stringOf(node)
	if !ok {
		d.fail(field, node, "must be a string")
		return
	}
	into.SetString(text)
}

// stringOf returns the value of a string node. It does not convert numbers and
// booleans, since their text in the file can differ from that of their value.
func stringOf(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

func (d *decoder) bool(field string, node ast.Node, into reflect.Value) {
	value, ok := node.(*ast.BoolNode)
	if !ok {
		d.fail(field, node, "must be true or false")
		return
	}
	into.SetBool(value.Value)
}

func (d *decoder) integer(field string, node ast.Node, into reflect.Value) {
	value, ok := integerOf(node, into.Kind() == reflect.Int64)
	if !ok || into.OverflowInt(value) {
		d.fail(field, node, "must be a whole number")
		return
	}
	into.SetInt(value)
}

func integerOf(node ast.Node, withUnit bool) (int64, bool) {
	switch n := node.(type) {
	case *ast.IntegerNode:
		return integerValue(n.Value)
	case *ast.StringNode:
		if withUnit {
			return integerWithUnit(n.Value)
		}
	}
	return 0, false
}

func integerValue(value any) (int64, bool) {
	switch v := value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	default:
		return 0, false
	}
}

func integerWithUnit(text string) (int64, bool) {
	for _, unit := range units {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		fits := value <= math.MaxInt64/unit.factor && value >= math.MinInt64/unit.factor
		return value * unit.factor, err == nil && fits
	}
	return 0, false
}

func (d *decoder) float(field string, node ast.Node, into reflect.Value) {
	switch n := node.(type) {
	case *ast.FloatNode:
		into.SetFloat(n.Value)
	case *ast.IntegerNode:
		value, ok := integerValue(n.Value)
		if !ok {
			d.fail(field, node, "must be a number")
		}
		into.SetFloat(float64(value))
	default:
		d.fail(field, node, "must be a number")
	}
}
