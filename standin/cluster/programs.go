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

const modulePrefix = "github.com/skylarkweir/skylarkweir/"

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
		args = append(args, modulePrefix+p)
	}

	if out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		return Programs{}, merry.Errorf("build the programs: %w\n%s", err, out)
	}

	return Programs{directory}, nil
}

// shared holds the programs that Shared built.
var sharedBuild struct {
	once     sync.Once
	programs Programs
	err      error
}

// Shared builds the programs once for each process; RemoveShared belongs into TestMain.
func SharedPrograms(ctx context.Context) (Programs, error) {
	sharedBuild.once.Do(func() {
		var directory string

		if directory, sharedBuild.err = os.MkdirTemp("", "skylarkweir-programs-"); sharedBuild.err == nil {
			sharedBuild.programs, sharedBuild.err = Build(ctx, directory)
		}
	})

	return sharedBuild.programs, sharedBuild.err
}

// RemoveShared removes what Shared built.
func RemoveSharedPrograms() {
	if sharedBuild.programs.directory != "" {
		_ = os.RemoveAll(sharedBuild.programs.directory)
	}
}
