// Package capacity makes the tables of docs/CAPACITY.md from raw runs of the rig: what the control side of a broker costs by role and by the
// size of the fleet, against the operators' budgets.
package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/template"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"junctionwharf/internal/fleetrig"
)

// Cell is one run of the grid.
type Cell struct {
	Brokers int     // in all
	Nodes   int     // one for each shard
	Volumes int     // active at a broker for each request a second; 0: none, and no requests
	ChangeS float64 // seconds between two changes of the agreed document
	Seed    uint64
	Control bool // voters and feeders are processes for control, brokers feed nobody
	Faults  bool // with those of the plan's day in one run
}

// Name is the cell's, and that of its file.
func (c Cell) Name() string {
	name := fmt.Sprintf("b%d-n%d-v%d-c%g-s%d", c.Brokers, c.Nodes, c.Volumes, c.ChangeS, c.Seed)
	if c.Control {
		name += "-control"
	}
	if c.Faults {
		name += "-faults"
	}
	return name
}

// The plan, and the grid by which it is measured.
const (
	Planned   = 930
	realOnes  = 20 // brokers that are whole processes
	requests  = 10 // a second and broker
	planS     = 20 // seconds between changes
	forS      = 21
	planNodes = 400 // at which sizes of the fleet are compared
)

// Grid are the cells of the page, in the order in which they are run.
var Grid = []Cell{
	{Planned, planNodes, 1, planS, 1, false, false}, {480, planNodes, 1, planS, 1, false, false}, {240, planNodes, 1, planS, 1, false, false}, {60, planNodes, 1, planS, 1, false, false},
	{Planned, planNodes, 1, planS, 2, false, false}, {Planned, planNodes, 1, planS, 3, false, false}, {Planned, 1600, 1, planS, 1, false, false}, {Planned, 100, 1, planS, 1, false, false},
	{240, 1600, 1, planS, 1, false, false}, {240, 100, 1, planS, 1, false, false}, {240, planNodes, 0, planS, 1, false, false}, {240, planNodes, 8, planS, 1, false, false},
	{Planned, planNodes, 1, 1, 1, false, false}, {240, planNodes, 1, 1, 1, false, false},
	{Planned, planNodes, 1, planS, 1, true, false}, {Planned, planNodes, 1, planS, 2, true, false}, {Planned, planNodes, 1, planS, 3, true, false}, {240, planNodes, 1, planS, 1, true, false},
	{Planned, planNodes, 1, 1, 1, true, false}, {Planned, planNodes, 1, 1, 1, true, true}, {240, planNodes, 1, 1, 1, true, true},
}

// faults are those of the plan's day, all within one run: four brokers restart, one dies, one machine set aside for control dies and comes
// back, one broker stands still, and three are cut off from what is agreed. They are of whole processes.
var faults = []fleetrig.Event{
	{AtS: 4, What: "kill", Brokers: []int{7, 8, 9, 10}, ForS: 2}, {AtS: 6, What: "kill", Brokers: []int{11}}, {AtS: 9, What: "kill", Brokers: []int{2}, ForS: 3},
	{AtS: 10, What: "stop", Brokers: []int{12}, ForS: 3}, {AtS: 14, What: "agree_cut", Brokers: []int{13, 14, 15}, ForS: 4},
}

// Scenario is what the rig plays for a cell.
func (c Cell) Scenario() *fleetrig.Scenario {
	s := &fleetrig.Scenario{Name: c.Name(), Seed: c.Seed, Brokers: min(realOnes, c.Brokers), Peers: true, Shards: c.Nodes, ForS: forS, Rate: requests, LimitMB: 192,
		Node: fleetrig.Node{Count: c.Nodes, Zones: 6}, Agreement: fleetrig.Agreement{Voters: 7, ChangeS: c.ChangeS, Control: c.Control},
		Hollow: fleetrig.Hollow{Brokers: max(0, c.Brokers-realOnes), Rate: requests, Volumes: requests * c.Volumes}}
	if c.Faults {
		s.Events = slices.Clone(faults)
	}
	if c.Volumes == 0 {
		s.Rate, s.Hollow.Rate = 0.1, 0
	}
	return s
}

