package cluster

import "syscall"

// attributes lets the kernel end a process whose starter died without ending it.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
