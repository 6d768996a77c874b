package settings

import "reflect"

// Key describes one key of a settings struct.
type Key struct {
	// name is the dotted path; in keys of list elements, "[]" follows the name of the list.
	name, valueType, unit, valueRange, defaultValue, doc string
	required                                             bool
}

// Name returns the dotted path of the key.
func (k Key) Name() string { return k.name }

// Type returns the name of the value's type, such as "duration".
func (k Key) Type() string { return k.valueType }

// Unit returns the unit of a number, or the units that a duration or size accepts.
func (k Key) Unit() string { return k.unit }

// Range returns the inclusive range or the list of allowed values, or an empty string without a limit.
func (k Key) Range() string { return k.valueRange }

// Default returns the value of an absent key.
func (k Key) Default() string { return k.defaultValue }

// Required reports whether the key must be present.
func (k Key) Required() bool { return k.required }

// Doc returns the description of the key.
func (k Key) Doc() string { return k.doc }

// Describe returns the keys in field order of a settings struct, a pointer to one, or a type whose only field is an
// unexported settings struct.
func Describe(into any) []Key {
	t := reflect.TypeOf(into)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}

	// Programs wrap the decoded struct in a type that has accessors and keeps it in an unexported field.
	for t.NumField() == 1 && !t.Field(0).IsExported() && isObject(t.Field(0).Type) {
		t = t.Field(0).Type
	}

	return describe("", t)
}

func describe(path string, t reflect.Type) []Key {
	var keys []Key

	for _, f := range orderedFields(t) {
		name, ft := joinKey(path, f.name), t.Field(f.index).Type

		if isObject(ft) {
			keys = append(keys, describe(name, ft)...)

			continue
		}

		defaultValue, given := f.tags.Lookup("default")
		keys = append(keys, Key{
			name: name, valueType: shortTypeName(ft), unit: unitOf(ft, f.tags.Get("unit")), valueRange: f.tags.Get("range"),
			defaultValue: defaultValue, doc: f.tags.Get("doc"), required: !given,
		})

		if isList(ft) && isObject(ft.Elem()) {
			keys = append(keys, describe(name+"[]", ft.Elem())...)
		}
	}

	return keys
}

func unitOf(t reflect.Type, tag string) string {
	switch {
	case tag != "":
		return tag
	case t == reflect.TypeFor[Duration]():
		return "ns, us, ms, s, m, h"
	case t == reflect.TypeFor[Bytes]():
		return "B, KB, MB, GB, KiB, MiB, GiB"
	default:
		return ""
	}
}