// Budget is what a broker's control side may cost.
var Budget = struct{ Bytes, CPU, MemoryMB, ForceS float64 }{6000, 0.014, 256, 10}

// Runs are the raw reports, by cell.
type Runs map[string]*fleetrig.Report

// Load reads the raw runs of all cells that a directory has, and names those that it lacks.
func Load(dir string) (runs Runs, missing []string, err error) {
	runs = Runs{}
	for _, c := range Grid {
		text, err := os.ReadFile(filepath.Join(dir, c.Name()+".json"))
		if errors.Is(err, os.ErrNotExist) {
			missing = append(missing, c.Name())
			continue
		}
		var r fleetrig.Report
		if err == nil {
			err = json.Unmarshal(text, &r)
		}
		if err == nil && len(r.Costs) == 0 {
			err = errors.New("no costs in it")
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", c.Name(), err)
		}
		runs[c.Name()] = &r
	}
	return runs, missing, nil
}

// Roles are told apart by what a broker does for others.
var Roles = []string{"leaf", "feeder", "voter", "leader"}

// measures of a broker, and what of them a role is judged by: the one that has most of it.
var measures = []struct {
	name string
	of   func(fleetrig.Cost) float64
}{
	{"bytes", func(c fleetrig.Cost) float64 { return c.Sent + c.Received }},
	{"messages", func(c fleetrig.Cost) float64 { return c.Told + c.Heard }},
	{"all bytes", func(c fleetrig.Cost) float64 { return c.Sent + c.Received + datagram*(c.Told+c.Heard) }},
	{"cpu", func(c fleetrig.Cost) float64 { return c.CPU }},
	{"hollow cpu", func(c fleetrig.Cost) float64 { return c.CPU }},
	{"memory", func(c fleetrig.Cost) float64 { return c.MemoryMB }},
}

// datagram is the bytes of a message between brokers with the headers of IP and UDP: where each shard has one node, all are of volumes,
// 7 bytes each.
const datagram = 7 + 28

// whole tells whether a measure is taken of whole brokers alone, or of hollow ones alone.
var whole = map[string]bool{"cpu": true, "memory": true, "hollow cpu": false}

// of returns the mean and the most of a measure over the brokers of a role.
func of(r *fleetrig.Report, role, measure string) (mean, most float64, n int) {
	at := slices.IndexFunc(measures, func(m struct {
		name string
		of   func(fleetrig.Cost) float64
	}) bool {
		return m.name == measure
	})
	for _, c := range r.Costs {
		if is, only := whole[measure]; c.Role != role || only && c.Hollow == is {
			continue
		}
		v := measures[at].of(c)
		mean, most, n = mean+v, max(most, v), n+1
	}
	return mean / float64(max(1, n)), most, n
}

// Fit is how a measure grows with the number of brokers.
type Fit struct {
	Law  string // constant, linear, logarithmic or quadratic
	A, B float64
	R2   float64
	N    int
}

// at is what it comes to.
func (f Fit) at(x float64) float64 { return f.A + f.B*laws[f.Law](x) }

var laws = map[string]func(float64) float64{
	"constant": func(float64) float64 { return 0 }, "linear": func(x float64) float64 { return x }, "logarithmic": math.Log, "quadratic": func(x float64) float64 { return x * x },
}

// Best is the law that leaves least, of those with two figures each; where nothing changes it is constant.
func Best(x, y []float64) Fit {
	best := Fit{R2: math.Inf(-1), N: len(x)}
	if slices.Max(y) == slices.Min(y) {
		return Fit{Law: "constant", A: y[0], R2: 1, N: len(x)}
	}
	for _, law := range []string{"linear", "logarithmic", "quadratic"} {
		t := make([]float64, len(x))
		for i := range x {
			t[i] = laws[law](x[i])
		}
		a, b := stat.LinearRegression(t, y, nil, false)
		if r2 := stat.RSquared(t, y, nil, a, b); r2 > best.R2 {
			best.Law, best.A, best.B, best.R2 = law, a, b, r2
		}
	}
	return best
}

