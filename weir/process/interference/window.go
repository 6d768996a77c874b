package interference

import (
	"math"
	"time"
)

// sample is an observation as a window keeps it.
type sample struct {
	at     time.Duration
	server uint32
	// logRun is the logarithm of the run time in milliseconds, load the used part of the server's CPU, and pace how slow the
	// server was for other kinds.
	logRun, load, pace float32
	// shares has the share of the run time beside each kind, in 1/255.
	shares [MaxKinds]uint8
}

// window holds the newest samples of a kind, in a ring once it is full.
type window struct {
	samples []sample
	next    int
	// added counts the samples since the last fit, lastAt is the time of the newest one.
	added  int
	lastAt time.Duration
	// typical is the moving average of logRun without its outliers, count the number of observations in it.
	typical float64
	count   int
	seenAt  time.Duration
}

// wants reports whether the window takes a sample: a frequent kind is thinned out, so that the window spans several
// arrangements of tasks.
func (w *window) wants(now time.Duration) bool {
	return len(w.samples) == 0 || now-w.lastAt >= minWindowSpan/windowSize
}

func (w *window) add(s sample) {
	w.added++
	w.lastAt = s.at

	if len(w.samples) < windowSize {
		w.samples = append(w.samples, s)

		return
	}

	w.samples[w.next] = s
	w.next = (w.next + 1) % windowSize
}

// deviation returns by how much a logarithm of a run time is above the typical one, limited so that outliers count
// little, and adds it to the typical one.
func (w *window) deviation(logRun float64) float64 {
	w.count++

	if w.count == 1 {
		w.typical = logRun
	}

	d := min(maxDeviation, max(-maxDeviation, logRun-w.typical))
	w.typical += d * max(typicalWeight, 1/float64(w.count))

	return d
}

// clearNeighbour removes a kind from the samples, as its place is used for another one.
func (w *window) clearNeighbour(index int) {
	for i := range w.samples {
		w.samples[i].shares[index] = 0
	}
}

// pace is how slow a server is for each kind, in proportion to other servers.
type pace struct {
	id     uint32
	seenAt time.Duration
	kinds  [MaxKinds]struct {
		mean   float32
		count  uint16
		seenAt time.Duration
	}
}

// record adds the deviation of a run time of a kind.
func (p *pace) record(index int, deviation float64, now time.Duration) {
	k := &p.kinds[index]

	if now-k.seenAt > paceMemory {
		k.mean, k.count = 0, 0
	}

	k.count = min(k.count+1, math.MaxUint16-1)
	k.seenAt = now
	k.mean += float32(max(paceWeight, 1/float64(k.count)) * (deviation - float64(k.mean)))
}

// without returns the mean over the other kinds, zero if it is not known.
func (p *pace) without(index int, now time.Duration) float64 {
	sum, weight := 0.0, 0.0

	for i, k := range p.kinds {
		if i != index && k.count > 0 && now-k.seenAt <= paceMemory {
			w := min(1/paceWeight, float64(k.count))
			sum += w * float64(k.mean)
			weight += w
		}
	}

	// Few run times say little about the server, so they count as if some usual ones had been seen, too.
	return sum / (weight + 1/paceWeight)
}
