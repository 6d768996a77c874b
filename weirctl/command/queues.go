package command

import (
	"bufio"
	"slices"
	"strconv"
	"strings"
)

// queueGauge is the gauge of all waiting tasks, and kindGauge those of single kinds.
const (
	totalQueueGauge = "weir_entry_queue_tasks"
	kindQueueGauge  = "weir_entry_kind_queue_tasks"
)

// queues returns the gauges of an entry's wait queue from its metrics.
func (s *status) queueRows(entry, name string) ([]queueRow, error) {
	text, err := s.getText(entry, "/metrics")
	if err != nil {
		return nil, err
	}

	var rows []queueRow

	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		line := lines.Text()

		gauge, number, _ := strings.Cut(line, " ")
		kind := "all kinds"

		if gauge != totalQueueGauge {
			label, found := strings.CutPrefix(gauge, kindQueueGauge+`{kind="`)
			if !found {
				continue
			}

			kind = strings.TrimSuffix(label, `"}`)
		}

		v, err := strconv.ParseFloat(number, 64)

		switch {
		case err != nil:
		case gauge == totalQueueGauge:
			// The total goes first; the metrics are in the order of their names.
			rows = slices.Insert(rows, 0, queueRow{name, kind, v})
		default:
			rows = append(rows, queueRow{name, kind, v})
		}
	}

	return rows, nil
}