// interval is the half width of the 95% interval of a mean, 0 for a single value.
func interval(values []float64) (mean, half float64) {
	mean = stat.Mean(values, nil)
	if n := float64(len(values)); n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
		half = t * stat.StdDev(values, nil) / math.Sqrt(n)
	}
	return mean, half
}

// verdict compares with a budget: near is over two thirds.
func verdict(v, budget float64) string {
	switch {
	case v > budget:
		return fmt.Sprintf("beyond (%.1f times)", v/budget)
	case v > budget*2/3:
		return "near"
	}
	return "within"
}

// line is a row of the table by role.
type line struct {
	Control, Role, Measure, Mean, Most, Budget, Verdict, Slope string
}

// view is what the template gets.
type view struct {
	Lines   []line
	Cells   []string
	Missing []string
	Error   string
	Held    []Holding
}

// A law is named over so many sizes at least, and where it explains most of what differs.
const (
	leastSizes = 3
	leastR2    = 0.7
)

// plannedRuns are those at the planned size, by seed.
func plannedRuns(runs Runs, control bool) (planned []*fleetrig.Report) {
	for seed := uint64(1); seed <= 3; seed++ {
		if r := runs[Cell{Planned, planNodes, 1, planS, seed, control, false}.Name()]; r != nil {
			planned = append(planned, r)
		}
	}
	return planned
}

var (
	budgets = map[string]float64{"bytes": Budget.Bytes, "all bytes": Budget.Bytes, "hollow cpu": Budget.CPU, "memory": Budget.MemoryMB}
	forms   = map[string]string{"bytes": "%.0f", "messages": "%.1f", "all bytes": "%.0f", "cpu": "%.4f", "hollow cpu": "%.4f", "memory": "%.1f"}
	words   = map[string]string{"bytes": "bytes a second of agreement, sent and received", "messages": "messages a second to and from other brokers",
		"all bytes": "bytes a second of both, 35 a message",
		"cpu":       "part of a core, whole brokers, their requests included", "hollow cpu": "part of a core, hollow brokers: their part of a process", "memory": "MB, requests included"}
)

// lineOf is the row of a role and a measure; any is false where no run has the role.
func lineOf(runs Runs, control bool, role, measure string) (l line, any bool) {
	var means, mosts []float64
	for _, r := range plannedRuns(runs, control) {
		if mean, most, n := of(r, role, measure); n > 0 {
			means, mosts = append(means, mean), append(mosts, most)
		}
	}
	if len(means) == 0 {
		return line{}, false
	}
	form := func(values []float64) string {
		mean, half := interval(values)
		if half == 0 {
			return fmt.Sprintf(forms[measure], mean)
		}
		return fmt.Sprintf(forms[measure]+" ± "+forms[measure], mean, half)
	}
	l = line{Control: "brokers", Role: role, Measure: words[measure], Mean: form(means), Most: form(mosts)}
	aside := control && (role == "voter" || role == "leader")
	if control {
		l.Control = "set aside"
	}
	if b, has := budgets[measure]; has && aside {
		l.Verdict = "on a machine set aside"
	} else if has {
		l.Budget, l.Verdict = fmt.Sprintf("%g", b), verdict(slices.Max(mosts), b)
	}
	x, y := slope(runs, control, role, measure)
	if len(slices.Compact(slices.Sorted(slices.Values(x)))) < leastSizes {
		return l, true
	}
	if f := Best(x, y); f.R2 < leastR2 {
		l.Slope = fmt.Sprintf("not clear: the best, %s, has R² %.2f of %d", f.Law, f.R2, f.N)
	} else {
		l.Slope = fmt.Sprintf("%s, R² %.2f of %d", f.Law, f.R2, f.N)
	}
	return l, true
}

