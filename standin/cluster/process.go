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

// startTimeout is far above the time that a start takes on a busy machine.
const startTimeout = 30 * time.Second

// Process is a program that was started. It is ended by its id only.
type Process struct {
	name, outputFile string
	// begin is the length of the output file when the process started.
	outputStart int64
	command     *exec.Cmd
	// done is closed when the process has ended; err is set before.
	done chan struct{}
	err  error
}

// Start starts a program whose output goes to the log file. The process outlives ctx.
func Start(ctx context.Context, name, outputFile, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(outputFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, merry.Prependf(err, "open the log of %s", name)
	}
	defer func() { _ = out.Close() }()

	initial, err := out.Stat()
	if err != nil {
		return nil, merry.Prependf(err, "open the log of %s", name)
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

// Name returns the name of the process in messages.
func (p *Process) Name() string { return p.name }

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Log returns the file with the output.
func (p *Process) OutputFile() string { return p.outputFile }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Terminate sends SIGTERM, which asks for a graceful shutdown.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill sends SIGKILL.
func (p *Process) Kill() error { return p.signal(syscall.SIGKILL) }

// Pause sends SIGSTOP and waits until all threads stand still, since each stops only when it is scheduled again.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}

	for deadline := time.Now().Add(startTimeout); !p.Paused(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return merry.Errorf("%s does not stand still within %s", p.name, startTimeout)
		}
	}

	return nil
}

// Paused tells whether the process stands still.
func (p *Process) Paused() bool { return allThreadsStopped(p.ID()) }

// Resume sends SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Wait waits for the end and returns an error unless the exit status was 0.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
	case <-ctx.Done():
		return merry.Errorf("%s has not ended: %w", p.name, ctx.Err())
	}

	if p.err != nil {
		return merry.Errorf("%s: %w\n%s", p.name, p.err, p.Tail(tailLines))
	}

	return nil
}

// End ends the process, also a paused one, by SIGTERM and after the given time by SIGKILL.
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

// Tail returns the last lines of the output.
func (p *Process) Tail(lines int) string {
	text, err := os.ReadFile(p.outputFile)
	if err != nil {
		return fmt.Sprintf("no output of %s: %v", p.name, err)
	}

	allLines := strings.Split(string(bytes.TrimSpace(text)), "\n")

	return strings.Join(allLines[max(0, len(allLines)-lines):], "\n")
}

// await waits for text in the output of this process and returns the match with its groups. The wait is bounded, so that
// a program that never prints the text is reported.
func (p *Process) waitForOutput(ctx context.Context, pattern *regexp.Regexp) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()

	for {
		running := p.Running()

		out, err := os.ReadFile(p.outputFile)
		if err != nil {
			return nil, merry.Prependf(err, "output of %s", p.name)
		}

		if match := pattern.FindSubmatch(out[p.outputStart:]); match != nil {
			groups := make([]string, 0, len(match))
			for _, f := range match {
				groups = append(groups, string(f))
			}

			return groups, nil
		}

		if !running {
			return nil, merry.Errorf("%s has ended:\n%s", p.name, p.Tail(tailLines))
		}

		select {
		case <-ctx.Done():
			return nil, merry.Errorf("%s has not printed %s: %w\n%s", p.name, pattern, ctx.Err(), p.Tail(tailLines))
		case <-time.After(pollInterval):
		}
	}
}

// awaitHealth waits until the admin address of the process answers.
func (p *Process) waitForHealth(ctx context.Context, admin string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()

	return waitForSuccess(ctx, p, admin+"/healthz")
}

func (p *Process) signal(s os.Signal) error {
	if !p.Running() {
		return merry.Errorf("%s has ended", p.name)
	}

	if err := p.command.Process.Signal(s); err != nil {
		return merry.Prependf(err, "signal %s", p.name)
	}

	return nil
}
