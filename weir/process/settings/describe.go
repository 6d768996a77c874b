package settings

import "reflect"

// Key describes one key of a settings struct.
type Key struct {
	// name is the dotted path; keys of list elements have "[]" after the list's name.
	name, valueType, unit, valueRange, defaultValue, doc string
	required                                             bool
}

// Name returns the dotted path of the key.
func (k Key) Name() string { return k.name }

// Type returns what the value is, in words.
func (k Key) Type() string { return k.valueType }

// Unit returns the unit; durations and sizes name theirs in the value.
func (k Key) Unit() string { return k.unit }

// Range returns the allowed values, inclusive, or an empty text.
func (k Key) Range() string { return k.valueRange }

// Default returns the value that an absent key has.
func (k Key) Default() string { return k.defaultValue }

// Required reports whether the key has to be given.
func (k Key) Required() bool { return k.required }

// Doc returns what the key is for.
func (k Key) Doc() string { return k.doc }

// Describe returns the keys of a settings struct, of a pointer to one, or of a type whose only field is one, in the
// order of its fields.
func Describe(into any) []Key {
	t := reflect.TypeOf(into)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}

	// Programs keep the decoded struct in an unexported field of a type with accessors.
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
