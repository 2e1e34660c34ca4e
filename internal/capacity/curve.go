package capacity

import "slices"

// minSizes is the minimum number of distinct fleet sizes for a fit. With a smaller value, two points would be enough
// to select a law. With a larger value, roles that only occur in large fleets would have no fit.
const minSizes = 3

// Curve describes how a measure of a role grows with the number of brokers.
type Curve struct {
	SeparateControl bool // the control side runs in separate processes
	Role            string
	X, Y            []float64 // for each run: the number of brokers, and the largest value among those of the role
	Fit             Fit       // zero if there are fewer than minSizes fleet sizes
}

// newCurve collects a measure of a role from the runs of the standard cells and fits it.
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

// Chart is a measure with one curve per role.
type Chart struct {
	Measure string
	Budget  float64
	Curves  []Curve
}

// Charts returns a chart for each measure that has a budget and at least one curve.
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

// curves returns the curves of a measure, for the roles that occur in the runs.
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
