package capacity

import (
	"fmt"
	"slices"
	"strings"

	"junctionwharf/internal/fleetharness"
)

// minR2 is the minimum R² for which the page names a law as the growth of a measure. With a smaller value, the page
// would name laws that fit by chance. With a larger value, the page would call laws unclear that fit well enough for
// planning.
const minR2 = 0.7

// roleRow is a row of the table by role. Its fields are the formatted columns.
type roleRow struct {
	Control, Role, Measure, Mean, Max, Budget, Verdict, Growth string
}

// roleRows returns all rows of the table by role.
func roleRows(runs Runs) (rows []roleRow) {
	for _, separateControl := range controlModes {
		for _, role := range Roles {
			for _, m := range measures {
				if row, exists := newRoleRow(runs, separateControl, role, m); exists {
					rows = append(rows, row)
				}
			}
		}
	}
	return rows
}

// newRoleRow returns the row of a role and a measure. exists is false if no planned run has the role.
func newRoleRow(runs Runs, separateControl bool, role string, m measure) (row roleRow, exists bool) {
	var means, maxima []float64
	for _, r := range plannedRuns(runs, separateControl) {
		if s := m.of(r, role); s.brokers > 0 {
			means = append(means, s.mean)
			maxima = append(maxima, s.max)
		}
	}
	if len(means) == 0 {
		return roleRow{}, false
	}
	row = roleRow{
		Control: controlName(separateControl),
		Role:    role,
		Measure: m.title,
		Mean:    m.formatInterval(means),
		Max:     m.formatInterval(maxima),
		Growth:  newCurve(runs, separateControl, role, m).Fit.describe(),
	}
	switch {
	case m.budget == 0: // no verdict
	case judgedApart(separateControl, role):
		row.Verdict = "on a machine set aside"
	default:
		row.Budget = fmt.Sprintf("%g", m.budget)
		row.Verdict = verdict(slices.Max(maxima), m.budget)
	}
	return row, true
}

func controlName(separateControl bool) string {
	if separateControl {
		return "set aside"
	}
	return "brokers"
}

// formatInterval formats the mean of values, followed by the half width of its confidence interval unless that is 0.
func (m measure) formatInterval(values []float64) string {
	mean, halfWidth := confidenceInterval(values)
	if halfWidth == 0 {
		return fmt.Sprintf(m.format, mean)
	}
	return fmt.Sprintf(m.format+" ± "+m.format, mean, halfWidth)
}

// verdict compares a value with a budget and returns the text for the page.
func verdict(value, budget float64) string {
	switch {
	case value > budget:
		return fmt.Sprintf("beyond (%.1f times)", value/budget)
	case value > nearBudget(budget):
		return "near"
	default:
		return "within"
	}
}

// nearBudget returns the value above which a measure is called near its budget. With a larger fraction of the budget,
// operators are warned later. With a smaller fraction, most measures would be called near.
func nearBudget(budget float64) float64 { return budget * 2 / 3 }

// describe returns the growth of a measure as text for the page. It returns "" if there is no fit.
func (f Fit) describe() string {
	switch {
	case f.Law == "":
		return ""
	case f.R2 < minR2:
		return fmt.Sprintf("not clear: the best, %s, has R² %.2f of %d", f.Law, f.R2, f.N)
	default:
		return fmt.Sprintf("%s, R² %.2f of %d", f.Law, f.R2, f.N)
	}
}

// cellRow returns the row of a run in the table of all cells.
func cellRow(c Cell, r *fleetharness.Report) string {
	sum := 0.0
	largest := 0.0
	cpu := 0.0
	full := 0
	for _, cost := range r.Costs {
		bytes := agreementBytes.value(cost)
		sum += bytes
		largest = max(largest, bytes)
		if !cost.Hollow {
			cpu += cost.CPU
			full++
		}
	}
	activation, contradiction := agreementColumns(r.Agreement)
	columns := []string{
		cellName(c),
		fmt.Sprint(c.Brokers),
		fmt.Sprint(c.Nodes),
		fmt.Sprint(c.Volumes),
		fmt.Sprintf("%g", c.ChangeSeconds),
		fmt.Sprint(c.Seed),
		fmt.Sprint(len(r.Costs)),
		fmt.Sprintf("%.0f", sum/float64(len(r.Costs))),
		fmt.Sprintf("%.0f", largest),
		fmt.Sprintf("%.4f", cpu/float64(max(1, full))),
		fmt.Sprintf("%.0f", float64(r.Datagrams)/float64(c.Brokers)),
		activation,
		contradiction,
		fmt.Sprint(r.All.Lost + len(r.Violations)),
	}
	return "| " + strings.Join(columns, " | ") + " |"
}

func cellName(c Cell) string {
	name := controlName(c.SeparateControl)
	if c.Faults {
		name += ", faults"
	}
	return name
}

// agreementColumns returns two columns of the table of all cells, in ms: the time until a change was active at all
// brokers (p50, p99 and largest, with the number of changes), and the longest contradiction between brokers.
func agreementColumns(a *fleetharness.AgreementReport) (activation, contradiction string) {
	if a == nil {
		return "none", formatMillis(0)
	}
	activation = "none"
	if n := len(a.CommitToAllUS); n > 0 {
		p50 := millis(a.CommitToAllUS[n/2])
		p99 := millis(a.CommitToAllUS[min(n-1, n*99/100)])
		longest := millis(a.CommitToAllUS[n-1])
		activation = fmt.Sprintf("%.0f, %.0f, %.0f (%d)", p50, p99, longest, n)
	}
	return activation, formatMillis(a.LongestUS)
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
