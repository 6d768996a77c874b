package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// process is an entry or a sidecar, started with the command of the deploy file.
type process struct {
	deployment *deployment
	role       string
	number     int
	ip         string
	settings   string

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the present process has ended.
	ended chan struct{}
}

func (d *deployment) newProcess(role string, n int, ip string) *process {
	return &process{deployment: d, role: role, number: n, ip: ip, settings: d.settings(role, n, ip)}
}

func (p *process) name() string { return fmt.Sprintf("%s %d", p.role, p.number) }

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()

	log, err := os.OpenFile(
		filepath.Join(p.deployment.folder, fmt.Sprintf("%s-%d.log", p.role, p.number)),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()

	c := exec.Command(p.deployment.program, "--metrics", "9464", p.role)
	c.Env = append(os.Environ(), wire.SettingsVariable+"="+p.settings)
	c.Stdout, c.Stderr = log, log

	if err := c.Start(); err != nil {
		return err
	}

	ended := make(chan struct{})
	p.command, p.ended = c, ended
	p.deployment.record.printf("%s starts", p.name())

	go func() {
		_ = c.Wait()
		p.deployment.record.printf("%s has ended", p.name())
		close(ended)
	}()

	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.command != nil {
		_ = p.command.Process.Signal(s)
		p.deployment.record.printf("%s gets the signal: %s", p.name(), s)
	}
}

// end kills the process and waits for its end.
func (p *process) end() {
	p.mu.Lock()
	c, ended := p.command, p.ended
	p.mu.Unlock()

	if c != nil {
		_ = c.Process.Kill()
		<-ended
	}
}
