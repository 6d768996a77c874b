package command

import (
	"bufio"
	"strconv"
	"strings"
)

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
		if strings.HasPrefix(line, "#") || !strings.Contains(line, "queue") {
			continue
		}

		// A label's value may hold spaces, the number does not.
		i := strings.LastIndexByte(line, ' ')
		if i < 0 {
			continue
		}

		if v, err := strconv.ParseFloat(line[i+1:], 64); err == nil {
			rows = append(rows, queueRow{name, line[:i], v})
		}
	}

	return rows, nil
}
