package runtimes_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/runtimes"
)

// servers is the number of servers of a fleet.
const servers = 70

// fleet is a load of one kind of job on servers of several speeds, as one entry sees it.
type fleet struct {
	model  runtimes.Model
	random *rand.Rand
	now    time.Duration
	// speeds has the speed of each server.
	speeds []float64
	labels [][]string
	// mean is the moving average of run times, in units of the usual run time, as the entry keeps it.
	mean float64
}

func newFleet(seed uint64, speed func(n int) (float64, string)) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), mean: 1}

	for n := range servers {
		v, label := speed(n)
		f.speeds = append(f.speeds, v)
		f.labels = append(f.labels, []string{label, fmt.Sprintf("rack-%d", n%7)})
	}

	return f
}

// run replays jobs of a number of tasks for a time, at random servers: one task in thirty lasts seven times as long, and the
// estimate, which all tasks of a job share, is off by 0.4.
func (f *fleet) run(duration time.Duration, jobsPerSecond, tasks int) {
	for end := f.now + duration; f.now < end; f.now += time.Second / time.Duration(jobsPerSecond) {
		estimate := f.mean * (0.5 + 0.5*math.Exp(0.4*f.random.NormFloat64()))

		for range tasks {
			s := f.random.IntN(len(f.speeds))
			run := math.Exp(0.1*f.random.NormFloat64()) / f.speeds[s]

			if f.random.IntN(30) == 0 {
				run *= 7
			}

			f.observe(s, estimate, run)
			f.mean += 0.05 * (run - f.mean)
		}

		f.model.Kind("fit", f.now)
	}
}

func (f *fleet) observe(server int, estimate, run float64) {
	unit := float64(50 * time.Millisecond)
	f.model.Observe("fit", fmt.Sprint(server), f.labels[server], time.Duration(estimate*unit), time.Duration(run*unit), f.now)
}

func (f *fleet) ratio(server int) (float64, bool) {
	return f.model.Kind("fit", f.now).Ratio(fmt.Sprint(server), f.labels[server])
}

func uniform(int) (float64, string) { return 1, "same" }

func mixed(n int) (float64, string) {
	if n%3 == 0 {
		return 1.7, "fast"
	}

	return 0.7, "slow"
}

// meanOfMixed is the mean run time over the servers of a mixed fleet of 70, 24 of which are fast.
const meanOfMixed = (24/1.7 + 46/0.7) / 70

// Guards against ratios on servers that don't differ, which would concentrate tasks for nothing.
func TestUniformFleetHasNoRatios(t *testing.T) {
	is := is.New(t)
	found := 0

	for seed := range uint64(100) {
		f := newFleet(seed, uniform)

		for range 10 {
			f.run(time.Second, 60, 8)

			if f.model.KnownLabels()+f.model.KnownServers() > 0 {
				found++
			}
		}
	}

	t.Logf("effects in %d of 1000 seconds", found)
	is.Equal(found, 0)
}

// Guards against kinds of server that stay unknown under heavy tails and wrong estimates, also where an entry sees
// few tasks, and against racks that are taken for the reason.
func TestKindsOfServerAreLearned(t *testing.T) {
	is := is.New(t)

	for seed := range uint64(30) {
		f := newFleet(seed, mixed)
		f.run(20*time.Second, 10, 4)

		for n := range servers {
			ratio, known := f.ratio(n)
			want := 1 / f.speeds[n] / meanOfMixed
			is.True(known)
			is.True(math.Abs(math.Log(ratio/want)) < 0.25)
		}

		// A server that has not run the kind has the ratio of its label; one of another label has none.
		ratio, known := f.model.Kind("fit", f.now).Ratio("new", []string{"fast"})
		is.True(known && ratio < 0.7)

		_, known = f.model.Kind("fit", f.now).Ratio("new", []string{"other"})
		is.True(!known)

		_, known = f.model.Kind("scan", f.now).Ratio("0", f.labels[0])
		is.True(!known)
	}
}

// Guards against a server that turns slow and isn't told apart from the others of its kind, against one that counts as slow
// for its whole kind, and against one that stays slow for the model after it has recovered.
func TestServerThatTurnsSlowAndRecovers(t *testing.T) {
	is := is.New(t)

	for seed := range uint64(20) {
		f := newFleet(seed, uniform)
		f.run(10*time.Second, 60, 8)

		f.speeds[3] = 1.0 / 3
		f.run(20*time.Second, 60, 8)

		ratio, known := f.ratio(3)
		is.True(known && ratio > 2)

		_, known = f.ratio(4)
		is.True(!known)

		f.speeds[3] = 1
		f.run(40*time.Second, 60, 8)

		_, known = f.ratio(3)
		is.True(!known)
	}
}

// Guards against a server that gets no tasks because it was slow, and is therefore never seen to have recovered.
func TestRatioOfIdleServerExpires(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, uniform)
	f.speeds[3] = 1.0 / 3
	f.run(20*time.Second, 60, 8)

	_, known := f.ratio(3)
	is.True(known)

	idle := f.now
	for f.now < idle+25*time.Second { // the others go on
		f.now += 10 * time.Millisecond
		f.observe(4+f.random.IntN(60), 1, 1)
	}

	_, known = f.ratio(3)
	is.True(!known)

	f.speeds[3] = 1
	f.run(20*time.Second, 60, 8)

	_, known = f.ratio(3)
	is.True(!known)
}

// Guards against memory that grows with the names of kinds, servers and labels, and against modelling servers without labels.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)

	var m runtimes.Model

	for n := range 4 * runtimes.MaxServers {
		name := fmt.Sprint(n)
		m.Observe(name, "server", []string{"a"}, time.Second, time.Second, 0)
		m.Observe("kind", name, []string{"a"}, time.Second, time.Second, 0)
		m.Observe("0", name, nil, time.Second, time.Second, 0)
	}

	kinds, cells := m.Size()
	is.Equal(kinds, runtimes.MaxKinds)
	is.True(cells <= runtimes.MaxServers+runtimes.MaxKinds)
}
