// Package settings reads settings files: JSON with comments, checked strictly.
//
// A settings struct describes its keys with struct tags:
//
//	json:"name"        the key
//	doc:"..."          one line for the table of keys
//	unit:"..."         for numbers, for example "processors"
//	default:"..."      value if the key is absent; slices take JSON; a key without this tag is required
//	range:"1..64"      inclusive; either end may be left out; "a|b" lists the allowed texts
//
// For slices the range applies to each element. Nested structs are objects; their own keys are required or not.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// Checker is implemented by settings structs that have to refuse combinations of values.
type Checker interface {
	// Check returns nil or an error, best made by At, which lets Load name the line.
	Check() error
}

// keyError is an error about one key.
type keyError struct {
	key, message string
}

func (e *keyError) Error() string { return e.key + ": " + e.message }

// At returns an error about the key, a dotted path from the checked struct.
func KeyErrorf(key, format string, args ...any) error {
	return &keyError{key, fmt.Sprintf(format, args...)}
}

// Load reads the file into a struct pointed to. The error lists every finding with file, line and key.
func Load(file string, into any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return merry.Prepend(err, "read settings")
	}

	return Parse(file, text, into)
}

// Parse reads text as Load does; name stands for the file in errors.
func Parse(name string, text []byte, into any) error {
	root, err := hujson.Parse(text)
	if err != nil {
		return merry.Errorf("%s: not valid JSON: %w", name, err)
	}

	d := decoder{file: name, text: text, lines: map[string]int{}}
	d.decodeRoot(root, into)

	return errors.Join(d.errs...)
}

// decoder collects what is wrong with one file.
type decoder struct {
	file string
	text []byte
	errs []error
	// lines holds the line of each key that the file has.
	lines map[string]int
}

func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.text[:offset], []byte("\n"))
}

func (d *decoder) addErrorf(line int, key, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if key != "" {
		text = key + ": " + text
	}

	d.errs = append(d.errs, merry.New(fmt.Sprintf("%s:%d: %s", d.file, line, text), merry.NoCaptureStack()))
}
