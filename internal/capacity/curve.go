package capacity

import "slices"

// minSizes is how many sizes of the fleet a fit needs. Lower, two points would name a law; higher, roles that only
// large fleets have get none.
const minSizes = 3

// Curve is how a measure of a role grows with the number of brokers.
type Curve struct {
	SeparateControl bool // the control side runs in separate processes
	Role            string
	X, Y            []float64 // of each run: brokers, and the measure of the one that has most
	Fit             Fit       // its Law is empty below minSizes
}

// newCurve takes a measure in a role over the standard cells.
func newCurve(runs Runs, separateControl bool, role string, m measure) Curve {
	curve := Curve{SeparateControl: separateControl, Role: role}
	for _, c := range Grid {
		r := runs[c.Name()]
		if r == nil || c != standardCell(c.Brokers, c.Seed).withSeparateControl(separateControl) {
			continue
		}
		if s := m.of(r, role); s.brokers > 0 {
			curve.X = append(curve.X, float64(c.Brokers))
			curve.Y = append(curve.Y, s.max)
		}
	}
	sizes := slices.Compact(slices.Sorted(slices.Values(curve.X)))
	if len(sizes) >= minSizes {
		curve.Fit = BestFit(curve.X, curve.Y)
	}
	return curve
}

// Chart is a measure with its curves by role.
type Chart struct {
	Measure string
	Budget  float64
	Curves  []Curve
}

// Charts are the measures that have a budget, with the runs that show how they grow.
func Charts(runs Runs) (charts []Chart) {
	for _, m := range measures {
		if m.budget == 0 {
			continue
		}
		chart := Chart{Measure: m.title, Budget: m.budget, Curves: curves(runs, m)}
		if len(chart.Curves) > 0 {
			charts = append(charts, chart)
		}
	}
	return charts
}

// curves are those of a measure, for the roles that have runs.
func curves(runs Runs, m measure) (all []Curve) {
	for _, separateControl := range controlModes {
		for _, role := range Roles {
			if c := newCurve(runs, separateControl, role, m); len(c.X) > 0 {
				all = append(all, c)
			}
		}
	}
	return all
}
