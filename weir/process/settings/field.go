package settings

import (
	"encoding"
	"net/netip"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// field describes one key of a settings struct.
type field struct {
	name  string
	index int
	tags  reflect.StructTag
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func hasTextForm(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textUnmarshalerType) }

func isObject(t reflect.Type) bool { return t.Kind() == reflect.Struct && !hasTextForm(t) }

func isList(t reflect.Type) bool { return t.Kind() == reflect.Slice && !hasTextForm(t) }

func orderedFields(t reflect.Type) []field {
	var fields []field

	for i := range t.NumField() {
		f := t.Field(i)

		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "" || name == "-" {
			continue
		}

		fields = append(fields, field{name, i, f.Tag})
	}

	return fields
}

func fieldsByName(t reflect.Type) map[string]field {
	fields := map[string]field{}
	for _, f := range orderedFields(t) {
		fields[f.name] = f
	}

	return fields
}

// suggestion returns a hint at a known key that differs only in case or separators, or an empty string.
func suggestion(name string, fields map[string]field) string {
	normalize := func(s string) string {
		return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(s))
	}

	for known := range fields {
		if normalize(known) == normalize(name) {
			return ", did you mean " + known + "?"
		}
	}

	return ""
}

func elementKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

// jsonKind returns the kind of JSON value from which t is decoded.
func jsonKind(t reflect.Type) hujson.Kind {
	switch {
	case hasTextForm(t), t.Kind() == reflect.String:
		return '"'
	case t.Kind() == reflect.Bool:
		return 't'
	default:
		return '0'
	}
}

// typeName returns the name of a type for error messages, with an article and for some types an example.
func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return `a duration such as "250ms"`
	case t == reflect.TypeFor[Bytes]():
		return `a size such as "96MB"`
	case t == reflect.TypeFor[netip.AddrPort]():
		return `an address such as "10.0.0.1:7100"`
	case isObject(t):
		return "an object"
	case isList(t):
		return "a list of " + shortTypeName(t.Elem())
	case jsonKind(t) == '"':
		return "a text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float32, t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() >= reflect.Uint && t.Kind() <= reflect.Uint64:
		return "a whole number without sign"
	default:
		return "a whole number"
	}
}

// shortTypeName returns typeName without article and example.
func shortTypeName(t reflect.Type) string {
	name := strings.TrimPrefix(strings.TrimPrefix(typeName(t), "a "), "an ")
	name, _, _ = strings.Cut(name, " such as ")

	return name
}

func describeValue(v hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "the text " + string(literalOf(v))
	case '0':
		return "the number " + string(literalOf(v))
	default:
		return string(literalOf(v))
	}
}
