package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// confidence is the number of standard errors by which an effect must differ from zero. It is high because every
	// server is tested four times a second.
	confidence = 4.5
	// minLabelEffect and minServerEffect are the least effects that are reported, as logarithms. Smaller ones would cost
	// the random spread of tasks and save little.
	minLabelEffect, minServerEffect = 0.12, 0.25
	// keepShare is the part of the confidence and of the least effect with which an effect that is known stays so, so that
	// it does not come and go.
	keepShare = 0.6
	// minLabelWeight and minServerWeight are the least numbers of tasks, aged.
	minLabelWeight, minServerWeight = 50, 30
	// minLabelServers is the least number of servers with a label; below it, a single server decides the mean.
	minLabelServers = 3
	// maxOutlier winsorizes the servers with a label around their median, so that one slow server does not count for all.
	maxOutlier = 0.5
	// fullWeight is the weight from which a server counts fully in the reference.
	fullWeight = staleWeight
)

// effects are the known effects on the run time of one kind, as logarithms of the ratio to the reference.
type effects struct {
	labels  map[string]labelEffect
	servers map[string]float64
}

// labelEffect is the effect of a label and its certainty: the part of it beyond the required number of standard errors.
type labelEffect struct {
	effect, certainty float64
}

// ofLabels returns the most certain effect of the labels. Labels of one server are not added up: where all servers of a
// rack are of one kind, both labels have the same effect.
func (e *effects) ofLabels(labels []string) (float64, bool) {
	var best labelEffect

	for _, l := range labels {
		if x, ok := e.labels[l]; ok && x.certainty > best.certainty {
			best = x
		}
	}

	return best.effect, best.certainty > 0
}

// weightedMean is the mean of one server's logarithms with its weight at the time of the computation.
type weightedMean struct {
	mean, weight, squaredError float64
}

func (k *Kind) compute(now time.Duration) *effects {
	e := &effects{labels: map[string]labelEffect{}, servers: map[string]float64{}}
	byLabel := map[string][]weightedMean{}
	reference, total := 0.0, 0.0

	for _, c := range k.servers {
		w := c.weightAt(now)
		if w < 0.5 {
			continue
		}

		share := min(w, fullWeight)
		reference += share * math.Exp(c.mean)
		total += share

		for _, l := range c.labels {
			if _, ok := byLabel[l]; ok || len(byLabel) < MaxLabels {
				byLabel[l] = append(byLabel[l], weightedMean{c.mean, w, c.squaredError(w)})
			}
		}
	}

	if total == 0 {
		return e
	}

	reference = math.Log(reference / total)

	for l, means := range byLabel {
		if x, ok := effectOf(means, reference, required(k.effects.knowsLabel(l))); ok {
			e.labels[l] = x
		}
	}

	for name, c := range k.servers {
		k.addServer(e, name, c, c.weightAt(now), reference)
	}

	return e
}

// addServer adds the effect of a server whose run times differ from those that its labels explain.
func (k *Kind) addServer(e *effects, name string, c *cell, weight, reference float64) {
	if weight < minServerWeight {
		return
	}

	explained, _ := e.ofLabels(c.labels)
	own := c.mean - reference
	share := required(k.effects.knowsServer(name))

	if difference := math.Abs(own - explained); difference >= share*minServerEffect &&
		difference > share*confidence*math.Sqrt(c.squaredError(weight)) {
		e.servers[name] = own
	}
}

// required returns the part of the confidence and of the least effect that an effect requires.
func required(known bool) float64 {
	if known {
		return keepShare
	}

	return 1
}

// effectOf returns the effect of a label from its servers, and false while it is uncertain. share is the part of the
// confidence and of the least effect that it requires.
func effectOf(servers []weightedMean, reference, share float64) (labelEffect, bool) {
	if len(servers) < minLabelServers {
		return labelEffect{}, false
	}

	median := medianOf(servers)
	sum, total := 0.0, 0.0

	for _, s := range servers {
		sum += s.weight * min(max(s.mean, median-maxOutlier), median+maxOutlier)
		total += s.weight
	}

	if total < minLabelWeight {
		return labelEffect{}, false
	}

	mean := sum / total
	// The error is the larger one of that within the servers and that between them. With a label that says nothing of the
	// speed, such as a rack with servers of several kinds, the latter is large.
	within, between := 0.0, 0.0

	for _, s := range servers {
		share := s.weight / total
		within += share * share * s.squaredError
		between += share * share * (s.mean - mean) * (s.mean - mean)
	}

	effect := mean - reference
	certainty := math.Abs(effect) - share*confidence*math.Sqrt(max(within, between))

	return labelEffect{effect, certainty}, certainty > 0 && math.Abs(effect) >= share*minLabelEffect
}

// medianOf returns the weighted median. It changes the order of servers.
func medianOf(servers []weightedMean) float64 {
	slices.SortFunc(servers, func(a, b weightedMean) int { return cmp.Compare(a.mean, b.mean) })

	half := 0.0
	for _, s := range servers {
		half += s.weight / 2
	}

	for _, s := range servers {
		if half -= s.weight; half <= 0 {
			return s.mean
		}
	}

	return servers[len(servers)-1].mean
}
