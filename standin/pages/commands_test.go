package pages_test

import (
	"cmp"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

var (
	helpOption = regexp.MustCompile(`(?m)^\s+(?:-\w, )?\s*(--[a-z-]+)`)
	pageOption = regexp.MustCompile("(?m)^\\| `(?:-\\w, )?(--[a-z-]+)")
	// commandRegistration matches the registration of a command in the source of a program.
	commandRegistration = regexp.MustCompile(`console\.NewCommand\(\s*"([\w-]+)"`)
)

// Guards against commands and options that have no documentation, and against documentation of commands and options
// that do not exist any more.
func TestCommandPages(t *testing.T) {
	is := is.New(t)

	programs, err := cluster.SharedPrograms(t.Context())
	is.NoErr(err)

	commands := [][]string{{"entry"}, {"sidecar"}, {platformProgram}}
	paths := map[string]string{platformProgram: buildPlatform(t)}

	for _, program := range []string{"weirctl", "standin"} {
		commands = append(commands, []string{program})

		found := findInCode(is, commandRegistration.String(), filepath.Join(program, "command"))
		is.True(len(found) >= 5)

		for name := range found {
			commands = append(commands, []string{program, name})
		}
	}

	documented := map[string]bool{}

	for _, c := range commands {
		path := cmp.Or(paths[c[0]], programs.Path(c[0]))
		help, err := exec.CommandContext(t.Context(), path, append(c[1:], "--help")...).CombinedOutput()
		is.NoErr(err)

		name := strings.Join(c, "-") + ".md"
		documented[name] = true

		text, err := os.ReadFile(filepath.Join(root, "docs", "commands", name))
		is.NoErr(err)

		compareNames(t, name, findOptions(pageOption, text), findOptions(helpOption, help))

		for _, section := range []string{"Synopsis", "Description", "Options", "Exit codes", "Examples"} {
			is.True(strings.Contains(string(text), "\n## "+section+"\n"))
		}
	}

	files, err := os.ReadDir(filepath.Join(root, "docs", "commands"))
	is.NoErr(err)

	for _, f := range files {
		is.True(documented[f.Name()]) // the command of this page exists
	}
}

// platformProgram is the program that runs on the users' platform.
const platformProgram = "skylarkweir"

// buildPlatform builds platformProgram and returns its path.
func buildPlatform(t *testing.T) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), platformProgram)
	out, err := exec.CommandContext(
		t.Context(), "go", "build", "-o", path, "github.com/skylarkweir/skylarkweir/platform",
	).CombinedOutput()
	t.Log(string(out))
	is.New(t).NoErr(err)

	return path
}

// findOptions returns the options that the first group of the pattern matches.
func findOptions(pattern *regexp.Regexp, text []byte) map[string][]string {
	found := map[string][]string{}
	for _, m := range pattern.FindAllStringSubmatch(string(text), -1) {
		found[m[1]] = []string{m[0]}
	}

	return found
}
