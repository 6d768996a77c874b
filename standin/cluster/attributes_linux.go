package cluster

import "syscall"

// attributes lets the kernel end a process whose starter died without ending it. The kernel means the starting thread; Go
// ends threads only if a goroutine that is locked to one returns, which the callers of Start do not do.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
