// Package cluster starts a whole system as separate processes on loopback, for the demo and for tests.
//
// All processes are ended by their own ids. On Linux they also end with the process that started them.
package cluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/ansel1/merry/v2"
)

const module = "github.com/skylarkweir/skylarkweir/"

// The programs that Build builds.
const (
	EntryProgram   = "entry"
	SidecarProgram = "sidecar"
	StandinProgram = "standin"
	WeirctlProgram = "weirctl"
)

// Programs is a directory with the built programs.
type Programs struct {
	directory string
}

// Path returns the file of a program.
func (p Programs) Path(program string) string { return filepath.Join(p.directory, program) }

// Build builds the programs into the directory. It has to run inside the repository.
func Build(ctx context.Context, directory string, flags ...string) (Programs, error) {
	args := append([]string{"build", "-o", directory + string(filepath.Separator)}, flags...)
	for _, p := range []string{EntryProgram, SidecarProgram, StandinProgram, WeirctlProgram} {
		args = append(args, module+p)
	}

	if out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		return Programs{}, merry.Errorf("build the programs: %w\n%s", err, out)
	}

	return Programs{directory}, nil
}

// shared holds the programs that Shared built.
var shared struct {
	once     sync.Once
	programs Programs
	err      error
}

// Shared builds the programs once for each process; RemoveShared belongs into TestMain.
func Shared(ctx context.Context) (Programs, error) {
	shared.once.Do(func() {
		var directory string

		if directory, shared.err = os.MkdirTemp("", "skylarkweir-programs-"); shared.err == nil {
			shared.programs, shared.err = Build(ctx, directory)
		}
	})

	return shared.programs, shared.err
}

// RemoveShared removes what Shared built.
func RemoveShared() {
	if shared.programs.directory != "" {
		_ = os.RemoveAll(shared.programs.directory)
	}
}
