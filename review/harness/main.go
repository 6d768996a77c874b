// Command harness plays one case of the review: a small deployment of the project's own programs among stand-ins, a
// disruption, and a check of what clients and servers have seen.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rounds is how often a case plays its disruption.
const rounds = 3

// reviewCase is a case of the review.
type reviewCase struct {
	entries, servers int
	// play returns what broke the rule. With disrupted false it does the same without the disruption.
	play func(d *deployment, disrupted bool) (violations []string, err error)
}

var cases = map[string]reviewCase{
	"foreign-announcement": {2, 4, playForeignAnnouncement},
	"late-copy":            {2, 4, playLateCopy},
	"suspended":            {2, 11, playSuspended},
	"odd-sequence":         {2, 4, playOddSequence},
	"spread":               {2, 11, playSpread},
}

func main() {
	program := flag.String("program", "", "the program that the deploy file builds")
	recordFile := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	logs := flag.String("logs", "", "a folder for the settings and logs of the programs, which is kept; by default a temporary one")
	flag.Parse()

	os.Exit(runCase(flag.Arg(0), *program, *recordFile, *logs, os.Getenv("TROUBLE") != "0"))
}

func runCase(title, program, recordFile, logs string, disrupted bool) int {
	c, ok := cases[title]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", title)

		return exitNotRun
	}

	violations, err := playCase(c, program, recordFile, logs, disrupted)

	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)

		return exitNotRun
	case len(violations) > 0:
		for _, v := range violations {
			fmt.Println("broken:", v)
		}

		return exitBroken
	default:
		fmt.Println("held")

		return exitHeld
	}
}

func playCase(c reviewCase, program, recordFile, logs string, disrupted bool) ([]string, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}

	if _, err := os.Stat(path); err != nil {
		return nil, err
	}

	rec, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	defer rec.close()

	if logs == "" {
		if logs, err = os.MkdirTemp("", "review-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(logs)
	}

	d, err := newDeployment(rec, path, logs, c.entries, c.servers)
	if err != nil {
		return nil, err
	}
	defer d.stop()

	if err := d.awaitReady(); err != nil {
		rec.line("not run: %s", err)

		return nil, err
	}

	violations, err := c.play(d, disrupted)
	for _, v := range violations {
		rec.line("broken: %s", v)
	}

	rec.line("%d violations, disrupted: %t", len(violations), disrupted)

	return violations, err
}
