package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Law names how a measure grows with the number of brokers.
type Law string

// The laws. The empty Law is none.
const (
	Constant    Law = "constant"
	Linear      Law = "linear"
	Logarithmic Law = "logarithmic"
	Quadratic   Law = "quadratic"
)

// term is the part of a law that grows.
func (l Law) term(x float64) float64 {
	switch l {
	case Linear:
		return x
	case Logarithmic:
		return math.Log(x)
	case Quadratic:
		return x * x
	default:
		return 0
	}
}

// Fit is how a measure grows with the number of brokers: A + B times the law's term.
type Fit struct {
	Law  Law
	A, B float64
	R2   float64 // coefficient of determination
	N    int     // runs
}

// At is the value of the fit at a number of brokers.
func (f Fit) At(x float64) float64 { return f.A + f.B*f.Law.term(x) }

// BestFit is the law with the highest R², of those with two parameters each; where nothing changes it is constant.
func BestFit(x, y []float64) Fit {
	if slices.Max(y) == slices.Min(y) {
		return Fit{Law: Constant, A: y[0], R2: 1, N: len(x)}
	}
	best := Fit{R2: math.Inf(-1), N: len(x)}
	for _, law := range []Law{Linear, Logarithmic, Quadratic} {
		terms := make([]float64, len(x))
		for i := range x {
			terms[i] = law.term(x[i])
		}
		a, b := stat.LinearRegression(terms, y, nil, false)
		if r2 := stat.RSquared(terms, y, nil, a, b); r2 > best.R2 {
			best = Fit{Law: law, A: a, B: b, R2: r2, N: len(x)}
		}
	}
	return best
}

// upperQuantile of Student's t bounds the 95% confidence interval of a mean.
const upperQuantile = 0.975

// confidenceInterval returns the mean and the half width of its 95% confidence interval, 0 for a single value.
func confidenceInterval(values []float64) (mean, halfWidth float64) {
	mean = stat.Mean(values, nil)
	n := float64(len(values))
	if n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(upperQuantile)
		halfWidth = t * stat.StdDev(values, nil) / math.Sqrt(n)
	}
	return mean, halfWidth
}
