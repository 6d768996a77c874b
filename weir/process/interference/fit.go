package interference

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/mat"
)

const (
	// huberLimit is the residual, in standard deviations, above which a sample counts less. It is the usual choice, which
	// costs 5 % of the precision where all run times are normal.
	huberLimit = 1.345
	// normalMAD is the standard deviation of a normal distribution in proportion to its median absolute deviation.
	normalMAD = 1.4826
	// iterations is the number of refinements of the weights.
	iterations = 5
	// minControlled is the sum of the shares from which a kind is a term of the regression.
	minControlled = 4
	// minVariance is the variance of a term within the servers below which it is left out.
	minVariance = 1e-4
	// maxCondition is the condition number of the terms above which they can't be told apart.
	maxCondition = 1e8
)

// controls returns the terms beside the kinds: the load, with bends since tasks slow down most on a full server, the pace
// of the server for other kinds, and the time, since the run times of a kind may drift everywhere.
func (s sample) controls(now time.Duration) [5]float64 {
	load := float64(s.load)

	return [...]float64{
		load, max(0, load-0.5), max(0, load-0.8), float64(s.pace), float64(now-s.at) / float64(ageTime),
	}
}

// estimate is the effect of a neighbour on the logarithm of the run time.
type estimate struct {
	neighbour        int
	effect, standard float64
	// beside is the number of samples with the neighbour, in full run times.
	beside float64
}

func (e estimate) score() float64 { return e.effect / e.standard }

// regression is a regression of the logarithms of run times of one kind, within servers. Outliers have a low weight.
type regression struct {
	// age has the weights by age, servers the numbers of the samples' servers, from zero; count is the number of servers.
	age     []float64
	servers []int
	count   int
	// rows have the terms, those of the neighbours first, and the logarithm of the run time last.
	rows [][]float64
	// neighbours are the kinds of the first terms, beside the sums of their shares.
	neighbours []int
	beside     []float64
}

// newRegression returns a regression of the samples, without those that are alone at their server.
func newRegression(samples []sample, now time.Duration) *regression {
	perServer := map[uint32]int{}
	for _, s := range samples {
		perServer[s.server]++
	}

	r := &regression{}
	numbers := map[uint32]int{}
	used := make([]sample, 0, len(samples))

	for _, s := range samples {
		if perServer[s.server] < 2 {
			continue
		}

		if _, ok := numbers[s.server]; !ok {
			numbers[s.server] = len(numbers)
		}

		used = append(used, s)
		r.servers = append(r.servers, numbers[s.server])
		r.age = append(r.age, math.Exp(-float64(now-s.at)/float64(ageTime)))
	}

	r.count = len(numbers)
	r.addNeighbours(used)
	r.addRows(used, now)

	return r
}

// addNeighbours finds the kinds that are beside the samples often enough.
func (r *regression) addNeighbours(samples []sample) {
	for j := range MaxKinds {
		sum := 0.0
		for i, s := range samples {
			sum += r.age[i] * float64(s.shares[j]) / math.MaxUint8
		}

		if sum >= minControlled {
			r.neighbours = append(r.neighbours, j)
			r.beside = append(r.beside, sum)
		}
	}
}

func (r *regression) addRows(samples []sample, now time.Duration) {
	r.rows = make([][]float64, len(samples))

	for i, s := range samples {
		controls := s.controls(now)
		row := make([]float64, 0, len(r.neighbours)+len(controls)+1)

		for _, j := range r.neighbours {
			row = append(row, float64(s.shares[j])/math.MaxUint8)
		}

		r.rows[i] = append(append(row, controls[:]...), float64(s.logRun))
	}
}

// dropConstant leaves out the terms that do not vary within the servers.
func (r *regression) dropConstant() {
	varies := make([]bool, len(r.rows[0]))
	rows := r.centred(r.age)

	for j := range varies {
		sum := 0.0
		for _, row := range rows {
			sum += row[j] * row[j]
		}

		varies[j] = j == len(varies)-1 || sum >= minVariance*float64(len(r.rows))
	}

	for i, row := range r.rows {
		kept := row[:0]

		for j, x := range row {
			if varies[j] {
				kept = append(kept, x)
			}
		}

		r.rows[i] = kept
	}

	var neighbours []int

	var beside []float64

	for j := range r.neighbours {
		if varies[j] {
			neighbours, beside = append(neighbours, r.neighbours[j]), append(beside, r.beside[j])
		}
	}

	r.neighbours, r.beside = neighbours, beside
}

