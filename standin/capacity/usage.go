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

// Usage is what a process has used up to a moment.
type Usage struct {
	at time.Time
	// cpu is the CPU time of all threads.
	cpuTime time.Duration
	// resident is the resident memory in bytes.
	residentBytes float64
	// in, out and frames count control traffic, without the overhead of QUIC, UDP and IP.
	receivedBytes, sentBytes, frames float64
}

// Read reads the usage of a process from /proc and from the metrics at its admin address.
func ReadUsage(ctx context.Context, pid int, admin string) (Usage, error) {
	u := Usage{}

	all, err := Metrics(ctx, admin)
	if err != nil {
		return u, err
	}

	found := 0

	for name, value := range all {
		for suffix, counter := range map[string]*float64{
			"_control_received_bytes_total": &u.receivedBytes, "_control_sent_bytes_total": &u.sentBytes, "_control_frames_total": &u.frames,
		} {
			// Entries and sidecars have different prefixes.
			if strings.HasSuffix(name, suffix) {
				*counter = value
				found++
			}
		}
	}

	if found != 3 {
		return u, merry.Errorf("%s: %d of the 3 metrics of control traffic", admin, found)
	}

	if u.cpuTime, err = cpuTime(pid); err != nil {
		return u, err
	}

	u.at = time.Now()
	u.residentBytes, err = residentMemory(pid)

	return u, err
}

// cpuTime adds up the threads' times in ns, because /proc/<pid>/stat counts ticks of 10 ms only. Go keeps its threads, so
// that hardly any time of ended threads is missed.
func cpuTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, merry.Errorf("no threads of process %d", pid)
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
		return 0, merry.Errorf("statm of process %d: %q", pid, text)
	}

	pages, err := strconv.ParseFloat(fields[1], 64)

	return pages * float64(os.Getpagesize()), err
}

// Metrics reads the metrics at an admin address, adding up those that differ only in labels.
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

	all := map[string]float64{}

	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		base, _, _ := strings.Cut(name, "{")

		if v, err := strconv.ParseFloat(value, 64); err == nil {
			all[base] += v
		}
	}

	return all, merry.Wrap(lines.Err())
}
