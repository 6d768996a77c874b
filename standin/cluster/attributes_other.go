//go:build !linux

package cluster

import "syscall"

func attributes() *syscall.SysProcAttr { return nil }
