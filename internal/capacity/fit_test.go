package capacity

import (
	"math"
	"testing"
)

// Checks that values which follow a law exactly are fitted by that law with its parameters, and that equal values are
// fitted as constant.
func TestBestFit(t *testing.T) {
	x := []float64{60, 240, 480, 930}
	for _, law := range []Law{Linear, Logarithmic, Quadratic} {
		y := make([]float64, len(x))
		for i := range x {
			y[i] = 7 + 3*law.term(x[i])
		}
		got := BestFit(x, y)
		if got.Law != law || got.R2 < 0.999 {
			t.Errorf("%s: fitted as %+v", law, got)
		}
		if math.Abs(got.A-7) > 1e-6 || math.Abs(got.B-3) > 1e-6 || math.Abs(got.At(930)-y[3]) > 1e-3 {
			t.Errorf("%s: got %+v, want A = 7 and B = 3", law, got)
		}
	}
	if got := BestFit(x, []float64{5, 5, 5, 5}); got.Law != Constant || got.At(77) != 5 {
		t.Errorf("equal values: got %+v, want a constant 5", got)
	}
}

func TestConfidenceInterval(t *testing.T) {
	mean, halfWidth := confidenceInterval([]float64{10, 12, 14})
	if mean != 12 || math.Abs(halfWidth-4.968) > 0.01 {
		t.Errorf("got %v ± %v, want 12 ± 4.968", mean, halfWidth)
	}
}
