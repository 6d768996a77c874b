package pages_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// packagesWithExamples are the packages that must have runnable examples.
var packagesWithExamples = []string{
	"weir/version/agreement", "weir/version/ledger", "weir/request/ticket", "weir/process/share", "weir/process/placement",
	"weir/process/waitqueue", "weir/process/estimate", "weir/process/retrybudget", "weir/process/settings",
	"weir/request/fault",
}

// libraryContents describes the files of the module weir, by package or, for imports, by imported path.
type libraryContents struct {
	packages   map[string][]string
	documented map[string]bool
	hasExample map[string]bool
	imports    map[string][]string
}

func readLibrary(is *is.I) libraryContents {
	is.Helper()

	l := libraryContents{map[string][]string{}, map[string]bool{}, map[string]bool{}, map[string][]string{}}

	is.NoErr(filepath.WalkDir(filepath.Join(root, "weir"), func(file string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(file, ".go") {
			return err
		}

		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			return err
		}

		name, _ := filepath.Rel(root, filepath.Dir(file))
		l.packages[name] = append(l.packages[name], file)
		l.documented[name] = l.documented[name] || f.Doc != nil && strings.HasPrefix(f.Doc.Text(), "Package "+f.Name.Name+" ")
		l.hasExample[name] = l.hasExample[name] || strings.HasSuffix(file, "example_test.go")

		for _, i := range f.Imports {
			path, _ := strconv.Unquote(i.Path.Value)
			l.imports[path] = append(l.imports[path], file)
		}

		return nil
	}))

	return l
}

// Guards against library packages that import what only programs need, against packages that library.md lists wrongly,
// and against packages without documentation or examples.
func TestLibraryPage(t *testing.T) {
	is := is.New(t)
	l := readLibrary(is)

	for path, files := range l.imports {
		if strings.HasPrefix(path, "go.uber.org/fx") || strings.Contains(path, "go-flags") {
			t.Errorf("%v import %s, which only programs may import", files, path)
		}
	}

	compareNames(t, "library.md", tableRows(is, "library.md"), l.packages)

	for name := range l.packages {
		if !l.documented[name] {
			t.Errorf("%s has no package comment", name)
		}
	}

	for _, name := range packagesWithExamples {
		if !l.hasExample[name] {
			t.Errorf("%s has no runnable examples", name)
		}
	}
}
