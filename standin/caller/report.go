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
	// Responses are kept in microseconds up to ten minutes, ratios in thousandths up to a million.
	maxResponse = int64(10 * time.Minute / time.Microsecond)
	maxRatio    = 1_000_000_000
	digits      = 3
	ratioScale  = 1000
)

// Report adds up the records of a run. The methods may be called from several goroutines.
type Report struct {
	mutex sync.Mutex
	all   *Sums
	kinds map[string]*Sums
	// generated is the time during which submissions arrived, total until the last answer.
	generated, total time.Duration
}

// Sums are the figures of one kind or of all.
type Sums struct {
	submitted, complete, wrong, resubmitted int
	// refused counts by code and ran.
	refused map[string]int
	// work is the core time of complete answers.
	work            time.Duration
	response, ratio *hdrhistogram.Histogram
}

// NewReport returns an empty report.
func NewReport() *Report { return &Report{all: newSums(), kinds: map[string]*Sums{}} }

func newSums() *Sums {
	return &Sums{
		refused:  map[string]int{},
		response: hdrhistogram.New(1, maxResponse, digits),
		ratio:    hdrhistogram.New(1, maxRatio, digits),
	}
}

// Add adds a record.
func (r *Report) Add(rec *Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	k := r.kinds[rec.submission.kind]
	if k == nil {
		k = newSums()
		r.kinds[rec.submission.kind] = k
	}

	k.add(rec)
	r.all.add(rec)
}

func (s *Sums) add(r *Record) {
	s.submitted++

	if r.Attempts() > 1 {
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
	s.work += r.submission.work
	_ = s.response.RecordValue(min(max(r.Response().Microseconds(), 1), maxResponse))

	if ideal := r.submission.ideal; ideal > 0 {
		_ = s.ratio.RecordValue(min(int64(float64(r.Response())/float64(ideal)*ratioScale), maxRatio))
	}
}

func (r *Report) finish(generated, total time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.generated, r.total = generated, total
}

// Total returns the time until the last answer.
func (r *Report) Total() time.Duration { return r.total }

// All returns the figures of all kinds.
func (r *Report) All() *Sums { return r.all }

// Kind returns the figures of one kind.
func (r *Report) Kind(name string) *Sums {
	if s := r.kinds[name]; s != nil {
		return s
	}

	return newSums()
}

// Submitted returns the number of submissions.
func (s *Sums) Submitted() int { return s.submitted }

// Complete returns the number of whole answers.
func (s *Sums) Complete() int { return s.complete }

// Wrong returns the number of answers that did not pass the checks.
func (s *Sums) Wrong() int { return s.wrong }

// Resubmitted returns the number of submissions that were sent more than once.
func (s *Sums) Resubmitted() int { return s.resubmitted }

// Refused returns the number of submissions without a whole answer by code and ran.
func (s *Sums) Refused() map[string]int { return maps.Clone(s.refused) }

// Work returns the core time of the complete answers.
func (s *Sums) Work() time.Duration { return s.work }

// Response returns a percentile (0 to 100) of the response time of whole answers.
func (s *Sums) Response(percentile float64) time.Duration {
	return time.Duration(s.response.ValueAtQuantile(percentile)) * time.Microsecond
}

// Ratio returns a percentile (0 to 100) of response time over ideal time of whole answers.
func (s *Sums) Ratio(percentile float64) float64 {
	return float64(s.ratio.ValueAtQuantile(percentile)) / ratioScale
}

// reportBody is the JSON form.
type reportBody struct {
	GeneratedS float64             `json:"generated_s"`
	TotalS     float64             `json:"total_s"`
	All        sumsBody            `json:"all"`
	Kinds      map[string]sumsBody `json:"kinds"`
}

type sumsBody struct {
	Submitted   int            `json:"submitted"`
	Complete    int            `json:"complete"`
	Wrong       int            `json:"wrong"`
	Resubmitted int            `json:"resubmitted"`
	Refused     map[string]int `json:"refused"`
	// GoodputSlots is the mean number of cores that worked on complete answers.
	GoodputSlots float64 `json:"goodput_slots"`
	// GoodputRate is the number of complete answers per second of generated load.
	GoodputRate   float64 `json:"goodput_per_s"`
	ResponseP50MS float64 `json:"response_p50_ms"`
	ResponseP99MS float64 `json:"response_p99_ms"`
	RatioP50      float64 `json:"ratio_p50"`
	RatioP99      float64 `json:"ratio_p99"`
}

func (s *Sums) body(generated, total time.Duration) sumsBody {
	b := sumsBody{
		Submitted: s.submitted, Complete: s.complete, Wrong: s.wrong, Resubmitted: s.resubmitted, Refused: s.refused,
		ResponseP50MS: milliseconds(s.Response(50)), ResponseP99MS: milliseconds(s.Response(99)),
		RatioP50: s.Ratio(50), RatioP99: s.Ratio(99),
	}

	if generated > 0 {
		b.GoodputRate = float64(s.complete) / generated.Seconds()
		b.GoodputSlots = s.work.Seconds() / total.Seconds()
	}

	return b
}

func (r *Report) body() reportBody {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	b := reportBody{r.generated.Seconds(), r.total.Seconds(), r.all.body(r.generated, r.total), map[string]sumsBody{}}
	for name, s := range r.kinds {
		b.Kinds[name] = s.body(r.generated, r.total)
	}

	return b
}

// MarshalJSON returns the form for programs.
func (r *Report) MarshalJSON() ([]byte, error) { return json.Marshal(r.body()) }

// Print writes the form for people.
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
