package scenario

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// Metrics returns the sums of the metrics of the running entries and sidecars, by name with labels and by name alone.
// If names are given, only these processes count.
func (s *System) Metrics(ctx context.Context, names ...string) map[string]float64 {
	s.tb.Helper()

	sum := map[string]float64{}

	selected := func(name string, p *cluster.Process) bool {
		return p.Running() && (len(names) == 0 || slices.Contains(names, name))
	}

	for _, e := range s.cluster.Entries() {
		if selected(e.Name(), e.Process()) {
			s.must(scrape(ctx, e.AdminURL(), sum))
		}
	}

	for _, w := range s.cluster.Workers() {
		if selected(w.Name(), w.Sidecar()) {
			s.must(scrape(ctx, w.AdminURL(), sum))
		}
	}

	return sum
}

// scrape adds the metrics of a process to sum.
func scrape(ctx context.Context, admin string, sum map[string]float64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/metrics", http.NoBody)
	if err != nil {
		return err
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()

	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}

		base, _, _ := strings.Cut(name, "{")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			sum[base] += v

			if name != base {
				sum[name] += v
			}
		}
	}

	return lines.Err()
}

// CoreTime returns the core time that the tasks selected by include used between two times. A task without an end
// counts as running until the second time.
func CoreTime(starts []cluster.TaskStart, from, to time.Time, include func(s cluster.TaskStart) bool) time.Duration {
	sum := time.Duration(0)

	for _, s := range starts {
		begin, end := s.Begin(), s.End()
		if begin.Before(from) {
			begin = from
		}

		if end.IsZero() || end.After(to) {
			end = to
		}

		if end.After(begin) && include(s) {
			sum += end.Sub(begin)
		}
	}

	return sum
}