// slope is the one with most of a measure in a role, by the number of brokers.
func slope(runs Runs, control bool, role, measure string) (x, y []float64) {
	for _, c := range Grid {
		if c.Control == control && !c.Faults && c.Nodes == planNodes && c.Volumes == 1 && c.ChangeS == planS && runs[c.Name()] != nil {
			if _, most, n := of(runs[c.Name()], role, measure); n > 0 {
				x, y = append(x, float64(c.Brokers)), append(y, most)
			}
		}
	}
	return x, y
}

// Curve is how a measure grows with the number of brokers.
type Curve struct {
	Control bool // by machines set aside
	Role    string
	X, Y    []float64 // of each run: brokers, and the one with most
	Fit     Fit       // over them; its Law is empty below three sizes
}

// Chart is a measure with its curves by role.
type Chart struct {
	Measure string
	Budget  float64 // 0 for none
	Curves  []Curve
}

// At is what the fit of a curve comes to.
func (c Curve) At(brokers float64) float64 { return c.Fit.at(brokers) }

// Charts are the measures that have a budget, with the runs that say how they grow.
func Charts(runs Runs) (all []Chart) {
	for _, m := range measures {
		chart := Chart{Measure: words[m.name], Budget: budgets[m.name]}
		for _, control := range []bool{false, true} {
			for _, role := range Roles {
				if x, y := slope(runs, control, role, m.name); len(x) > 0 && chart.Budget > 0 {
					c := Curve{Control: control, Role: role, X: x, Y: y}
					if len(slices.Compact(slices.Sorted(slices.Values(x)))) >= leastSizes {
						c.Fit = Best(x, y)
					}
					chart.Curves = append(chart.Curves, c)
				}
			}
		}
		if len(chart.Curves) > 0 {
			all = append(all, chart)
		}
	}
	return all
}

// Render makes the section of the page.
func Render(runs Runs, missing []string, held []Holding) (string, error) {
	v := view{Missing: missing, Held: held}
	planned := plannedRuns(runs, false)
	if len(planned) == 0 {
		return "", fmt.Errorf("%s: there is no run of it", Cell{Planned, planNodes, 1, planS, 1, false, false}.Name())
	}
	for _, control := range []bool{false, true} {
		for _, role := range Roles {
			for _, m := range measures {
				if l, any := lineOf(runs, control, role, m.name); any {
					v.Lines = append(v.Lines, l)
				}
			}
		}
	}
	for _, c := range Grid {
		if r := runs[c.Name()]; r != nil {
			v.Cells = append(v.Cells, row(c, r))
		}
	}
	// how well a hollow broker stands for a real one: leaves of both kinds in the planned runs
	var real, hollow []float64
	for _, r := range planned {
		for _, c := range r.Costs {
			if c.Role == "leaf" && c.Hollow {
				hollow = append(hollow, c.Sent+c.Received)
			} else if c.Role == "leaf" {
				real = append(real, c.Sent+c.Received)
			}
		}
	}
	if len(real) > 0 && len(hollow) > 0 {
		a, b := stat.Mean(real, nil), stat.Mean(hollow, nil)
		v.Error = fmt.Sprintf("Leaves of agreement at %d brokers: %.0f bytes a second for %d whole brokers, %.0f for %d hollow ones, %+.1f%%.", Planned, a, len(real), b, len(hollow), 100*(b/a-1))
	}
	if r := runs[Cell{240, planNodes, 0, planS, 1, false, false}.Name()]; r != nil {
		a, _, n := of(r, "leaf", "cpu")
		if b, _, m := of(r, "leaf", "hollow cpu"); n > 0 && m > 0 {
			v.Error += fmt.Sprintf(" Processor time of leaves without requests, 240 brokers: %.4f of a core for %d whole ones, %.4f for %d hollow ones, %+.0f%%.", a, n, b, m, 100*(b/a-1))
		}
	}
	var b strings.Builder
	if err := page.Execute(&b, v); err != nil {
		return "", err
	}
	return b.String(), nil
}

