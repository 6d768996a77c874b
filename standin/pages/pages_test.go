// Package pages_test compares the documentation in docs with the source and the running programs.
package pages_test

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// root is the path of the repository's root.
const root = "../.."

func TestMain(m *testing.M) {
	code := m.Run()

	cluster.RemoveSharedPrograms()
	os.Exit(code)
}

func readPage(is *is.I, name string) string {
	is.Helper()

	text, err := os.ReadFile(filepath.Join(root, "docs", name))
	is.NoErr(err)

	return string(text)
}

// tableRows returns the cells of those table rows of a page whose first cell is a name in backquotes, by that name.
func tableRows(is *is.I, name string) map[string][]string {
	is.Helper()

	byName := map[string][]string{}

	for line := range strings.Lines(readPage(is, name)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")

		if strings.HasPrefix(line, "| `") {
			byName[strings.Trim(strings.TrimSpace(cells[0]), "`")] = cells
		}
	}

	return byName
}

// findInCode returns what the first group of the pattern matches in the Go files of the directories, other than tests,
// with the files of each match.
func findInCode(is *is.I, pattern string, directories ...string) map[string][]string {
	is.Helper()

	expression := regexp.MustCompile(pattern)
	found := map[string][]string{}

	for _, d := range directories {
		is.NoErr(filepath.WalkDir(filepath.Join(root, d), func(file string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
				return err
			}

			text, err := os.ReadFile(file)
			for _, m := range expression.FindAllStringSubmatch(string(text), -1) {
				found[m[1]] = append(found[m[1]], file)
			}

			return err
		}))
	}

	return found
}

// compareNames fails the test for each name that only the page or only the code has.
func compareNames(t *testing.T, page string, onPage map[string][]string, inCode map[string][]string) {
	t.Helper()

	for _, n := range slices.Sorted(maps.Keys(inCode)) {
		if onPage[n] == nil {
			t.Errorf("%s is in %v but not in %s", n, inCode[n], page)
		}
	}

	for _, n := range slices.Sorted(maps.Keys(onPage)) {
		if inCode[n] == nil {
			t.Errorf("%s is in %s but not in the code", n, page)
		}
	}
}