// centred returns the rows less the weighted means of their servers.
func (r *regression) centred(weights []float64) [][]float64 {
	width := len(r.rows[0])
	means, totals := make([]float64, r.count*width), make([]float64, r.count)

	for i, row := range r.rows {
		s := r.servers[i]
		totals[s] += weights[i]

		for j, x := range row {
			means[s*width+j] += weights[i] * x
		}
	}

	rows, flat := make([][]float64, len(r.rows)), make([]float64, len(r.rows)*width)

	for i, row := range r.rows {
		s := r.servers[i]
		rows[i] = flat[i*width : (i+1)*width]

		for j, x := range row {
			rows[i][j] = x - means[s*width+j]/totals[s]
		}
	}

	return rows
}

// products returns the sum of the products of the terms with weights.
func products(rows [][]float64, weight func(i int) float64) *mat.SymDense {
	n := len(rows[0]) - 1
	sums := make([]float64, n*n)

	for i, row := range rows {
		w := weight(i)
		if w == 0 {
			continue
		}

		for a, xa := range row[:n] {
			line := sums[a*n : (a+1)*n]
			for b := a; b < n; b++ {
				line[b] += w * xa * row[b]
			}
		}
	}

	return mat.NewSymDense(n, sums)
}

// solution is a solution of a weighted regression.
type solution struct {
	rows         [][]float64
	coefficients *mat.VecDense
	residuals    []float64
	// scale is the robust standard deviation of the residuals, free the number of degrees of freedom.
	scale float64
	free  int
}

// fit estimates the effects of the neighbours, none if the samples are too few or the terms can't be told apart.
func fit(samples []sample, now time.Duration) []estimate {
	r := newRegression(samples, now)
	if len(r.rows) == 0 || len(r.neighbours) == 0 {
		return nil
	}

	r.dropConstant()

	weights := slices.Clone(r.age)

	var last solution

	for range iterations {
		s, ok := r.solve(weights)
		if !ok {
			return nil
		}

		for i, u := range s.residuals {
			weights[i] = r.age[i] * min(1, huberLimit*s.scale/max(math.Abs(u), 1e-12))
		}

		last = s
	}

	return r.estimates(last)
}

// solve solves the regression with weights. It returns false if it has no certain solution.
func (r *regression) solve(weights []float64) (solution, bool) {
	s := solution{rows: r.centred(weights), free: len(r.rows) - r.count - len(r.rows[0]) + 1}
	n := len(r.rows[0]) - 1

	if n == 0 || s.free < minFree {
		return s, false
	}

	var c mat.Cholesky
	if !c.Factorize(products(s.rows, func(i int) float64 { return weights[i] })) || c.Cond() > maxCondition {
		return s, false
	}

	moments := make([]float64, n)

	for i, row := range s.rows {
		for a, x := range row[:n] {
			moments[a] += weights[i] * x * row[n]
		}
	}

	s.coefficients = mat.NewVecDense(n, nil)
	if c.SolveVecTo(s.coefficients, mat.NewVecDense(n, moments)) != nil {
		return s, false
	}

	s.addResiduals()

	return s, true
}

func (s *solution) addResiduals() {
	n := s.coefficients.Len()
	s.residuals = make([]float64, len(s.rows))
	absolute := make([]float64, len(s.rows))

	for i, row := range s.rows {
		u := row[n]
		for a, x := range row[:n] {
			u -= s.coefficients.AtVec(a) * x
		}

		s.residuals[i], absolute[i] = u, math.Abs(u)
	}

	slices.Sort(absolute)
	// Within servers with few samples, the residuals are smaller than the deviations.
	s.scale = max(1e-6, normalMAD*absolute[len(absolute)/2]*math.Sqrt(float64(len(s.rows))/float64(s.free)))
}

// estimates returns the effects with standard errors that allow for residuals of unequal variance.
func (r *regression) estimates(s solution) []estimate {
	limit := huberLimit * s.scale

	// An outlier has a bounded influence, so its derivative is zero.
	var derivative mat.Cholesky
	if !derivative.Factorize(products(s.rows, func(i int) float64 {
		if math.Abs(s.residuals[i]) > limit {
			return 0
		}

		return r.age[i]
	})) || derivative.Cond() > maxCondition {
		return nil
	}

	correction := float64(len(s.rows)) / float64(s.free)
	influences := products(s.rows, func(i int) float64 {
		x := r.age[i] * min(math.Abs(s.residuals[i]), limit)

		return x * x * correction
	})

	var inverse mat.SymDense
	if derivative.InverseTo(&inverse) != nil {
		return nil
	}

	var half, variance mat.Dense

	half.Mul(&inverse, influences)
	variance.Mul(&half, &inverse)

	all := make([]estimate, 0, len(r.neighbours))

	for n, j := range r.neighbours {
		if v := variance.At(n, n); v > 0 {
			all = append(all, estimate{j, s.coefficients.AtVec(n), math.Sqrt(v), r.beside[n]})
		}
	}

	return all
}