// row is what one cell came to.
func row(c Cell, r *fleetrig.Report) string {
	sum, most, cpu, whole := 0.0, 0.0, 0.0, 0
	for _, k := range r.Costs {
		sum += k.Sent + k.Received
		most = max(most, k.Sent+k.Received)
		if !k.Hollow {
			cpu, whole = cpu+k.CPU, whole+1
		}
	}
	force := "none"
	longest := int64(0)
	if a := r.Agreement; a != nil {
		longest = a.LongestUS
		if n := len(a.Spread); n > 0 {
			force = fmt.Sprintf("%.0f, %.0f, %.0f (%d)", float64(a.Spread[n/2])/1000, float64(a.Spread[min(n-1, n*99/100)])/1000, float64(a.Spread[n-1])/1000, n)
		}
	}
	by := "brokers"
	if c.Control {
		by = "set aside"
	}
	if c.Faults {
		by += ", faults"
	}
	return fmt.Sprintf("| %s | %d | %d | %d | %g | %d | %d | %.0f | %.0f | %.4f | %.0f | %s | %.1f | %d |", by, c.Brokers, c.Nodes, c.Volumes, c.ChangeS, c.Seed, len(r.Costs),
		sum/float64(len(r.Costs)), most, cpu/float64(max(1, whole)), float64(r.Sent)/float64(c.Brokers), force, float64(longest)/1000, r.All.Lost+len(r.Breaches))
}

var page = template.Must(template.New("page").Parse(`By role at the planned size, three seeds where they were run: the mean over a role's brokers and the one with most, each with its 95%
interval over seeds. The verdict is on the largest seen. Slopes are of the one with most, over 60, 240, 480 and 930 brokers.

| control by | role | measure | mean | most | budget | | grows with brokers |
| --- | --- | --- | --- | --- | --- | --- | --- |
{{range .Lines}}| {{.Control}} | {{.Role}} | {{.Measure}} | {{.Mean}} | {{.Most}} | {{.Budget}} | {{.Verdict}} | {{.Slope}} |
{{end}}
{{.Error}}

All cells that were run:

| control by | brokers | nodes | volumes a request | change each s | seed | brokers read | bytes/s mean | most | part of a core, whole brokers | datagrams a broker, start included | in force, ms: p50, p99, largest (versions) | longest contradiction, ms | lost and breaches |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
{{range .Cells}}{{.}}
{{end}}
{{if .Missing}}Not run: {{range $i, $c := .Missing}}{{if $i}}, {{end}}{{$c}}{{end}}.{{else}}All cells of the grid were run.{{end}}
{{if .Held}}
One whole broker with connections that had one request each, at rest beside a load on others (wharflab capacity connections, 64 nodes, 4 s a line):

| connections | open at the end | requests a second | served of sent | p99 ms | MB | part of a core |
| --- | --- | --- | --- | --- | --- | --- |
{{range .Held}}| {{.Connections}} | {{.Open}} | {{printf "%.0f" .Rate}} | {{.Served}} of {{.Sent}} | {{.Milliseconds}} | {{printf "%.1f" .MemoryMB}} | {{printf "%.4f" .CPU}} |
{{end}}{{end}}`))

// The marks between which the section stands on the page.
const (
	Begin = "<!-- made by wharflab capacity page: begin -->\n"
	End   = "<!-- made by wharflab capacity page: end -->\n"
)

// Replace puts the section into a page.
func Replace(text, section string) (string, error) {
	before, rest, begins := strings.Cut(text, Begin)
	_, after, ends := strings.Cut(rest, End)
	if !begins || !ends {
		return "", errors.New("the page lacks the marks of the section")
	}
	return before + Begin + "\n" + section + "\n" + End + after, nil
}
