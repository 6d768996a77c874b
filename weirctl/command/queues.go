package command

import (
	"bufio"
	"strconv"
	"strings"
)

// queueGauge is the name of the gauge of all waiting tasks; those of single kinds have the kind after it.
const queueGauge = "queue_tasks"

// queues returns the gauges of an entry's wait queue from its metrics.
func (s *status) queues(entry, name string) ([]queueRow, error) {
	text, err := s.text(entry, "/metrics")
	if err != nil {
		return nil, err
	}

	var rows []queueRow

	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		line := lines.Text()

		gauge, number, _ := strings.Cut(line, " ")
		if !strings.HasPrefix(gauge, queueGauge) {
			continue
		}

		kind := strings.TrimPrefix(strings.TrimPrefix(gauge, queueGauge), "_")
		if kind == "" {
			kind = "all kinds"
		}

		if v, err := strconv.ParseFloat(number, 64); err == nil {
			rows = append(rows, queueRow{name, kind, v})
		}
	}

	return rows, nil
}
