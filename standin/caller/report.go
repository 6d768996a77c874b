package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms hold response times in microseconds up to 10 minutes, and ratios in thousandths up to 1,000,000.
	maxResponseMicros = int64(10 * time.Minute / time.Microsecond)
	maxScaledRatio    = 1_000_000_000
	significantDigits = 3
	ratioScale        = 1000
)

// Report aggregates the records of a run. Its methods may be called from several goroutines.
type Report struct {
	mutex sync.Mutex
	all   *Statistics
	kinds map[string]*Statistics
	// arrivalPeriod is the time during which submissions arrived, totalTime the time until the last answer.
	arrivalPeriod, totalTime time.Duration
}

// Statistics aggregates the records of one kind or of all kinds.
type Statistics struct {
	submitted, complete, wrong, resubmitted int
	// refused counts submissions without a complete answer by error code and by which tasks ran.
	refused map[string]int
	// coreTime is the sum over complete answers of the run time of each task times its cores.
	coreTime                      time.Duration
	responseTimes, responseRatios *hdrhistogram.Histogram
}

// NewReport returns a report without records.
func NewReport() *Report { return &Report{all: newStatistics(), kinds: map[string]*Statistics{}} }

func newStatistics() *Statistics {
	return &Statistics{
		refused:        map[string]int{},
		responseTimes:  hdrhistogram.New(1, maxResponseMicros, significantDigits),
		responseRatios: hdrhistogram.New(1, maxScaledRatio, significantDigits),
	}
}

// Add adds a record to the statistics of its kind and of all kinds.
func (r *Report) Add(rec *Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	k := r.kinds[rec.submission.kind]
	if k == nil {
		k = newStatistics()
		r.kinds[rec.submission.kind] = k
	}

	k.add(rec)
	r.all.add(rec)
}

func (s *Statistics) add(r *Record) {
	s.submitted++

	if r.AttemptCount() > 1 {
		s.resubmitted++
	}

	if r.Wrong() {
		s.wrong++
	}

	if !r.Complete() {
		s.refused[r.Code()+" ran "+r.Ran()]++

		return
	}

	s.complete++
	s.coreTime += r.submission.coreTime
	_ = s.responseTimes.RecordValue(min(max(r.ResponseTime().Microseconds(), 1), maxResponseMicros))

	if ideal := r.submission.idealTime; ideal > 0 {
		_ = s.responseRatios.RecordValue(min(int64(float64(r.ResponseTime())/float64(ideal)*ratioScale), maxScaledRatio))
	}
}

func (r *Report) setDurations(generated, total time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.arrivalPeriod, r.totalTime = generated, total
}

// TotalTime returns the time from the start to the last answer.
func (r *Report) TotalTime() time.Duration { return r.totalTime }

// All returns the statistics over all kinds.
func (r *Report) All() *Statistics { return r.all }

// Kind returns the statistics of one kind, which are empty if it had no submissions.
func (r *Report) Kind(name string) *Statistics {
	if s := r.kinds[name]; s != nil {
		return s
	}

	return newStatistics()
}

// Submitted returns the number of submissions, answered or not.
func (s *Statistics) Submitted() int { return s.submitted }

// Complete returns the number of complete answers that passed the checks.
func (s *Statistics) Complete() int { return s.complete }

// Wrong returns the number of submissions with an answer that failed the checks.
func (s *Statistics) Wrong() int { return s.wrong }

// Resubmitted returns the number of submissions with more than one attempt.
func (s *Statistics) Resubmitted() int { return s.resubmitted }

// Refused returns the number of submissions without a complete answer, by error code and by which tasks ran.
func (s *Statistics) Refused() map[string]int { return maps.Clone(s.refused) }

// CoreTime returns the sum over complete answers of the run time of each task times its cores.
func (s *Statistics) CoreTime() time.Duration { return s.coreTime }

