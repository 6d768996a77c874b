package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Usage is the resource usage of a process, counted from its start to the time at.
type Usage struct {
	at time.Time
	// cpuTime is the sum over all threads.
	cpuTime time.Duration
	// residentBytes is the resident memory at that time.
	residentBytes float64
	// These count control traffic, without the overhead of QUIC, UDP and IP.
	receivedBytes, sentBytes, frames float64
}

// ReadUsage reads the usage of a process from /proc and from the metrics at its admin URL.
func ReadUsage(ctx context.Context, pid int, admin string) (Usage, error) {
	u := Usage{}

	metrics, err := Metrics(ctx, admin)
	if err != nil {
		return u, err
	}

	found := 0

	for name, value := range metrics {
		for suffix, counter := range map[string]*float64{
			"_control_received_bytes_total": &u.receivedBytes, "_control_sent_bytes_total": &u.sentBytes,
			"_control_frames_total": &u.frames,
		} {
			// Metrics of entries and sidecars differ in the prefix.
			if strings.HasSuffix(name, suffix) {
				*counter = value
				found++
			}
		}
	}

	if found != 3 {
		return u, merry.Errorf("%s has %d of the 3 metrics of control traffic", admin, found)
	}

	if u.cpuTime, err = cpuTime(pid); err != nil {
		return u, err
	}

	u.at = time.Now()
	u.residentBytes, err = residentMemory(pid)

	return u, err
}

// cpuTime adds up the CPU times of the threads, which are in ns, because /proc/<pid>/stat counts only ticks of 10 ms.
// The time of ended threads is missing, which is little, since Go keeps its threads.
func cpuTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, merry.Errorf("/proc has no threads of process %d", pid)
	}

	var sum int64

	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // The thread has ended.
		}

		first, _, _ := strings.Cut(string(text), " ")

		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, merry.Prepend(err, f)
		}

		sum += ns
	}

	return time.Duration(sum), nil
}

func residentMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, merry.Wrap(err)
	}

	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, merry.Errorf("malformed statm of process %d: %q", pid, text)
	}

	pages, err := strconv.ParseFloat(fields[1], 64)

	return pages * float64(os.Getpagesize()), err
}

// Metrics reads the metrics at an admin URL and adds up those that differ only in labels.
func Metrics(ctx context.Context, admin string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/metrics", http.NoBody)
	if err != nil {
		return nil, merry.Wrap(err)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer response.Body.Close()

	metrics := map[string]float64{}

	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		base, _, _ := strings.Cut(name, "{")

		if v, err := strconv.ParseFloat(value, 64); err == nil {
			metrics[base] += v
		}
	}

	return metrics, merry.Wrap(lines.Err())
}
