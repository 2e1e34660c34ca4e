package capacity

import (
	"math"
	"testing"
)

// Values that follow a law exactly are fitted by that law, with its parameters.
func TestBestFit(t *testing.T) {
	x := []float64{60, 240, 480, 930}
	for _, law := range []Law{Linear, Logarithmic, Quadratic} {
		y := make([]float64, len(x))
		for i := range x {
			y[i] = 7 + 3*law.term(x[i])
		}
		got := BestFit(x, y)
		if got.Law != law || got.R2 < 0.999 {
			t.Errorf("%s: %+v", law, got)
		}
		if math.Abs(got.A-7) > 1e-6 || math.Abs(got.B-3) > 1e-6 || math.Abs(got.At(930)-y[3]) > 1e-3 {
			t.Errorf("%s: %+v", law, got)
		}
	}
	if got := BestFit(x, []float64{5, 5, 5, 5}); got.Law != Constant || got.At(77) != 5 {
		t.Errorf("%+v", got)
	}
}

func TestConfidenceInterval(t *testing.T) {
	mean, halfWidth := confidenceInterval([]float64{10, 12, 14})
	if mean != 12 || math.Abs(halfWidth-4.968) > 0.01 {
		t.Errorf("%v ± %v", mean, halfWidth)
	}
}