// ResponseTime returns a percentile (0 to 100) of the response times of complete answers.
func (s *Statistics) ResponseTime(percentile float64) time.Duration {
	return time.Duration(s.responseTimes.ValueAtQuantile(percentile)) * time.Microsecond
}

// ResponseRatio returns a percentile (0 to 100) of the ratio of response time to ideal time of complete answers.
func (s *Statistics) ResponseRatio(percentile float64) float64 {
	return float64(s.responseRatios.ValueAtQuantile(percentile)) / ratioScale
}

// reportBody is the JSON form of a report.
type reportBody struct {
	GeneratedS float64                   `json:"generated_s"`
	TotalS     float64                   `json:"total_s"`
	All        statisticsBody            `json:"all"`
	Kinds      map[string]statisticsBody `json:"kinds"`
}

type statisticsBody struct {
	Submitted   int            `json:"submitted"`
	Complete    int            `json:"complete"`
	Wrong       int            `json:"wrong"`
	Resubmitted int            `json:"resubmitted"`
	Refused     map[string]int `json:"refused"`
	// GoodputSlots is the mean number of cores that ran tasks of complete answers, over the total time.
	GoodputSlots float64 `json:"goodput_slots"`
	// GoodputRate is the number of complete answers per second of the arrival period.
	GoodputRate   float64 `json:"goodput_per_s"`
	ResponseP50MS float64 `json:"response_p50_ms"`
	ResponseP99MS float64 `json:"response_p99_ms"`
	RatioP50      float64 `json:"ratio_p50"`
	RatioP99      float64 `json:"ratio_p99"`
}

func (s *Statistics) body(generated, total time.Duration) statisticsBody {
	b := statisticsBody{
		Submitted: s.submitted, Complete: s.complete, Wrong: s.wrong, Resubmitted: s.resubmitted, Refused: s.refused,
		ResponseP50MS: milliseconds(s.ResponseTime(50)), ResponseP99MS: milliseconds(s.ResponseTime(99)),
		RatioP50: s.ResponseRatio(50), RatioP99: s.ResponseRatio(99),
	}

	if generated > 0 {
		b.GoodputRate = float64(s.complete) / generated.Seconds()
		b.GoodputSlots = s.coreTime.Seconds() / total.Seconds()
	}

	return b
}

func (r *Report) body() reportBody {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	b := reportBody{
		r.arrivalPeriod.Seconds(), r.totalTime.Seconds(), r.all.body(r.arrivalPeriod, r.totalTime),
		map[string]statisticsBody{},
	}

	for name, s := range r.kinds {
		b.Kinds[name] = s.body(r.arrivalPeriod, r.totalTime)
	}

	return b
}

// MarshalJSON returns the form of a report that programs read.
func (r *Report) MarshalJSON() ([]byte, error) { return json.Marshal(r.body()) }

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	b := r.body()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)

	fmt.Fprintln(t, "KIND\tSUBMITTED\tCOMPLETE\tRESUBMITTED\tWRONG\tRESPONSE P50\tP99\tOVER IDEAL P50\tP99\tGOODPUT\t")

	for _, name := range append(slices.Sorted(maps.Keys(b.Kinds)), "all") {
		s, ok := b.Kinds[name]
		if !ok || name == "all" {
			s = b.All
		}

		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f ms\t%.1f ms\t%.2f\t%.2f\t%.2f slots\t\n", name, s.Submitted, s.Complete,
			s.Resubmitted, s.Wrong, s.ResponseP50MS, s.ResponseP99MS, s.RatioP50, s.RatioP99, s.GoodputSlots)
	}

	_ = t.Flush()

	for _, reason := range slices.Sorted(maps.Keys(b.All.Refused)) {
		fmt.Fprintf(w, "refused: %s: %d\n", reason, b.All.Refused[reason])
	}

	fmt.Fprintf(w, "submissions arrived for %.1f s, the last answer came after %.1f s\n", b.GeneratedS, b.TotalS)
}
