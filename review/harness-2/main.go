// Command harness-2 runs the cases of the second review that are scripts: the project's own programs as processes on loopback
// addresses, with stand-ins of the clients, the backend servers and the platform's store.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// maxCaseTime limits a case.
const maxCaseTime = 110 * time.Second

// cases are the cases by their names. Each returns whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"outage": outage, "crash": crash, "drain": drain, "loss": loss, "retry": retry, "memory": memory, "malformed": malformed, "zones": zones, "forgotten": forgotten, "shrink": shrink, "holders": holders,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM RECORD")
		os.Exit(exitUnable)
	}

	os.Exit(execute(os.Args[1], os.Args[2], os.Args[3]))
}

// result is what a case has returned.
type result struct {
	held bool
	err  error
}

// execute runs a case and ends all processes that it has started.
func execute(name, program, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitUnable
	}

	d, err := newDeployment(r, program)
	if err != nil {
		r.add("could not run: %s", err)

		return exitUnable
	}

	defer d.stop()

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)

	done := make(chan result, 1)

	go func() {
		held, err := cases[name](d, os.Getenv("TROUBLE") != "0")
		done <- result{held, err}
	}()

	select {
	case v := <-done:
		return v.report(r)
	case <-time.After(maxCaseTime):
		r.add("could not run: not done within %s", maxCaseTime)
	case s := <-signals:
		r.add("could not run: ended by %s", s)
	}

	return exitUnable
}

func (v result) report(r *record) int {
	switch {
	case v.err != nil:
		r.add("could not run: %s", v.err)

		return exitUnable
	case v.held:
		r.add("the rule held")

		return exitHeld
	default:
		r.add("the rule was broken")

		return exitBroken
	}
}
