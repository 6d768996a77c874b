package settings

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// checkRange checks a value against a range tag: "low..high", in which either limit is optional, or "a|b|c".
func checkRange(value reflect.Value, text string) error {
	if text == "" {
		return nil
	}

	low, high, isInterval := strings.Cut(text, "..")
	if !isInterval {
		if found := fmt.Sprint(value.Interface()); !slices.Contains(strings.Split(text, "|"), found) {
			return merry.Errorf("%q is none of %s", found, strings.ReplaceAll(text, "|", ", "))
		}

		return nil
	}

	for _, end := range []struct {
		text string
		sign int
	}{{low, -1}, {high, 1}} {
		if end.text == "" {
			continue
		}

		limit := reflect.New(value.Type()).Elem()
		if err := setText(limit, end.text); err != nil {
			return merry.Errorf("invalid range %s: %w", text, err)
		}

		if compare(value, limit)*end.sign > 0 {
			return merry.Errorf("%v is outside %s", value.Interface(), text)
		}
	}

	return nil
}

func compare(a, b reflect.Value) int {
	switch {
	case a.CanInt():
		return cmp.Compare(a.Int(), b.Int())
	case a.CanUint():
		return cmp.Compare(a.Uint(), b.Uint())
	case a.CanFloat():
		return cmp.Compare(a.Float(), b.Float())
	default:
		return 0
	}
}
