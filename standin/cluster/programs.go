// Package cluster runs a complete system as separate processes on loopback, for the demo and for tests.
//
// It signals processes by their ids only. On Linux the kernel also kills them when the process that started them dies.
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

// Programs are the executables that Build wrote to a directory.
type Programs struct {
	directory string
}

// Path returns the path of a program's executable.
func (p Programs) Path(program string) string { return filepath.Join(p.directory, program) }

// Build builds the programs into the directory; flags are passed to go build. The working directory must be inside the
// repository.
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

// sharedBuild holds the programs that SharedPrograms built, or its error.
var sharedBuild struct {
	once     sync.Once
	programs Programs
	err      error
}

// SharedPrograms builds the programs once per process. TestMain must call RemoveSharedPrograms.
func SharedPrograms(ctx context.Context) (Programs, error) {
	sharedBuild.once.Do(func() {
		var directory string

		if directory, sharedBuild.err = os.MkdirTemp("", "skylarkweir-programs-"); sharedBuild.err == nil {
			sharedBuild.programs, sharedBuild.err = Build(ctx, directory)
		}
	})

	return sharedBuild.programs, sharedBuild.err
}

// RemoveSharedPrograms removes the programs that SharedPrograms built.
func RemoveSharedPrograms() {
	if sharedBuild.programs.directory != "" {
		_ = os.RemoveAll(sharedBuild.programs.directory)
	}
}
