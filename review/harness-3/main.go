// Command harness-3 runs one case of the third review. It starts the entries and sidecars of a small deployment as
// separate processes on loopback addresses, with stand-ins of the store, the backend servers and the callers in this
// process. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the result of a case.
type verdict int

// The verdicts are the exit codes.
const (
	held verdict = iota
	broken
	notRun
)

// scenario runs one case. disrupt is false for the run without the disruption.
type scenario func(d *deployment, disrupt bool) (verdict, string)

var scenarios = map[string]scenario{
	"request-ahead":         requestAhead,
	"isolated-cancellation": isolatedCancellation,
	"drain-cut":             drainCut,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness-3 PROGRAM CASE-FOLDER SCENARIO")
		os.Exit(int(notRun))
	}

	os.Exit(int(run(os.Args[1], os.Args[2], os.Args[3])))
}

func run(program, folder, name string) verdict {
	s := scenarios[name]
	if s == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)

		return notRun
	}

	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return notRun
	}
	defer rec.close()

	d, err := newDeployment(program, rec)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)

		return notRun
	}
	defer d.close()

	v, text := s(d, os.Getenv("TROUBLE") != "0")
	rec.printf("verdict %d: %s", v, text)
	fmt.Println(text)

	return v
}
