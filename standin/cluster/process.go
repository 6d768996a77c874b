package cluster

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// startTimeout is far longer than a start takes, also on a busy machine.
const startTimeout = 30 * time.Second

// Process is a process started by Start. Signals are sent to its id only, never by name.
type Process struct {
	name, outputFile string
	// outputStart is the size of the output file when the process started; output before it is of a predecessor.
	outputStart int64
	command     *exec.Cmd
	// done is closed when the process has exited; err is set before.
	done chan struct{}
	err  error
}

// Start starts a program and appends its output to a file. The process outlives ctx.
func Start(ctx context.Context, name, outputFile, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(outputFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, merry.Prependf(err, "open the output file of %s", name)
	}
	defer func() { _ = out.Close() }()

	initial, err := out.Stat()
	if err != nil {
		return nil, merry.Prependf(err, "open the output file of %s", name)
	}

	c := exec.CommandContext(context.WithoutCancel(ctx), program, args...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = processAttributes()

	if err := c.Start(); err != nil {
		return nil, merry.Prependf(err, "start %s", name)
	}

	p := &Process{name: name, outputFile: outputFile, outputStart: initial.Size(), command: c, done: make(chan struct{})}
	go p.run()

	return p, nil
}

func (p *Process) run() {
	p.err = p.command.Wait()
	close(p.done)
}

// Name returns the name by which messages identify the process.
func (p *Process) Name() string { return p.name }

// ID returns the operating system's process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// OutputFile returns the path of the file with the output.
func (p *Process) OutputFile() string { return p.outputFile }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Terminate sends SIGTERM, which requests a graceful shutdown.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill sends SIGKILL.
func (p *Process) Kill() error { return p.signal(syscall.SIGKILL) }

// Pause sends SIGSTOP and waits until all threads are stopped, since a thread stops only when it is next scheduled.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}

	for deadline := time.Now().Add(startTimeout); !p.Paused(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return merry.Errorf("%s still has running threads %s after SIGSTOP", p.name, startTimeout)
		}
	}

	return nil
}

// Paused reports whether all threads of the process are stopped. On systems other than Linux it always returns true.
func (p *Process) Paused() bool { return allThreadsStopped(p.ID()) }

// Resume sends SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Wait waits until the process has exited and returns an error unless its exit code is 0.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
	case <-ctx.Done():
		return merry.Errorf("%s has not exited: %w", p.name, ctx.Err())
	}

	if p.err != nil {
		return merry.Errorf("%s: %w\n%s", p.name, p.err, p.Tail(tailLines))
	}

	return nil
}

// Stop ends the process, also a paused one, with SIGTERM, and with SIGKILL if it has not exited after the timeout.
func (p *Process) Stop(timeout time.Duration) {
	_ = p.Resume()
	_ = p.Terminate()

	select {
	case <-p.done:
	case <-time.After(timeout):
		_ = p.Kill()
		<-p.done
	}
}

// Tail returns the last lines of the output file.
func (p *Process) Tail(lines int) string {
	text, err := os.ReadFile(p.outputFile)
	if err != nil {
		return fmt.Sprintf("cannot read the output of %s: %v", p.name, err)
	}

	allLines := strings.Split(string(bytes.TrimSpace(text)), "\n")

	return strings.Join(allLines[max(0, len(allLines)-lines):], "\n")
}

// waitForOutput waits until the output of this process matches the pattern and returns the match with its groups. It
// fails after startTimeout, so that a program that never prints such a line is reported.
func (p *Process) waitForOutput(ctx context.Context, pattern *regexp.Regexp) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()

	for {
		running := p.Running()

		out, err := os.ReadFile(p.outputFile)
		if err != nil {
			return nil, merry.Prependf(err, "read the output of %s", p.name)
		}

		if match := pattern.FindSubmatch(out[p.outputStart:]); match != nil {
			groups := make([]string, 0, len(match))
			for _, f := range match {
				groups = append(groups, string(f))
			}

			return groups, nil
		}

		if !running {
			return nil, merry.Errorf("%s has exited:\n%s", p.name, p.Tail(tailLines))
		}

		select {
		case <-ctx.Done():
			return nil, merry.Errorf("%s has printed no line that matches %s: %w\n%s",
				p.name, pattern, ctx.Err(), p.Tail(tailLines))
		case <-time.After(pollInterval):
		}
	}
}

// waitForHealth waits until the health check at the admin address of the process succeeds.
func (p *Process) waitForHealth(ctx context.Context, admin string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()

	return waitForSuccess(ctx, p, admin+"/healthz")
}

func (p *Process) signal(s os.Signal) error {
	if !p.Running() {
		return merry.Errorf("%s has exited", p.name)
	}

	if err := p.command.Process.Signal(s); err != nil {
		return merry.Prependf(err, "signal %s", p.name)
	}

	return nil
}
