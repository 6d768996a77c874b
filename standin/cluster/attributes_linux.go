package cluster

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// processAttributes makes the kernel kill the process if its parent dies first. The kernel watches the parent's thread
// that started the process. Go ends a thread only when a goroutine that is locked to it returns, and the callers of
// Start lock none.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// allThreadsStopped reports whether all threads of a process are stopped.
func allThreadsStopped(id int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", id))
	if err != nil || len(files) == 0 {
		return false
	}

	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has exited
		}

		// The state follows the name, which is in parentheses and may contain any character.
		if _, state, _ := strings.Cut(string(text[bytes.LastIndexByte(text, ')')+1:]), " "); !strings.HasPrefix(state, "T") {
			return false
		}
	}

	return true
}
