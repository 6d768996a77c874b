package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
)

const (
	directoryMode = 0o755
	kindsFile     = "kinds.csv"
	timelineFile  = "timeline.csv"
	reportFile    = "report.md"
)

// WriteReport writes the report of the runs into a directory, which is created: report.md with a table for each load and
// the plots, kinds.csv and timeline.csv. command is the command line that repeats the runs.
func WriteReport(directory, command string, runs []Run) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return merry.Prepend(err, "create the directory of the report")
	}

	scenarios := summarize(runs)
	r := &report{directory: directory}

	r.write(kindsFile, func(w io.Writer) error { return writeKinds(w, scenarios) })
	r.write(timelineFile, func(w io.Writer) error { return writeTimeline(w, scenarios) })

	fmt.Fprintf(&r.text,
		"# Comparison of rules\n\n    %s\n\nThe figures are sums over the seeds: [%s](%s), and over time [%s](%s). ",
		command, kindsFile, kindsFile, timelineFile, timelineFile)
	r.text.WriteString("\"Bound\" is what a scheduler with full knowledge can serve on time at most, more urgent kinds first; a " +
		"rule that does not serve these first may exceed it for the others. \"Capacity free\" is the share of jobs that " +
		"were refused although all of their tasks would have fitted at that moment, the headroom that long tasks may not use included: unknown to the entry by its reports, and known.\n")

	for _, load := range groupByLoad(scenarios) {
		r.addLoad(load)
	}

	r.write(reportFile, func(w io.Writer) error {
		_, err := io.WriteString(w, r.text.String())

		return err
	})

	return r.err
}

// report collects the text of a report and the first error.
type report struct {
	directory string
	text      strings.Builder
	err       error
}

// write creates a file of the report, unless there was an error before.
func (r *report) write(name string, content func(io.Writer) error) {
	if r.err != nil {
		return
	}

	f, err := os.Create(filepath.Join(r.directory, name))
	if err != nil {
		r.err = merry.Prepend(err, "create a file of the report")

		return
	}

	r.err = content(f)

	if err := f.Close(); r.err == nil && err != nil {
		r.err = merry.Prependf(err, "write %s", name)
	}
}

// addLoad adds the section of a load, whose scenarios differ in the rule.
func (r *report) addLoad(scenarios []*scenario) {
	name := scenarios[0].load.name
	fmt.Fprintf(&r.text, "\n## %s\n\n", name)
	r.text.WriteString("| rule | kind | jobs | on time | of the bound | late | refused | capacity free: unknown, known |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")

	for _, s := range scenarios {
		for _, k := range s.kinds {
			fmt.Fprintf(&r.text, "| %s | %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f, %.3f |\n", s.rule.name, k.name, k.jobs,
				k.share(k.onTime), k.shareOfBound(), k.share(k.late), k.share(k.refused), k.share(k.refusedUnknown),
				k.share(k.refusedKnown))
		}
	}

	r.text.WriteString("\n")
	r.addChart(name+"-served.svg", servedChart(scenarios))
	r.addChart(name+"-refused.svg", refusedChart(scenarios))
	r.addChart(name+"-cpu.svg", usageChart(scenarios))

	for n, k := range scenarios[0].kinds {
		r.addChart(fmt.Sprintf("%s-response-%s.svg", name, k.name), stretchChart(scenarios, n))
	}
}

func (r *report) addChart(file string, c chart) {
	r.write(file, c.writeSVG)
	fmt.Fprintf(&r.text, "![%s](%s)\n", c.title, file)
}

// groupByLoad splits scenarios in the order of loads by their load.
func groupByLoad(scenarios []*scenario) [][]*scenario {
	var groups [][]*scenario

	for _, s := range scenarios {
		last := len(groups) - 1
		if last >= 0 && groups[last][0].load.name == s.load.name {
			groups[last] = append(groups[last], s)

			continue
		}

		groups = append(groups, []*scenario{s})
	}

	return groups
}
