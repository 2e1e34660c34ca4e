package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Law is the form of a measure's growth with the number of brokers.
type Law string

// The laws. The empty Law means that there is no fit.
const (
	Constant    Law = "constant"
	Linear      Law = "linear"
	Logarithmic Law = "logarithmic"
	Quadratic   Law = "quadratic"
)

// term returns the growing term of the law for x brokers.
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

// Fit is a measure as a function of the number of brokers: A + B times the law's term.
type Fit struct {
	Law  Law
	A, B float64
	R2   float64 // coefficient of determination
	N    int     // number of runs
}

// At returns the fitted value for x brokers.
func (f Fit) At(x float64) float64 { return f.A + f.B*f.Law.term(x) }

// BestFit returns the fit with the highest R² among the linear, logarithmic and quadratic laws, which have two
// parameters each. If all values of y are equal, it returns a Constant fit.
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

// upperQuantile is the quantile of Student's t distribution that bounds a mean's 95% confidence interval.
const upperQuantile = 0.975

// confidenceInterval returns the mean and the half width of its 95% confidence interval. The half width of a single
// value is 0.
func confidenceInterval(values []float64) (mean, halfWidth float64) {
	mean = stat.Mean(values, nil)
	n := float64(len(values))
	if n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(upperQuantile)
		halfWidth = t * stat.StdDev(values, nil) / math.Sqrt(n)
	}
	return mean, halfWidth
}
