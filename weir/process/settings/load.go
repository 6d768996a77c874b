// Package settings reads and strictly validates settings files, which are JSON with comments and trailing commas.
//
// A settings struct describes its keys with struct tags:
//
//	json:"name"        the key
//	doc:"..."          one-line description for the table of keys
//	unit:"..."         for numbers, for example "processors"
//	default:"..."      value of an absent key, as JSON for slices; a key without this tag is required
//	range:"1..64"      inclusive limits, either of which may be omitted; "a|b" lists the allowed strings
//
// For slices the range applies to each element. Nested structs are objects: an absent object gets the defaults of its
// keys, and its required keys are reported as missing.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// Checker is implemented by settings structs that validate combinations of values.
type Checker interface {
	// Check returns an error if the values are invalid. For an error from KeyErrorf, Load reports the line of the key.
	Check() error
}

// keyError is an error about one key.
type keyError struct {
	key, message string
}

func (e *keyError) Error() string { return e.key + ": " + e.message }

// KeyErrorf returns an error about the key, which is a dotted path relative to the checked struct.
func KeyErrorf(key, format string, args ...any) error {
	return &keyError{key, fmt.Sprintf(format, args...)}
}

// Load reads the file into the struct that into points to. The error lists each invalid key with file and line.
func Load(file string, into any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return merry.Prepend(err, "read settings")
	}

	return Parse(file, text, into)
}

// Parse reads text as Load does; name is the file name in errors.
func Parse(name string, text []byte, into any) error {
	root, err := hujson.Parse(text)
	if err != nil {
		return merry.Errorf("%s: not valid JSON: %w", name, err)
	}

	d := decoder{file: name, text: text, lines: map[string]int{}}
	d.decodeRoot(root, into)

	return errors.Join(d.errs...)
}

// decoder decodes one file and collects all errors.
type decoder struct {
	file string
	text []byte
	errs []error
	// lines holds the line of each key in the file.
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
