//go:build !linux

package cluster

import "syscall"

func processAttributes() *syscall.SysProcAttr { return nil }

// allThreadsStopped always returns true: this system has no /proc from which to read the state of threads.
func allThreadsStopped(int) bool { return true }
