package jobmemory

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// maxPerFrame limits the cancellations in one frame.
const maxPerFrame = 256

// CancellationFrames returns frames that tell of cancelled jobs, none if there are none.
func CancellationFrames(all []Cancellation) []*wire.Frame {
	var frames []*wire.Frame

	for len(all) > 0 {
		n := min(len(all), maxPerFrame)
		jobs := make([]*wire.Cancellation, 0, n)

		for _, c := range all[:n] {
			jobs = append(jobs, wire.Cancellation_builder{Job: c.ID(), AgeMs: uint32(c.Age().Milliseconds())}.Build())
		}

		frames = append(frames, wire.Frame_builder{Cancellations: wire.Cancellations_builder{Jobs: jobs}.Build()}.Build())
		all = all[n:]
	}

	return frames
}

// DecodeCancellations returns the cancelled jobs that a frame tells of.
func DecodeCancellations(m *wire.Cancellations) []Cancellation {
	all := make([]Cancellation, 0, len(m.GetJobs()))

	for _, c := range m.GetJobs() {
		all = append(all, NewCancellation(c.GetJob(), time.Duration(c.GetAgeMs())*time.Millisecond))
	}

	return all
}
