package command

import (
	"bufio"
	"slices"
	"strconv"
	"strings"
)

// totalQueueGauge is an entry's metric for all queued tasks, and kindQueueGauge that for the queued tasks of one kind.
const (
	totalQueueGauge = "weir_entry_queue_tasks"
	kindQueueGauge  = "weir_entry_kind_queue_tasks"
)

// queueRows returns the numbers of queued tasks from an entry's metrics, in total and by kind.
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
			// The total goes first; in the metrics, which are sorted by name, it comes after the kinds.
			rows = slices.Insert(rows, 0, queueRow{name, kind, v})
		default:
			rows = append(rows, queueRow{name, kind, v})
		}
	}

	return rows, nil
}
