package experiment

import (
	"io"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth, plotHeight = 18 * vg.Centimeter, 9 * vg.Centimeter
	// lineWidth is the width of a curve.
	lineWidth = 0.7 * vg.Millimeter
	// legendRoom is the part of the vertical axis that is added for each line of the legend.
	legendRoom = 0.08
	// maxPlottedStretch bounds the axis of response times, in multiples of the ideal one.
	maxPlottedStretch = 6
)

// curve is a line of a plot and its name in the legend.
type curve struct {
	name   string
	points plotter.XYs
}

// chart is a plot of several curves.
type chart struct {
	title, xLabel, yLabel string
	curves                []curve
	// yMax is the upper end of the vertical axis, zero if it follows from the curves.
	yMax float64
}

// writeSVG writes the chart as SVG.
func (c chart) writeSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.xLabel, c.yLabel
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())

	for n, cv := range c.curves {
		line, err := plotter.NewLine(cv.points)
		if err != nil {
			return merry.Prependf(err, "plot %q", cv.name)
		}

		line.Color, line.Dashes = plotutil.Color(n), plotutil.Dashes(n)
		line.Width = lineWidth
		p.Add(line)
		p.Legend.Add(cv.name, line)
	}

	if c.yMax > 0 {
		p.Y.Max = c.yMax
	}

	p.Y.Max *= 1 + legendRoom*float64(len(c.curves))

	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return merry.Prependf(err, "draw %q", c.title)
	}

	if _, err := out.WriteTo(w); err != nil {
		return merry.Prependf(err, "write %q", c.title)
	}

	return nil
}

// servedChart shows, for each rule, the share of the jobs on time over their arrival.
func servedChart(scenarios []*scenario) chart {
	c := chart{title: "Jobs on time", xLabel: "arrival (s)", yLabel: "share of the jobs", yMax: 1}

	for _, s := range scenarios {
		var points plotter.XYs

		for n, b := range s.bins {
			if b.jobs > 0 {
				points = append(points, plotter.XY{X: secondOf(n), Y: float64(b.onTime) / float64(b.jobs)})
			}
		}

		c.curves = append(c.curves, curve{s.rule.name, points})
	}

	return c
}

// usageChart shows, for each rule, the used part of the CPU over time.
func usageChart(scenarios []*scenario) chart {
	c := chart{title: "CPU used by tasks", xLabel: "time (s)", yLabel: "part of the fleet", yMax: 1}

	for _, s := range scenarios {
		points := make(plotter.XYs, 0, len(s.usage))
		for n := range s.usage {
			points = append(points, plotter.XY{X: secondOf(n), Y: s.usageAt(n)})
		}

		c.curves = append(c.curves, curve{s.rule.name, points})
	}

	return c
}

// refusedChart shows, for each rule and cause, the refused jobs in each interval.
func refusedChart(scenarios []*scenario) chart {
	c := chart{title: "Refused jobs by cause", xLabel: "arrival (s)", yLabel: "jobs in 0.5 s"}

	for _, s := range scenarios {
		for _, cause := range s.causes() {
			points := make(plotter.XYs, 0, len(s.bins))
			for n, b := range s.bins {
				points = append(points, plotter.XY{X: secondOf(n), Y: float64(b.refusals[cause])})
			}

			c.curves = append(c.curves, curve{s.rule.name + ": " + cause, points})
		}
	}

	return c
}

// stretchChart shows, for each rule, the share of the jobs of a kind whose response time is at most a multiple of the
// ideal one. Jobs that were refused or never ended lie above the end of the curve.
func stretchChart(scenarios []*scenario, kind int) chart {
	c := chart{
		title: "Response time of " + scenarios[0].kinds[kind].name, xLabel: "multiple of the ideal response time",
		yLabel: "share of all jobs", yMax: 1,
	}

	for _, s := range scenarios {
		k := s.kinds[kind]

		var (
			points plotter.XYs
			count  int64
		)

		for _, b := range k.stretch.Distribution() {
			count += b.Count

			if x := float64(b.To) / 1000; b.Count > 0 && x <= maxPlottedStretch {
				points = append(points, plotter.XY{X: x, Y: k.share(int(count))})
			}
		}

		c.curves = append(c.curves, curve{s.rule.name, points})
	}

	return c
}
