package settings

import (
	"encoding"
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

func (d *decoder) decodeRoot(v hujson.Value, into any) {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.Elem().Kind() != reflect.Struct {
		d.addErrorf(1, "", "settings must be read into a pointer to a struct, not %T", into)

		return
	}

	d.decodeObject("", v, target.Elem())
}

// decodeObject reads an object into a struct. Errors about missing keys have the line on which the object starts.
func (d *decoder) decodeObject(path string, v hujson.Value, target reflect.Value) {
	line := d.line(v.StartOffset)

	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addErrorf(line, path, "expected an object, found %s", describeValue(v))

		return
	}

	errsBefore := len(d.errs)
	fields := fieldsByName(target.Type())
	seen := map[string]bool{}

	for _, m := range o.Members {
		name := literalOf(m.Name).String()
		key := joinKey(path, name)
		keyLine := d.line(m.Name.StartOffset)
		f, known := fields[name]

		switch {
		case !known:
			d.addErrorf(keyLine, key, "unknown key%s", suggestion(name, fields))
		case seen[name]:
			d.addErrorf(keyLine, key, "the key is given twice")
		default:
			seen[name] = true
			d.lines[key] = keyLine
			d.decodeValue(key, f.tags, m.Value, target.Field(f.index))
		}
	}

	d.applyDefaults(path, line, seen, target)

	// A check of values that were not decoded would report the same mistakes again.
	if len(d.errs) == errsBefore {
		d.runCheck(path, line, target)
	}
}

// applyDefaults sets the keys that the file does not contain, and reports those that are required.
func (d *decoder) applyDefaults(path string, line int, seen map[string]bool, target reflect.Value) {
	for _, f := range orderedFields(target.Type()) {
		if seen[f.name] {
			continue
		}

		key, value := joinKey(path, f.name), target.Field(f.index)
		text, given := f.tags.Lookup("default")

		switch {
		case isObject(value.Type()):
			d.applyDefaults(key, line, nil, value)
		case !given:
			d.addErrorf(line, key, "the key is required")
		default:
			if err := setDefault(value, text); err != nil {
				d.addErrorf(line, key, "invalid default: %v", err)
			}
		}
	}
}

func (d *decoder) runCheck(path string, line int, target reflect.Value) {
	c, ok := target.Addr().Interface().(Checker)
	if !ok {
		return
	}

	err := c.Check()
	if err == nil {
		return
	}

	var e *keyError
	if !errors.As(err, &e) {
		d.addErrorf(line, path, "%v", err)

		return
	}

	key := joinKey(path, e.key)
	if keyLine, given := d.lines[key]; given {
		line = keyLine
	}

	d.addErrorf(line, key, "%s", e.message)
}

func (d *decoder) decodeValue(key string, tags reflect.StructTag, v hujson.Value, target reflect.Value) {
	switch {
	case isObject(target.Type()):
		d.decodeObject(key, v, target)
	case isList(target.Type()):
		d.decodeList(key, tags, v, target)
	default:
		d.decodeScalar(key, tags, v, target)
	}
}

func (d *decoder) decodeList(key string, tags reflect.StructTag, v hujson.Value, target reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addErrorf(d.line(v.StartOffset), key, "expected a list, found %s", describeValue(v))

		return
	}

	list := reflect.MakeSlice(target.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.decodeValue(elementKey(key, i), tags, e, list.Index(i))
	}

	target.Set(list)
}

func (d *decoder) decodeScalar(key string, tags reflect.StructTag, v hujson.Value, target reflect.Value) {
	line := d.line(v.StartOffset)
	want, kind := typeName(target.Type()), v.Value.Kind()

	if kind != jsonKind(target.Type()) && (kind != 'f' || jsonKind(target.Type()) != 't') {
		d.addErrorf(line, key, "expected %s, found %s", want, describeValue(v))

		return
	}

	l := literalOf(v)
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(l.String())); err != nil {
			d.addErrorf(line, key, "%v", err)

			return
		}
	} else if err := json.Unmarshal(l, target.Addr().Interface()); err != nil {
		d.addErrorf(line, key, "expected %s, found %s", want, l)

		return
	}

	if err := checkRange(target, tags.Get("range")); err != nil {
		d.addErrorf(line, key, "%v", err)
	}
}

func setDefault(target reflect.Value, text string) error {
	if isList(target.Type()) {
		if text == "" {
			text = "[]"
		}

		return json.Unmarshal([]byte(text), target.Addr().Interface())
	}

	return setText(target, text)
}

// setText decodes a default or a range limit from its tag.
func setText(target reflect.Value, text string) error {
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		// An empty default keeps the zero value, for types whose zero value has no text form.
		if text == "" {
			return nil
		}

		return u.UnmarshalText([]byte(text))
	}

	if target.Kind() == reflect.String {
		target.SetString(text)

		return nil
	}

	return json.Unmarshal([]byte(text), target.Addr().Interface())
}

func literalOf(v hujson.Value) hujson.Literal {
	l, _ := v.Value.(hujson.Literal)

	return l
}

func joinKey(path, name string) string {
	if path == "" {
		return name
	}

	return strings.Join([]string{path, name}, ".")
}
