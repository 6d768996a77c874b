package cluster

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// attributes lets the kernel end a process whose starter died without ending it. The kernel means the starting thread; Go
// ends threads only if a goroutine that is locked to one returns, which the callers of Start do not do.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// stopped tells whether all threads of a process are stopped.
func allThreadsStopped(id int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", id))
	if err != nil || len(files) == 0 {
		return false
	}

	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
		}

		// The state follows the name, which is in parentheses and may hold any character.
		if _, state, _ := strings.Cut(string(text[bytes.LastIndexByte(text, ')')+1:]), " "); !strings.HasPrefix(state, "T") {
			return false
		}
	}

	return true
}
