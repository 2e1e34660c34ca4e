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

	"junctionwharf/internal/fleetharness"
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

// at is the cell by which sizes of the fleet are compared.
func at(brokers int, seed uint64) Cell {
	return Cell{Brokers: brokers, Nodes: planNodes, Volumes: 1, ChangeS: planS, Seed: seed}
}

func (c Cell) nodes(count int) Cell    { c.Nodes = count; return c }
func (c Cell) volumes(count int) Cell  { c.Volumes = count; return c }
func (c Cell) changeEachSecond() Cell  { c.ChangeS = 1; return c }
func (c Cell) control(aside bool) Cell { c.Control = aside; return c }
func (c Cell) faults() Cell            { c.Faults = true; return c }

// Grid are the cells of the page, in the order in which they are run.
var Grid = []Cell{
	at(Planned, 1), at(480, 1), at(240, 1), at(60, 1), at(Planned, 2), at(Planned, 3),
	at(Planned, 1).nodes(1600), at(Planned, 1).nodes(100), at(240, 1).nodes(1600), at(240, 1).nodes(100), at(240, 1).volumes(0), at(240, 1).volumes(8),
	at(Planned, 1).changeEachSecond(), at(240, 1).changeEachSecond(),
	at(Planned, 1).control(true), at(Planned, 2).control(true), at(Planned, 3).control(true), at(240, 1).control(true),
	at(Planned, 1).changeEachSecond().control(true), at(Planned, 1).changeEachSecond().control(true).faults(), at(240, 1).changeEachSecond().control(true).faults(),
}

// dayOfFaults are those of the plan's day, all within one run: four brokers restart, one dies, one machine set aside for control dies and comes
// back, one broker stands still, and three are cut off from what is agreed. They are of whole processes.
var dayOfFaults = []fleetharness.Event{
	{AtS: 4, Kind: "kill", Brokers: []int{7, 8, 9, 10}, DurationS: 2}, {AtS: 6, Kind: "kill", Brokers: []int{11}}, {AtS: 9, Kind: "kill", Brokers: []int{2}, DurationS: 3},
	{AtS: 10, Kind: "stop", Brokers: []int{12}, DurationS: 3}, {AtS: 14, Kind: "agree_cut", Brokers: []int{13, 14, 15}, DurationS: 4},
}

// Scenario is what the rig plays for a cell.
func (c Cell) Scenario() *fleetharness.Scenario {
	s := &fleetharness.Scenario{Name: c.Name(), Seed: c.Seed, Brokers: min(realOnes, c.Brokers), Peers: true, Shards: c.Nodes, DurationS: forS, Rate: requests, MemoryLimitMB: 192,
		Node: fleetharness.NodeSpec{Count: c.Nodes, Zones: 6}, Agreement: fleetharness.Agreement{Voters: 7, ChangeIntervalS: c.ChangeS, DedicatedVoters: c.Control},
		Hollow: fleetharness.Hollow{Brokers: max(0, c.Brokers-realOnes), Rate: requests, Volumes: requests * c.Volumes}}
	if c.Faults {
		s.Events = slices.Clone(dayOfFaults)
	}
	if c.Volumes == 0 {
		s.Rate, s.Hollow.Rate = 0.1, 0
	}
	return s
}

// Budget is what a broker's control side may cost.
var Budget = struct{ Bytes, CPU, MemoryMB, ForceS float64 }{6000, 0.014, 256, 10}

// Runs are the raw reports, by cell.
type Runs map[string]*fleetharness.Report

// Load reads the raw runs of all cells that a directory has, and names those that it lacks.
func Load(dir string) (runs Runs, missing []string, err error) {
	runs = Runs{}
	for _, c := range Grid {
		var r fleetharness.Report
		there, err := readRaw(dir, c.Name()+".json", &r, func() bool { return len(r.Costs) > 0 })
		switch {
		case err != nil:
			return nil, nil, err
		case there:
			runs[c.Name()] = &r
		default:
			missing = append(missing, c.Name())
		}
	}
	return runs, missing, nil
}

// readRaw reads a file of raw figures and tells whether it is there. One that can't be read, or says nothing, is an error that names it.
func readRaw(dir, name string, to any, says func() bool) (there bool, err error) {
	text, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, to)
	}
	if err == nil && !says() {
		err = errors.New("no figures in it")
	}
	if err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	return true, nil
}

// Roles are told apart by what a broker does for others.
var Roles = []string{"leaf", "feeder", "voter", "leader"}

// measure is a figure of a broker. A role is judged by the one that has most of it.
type measure struct {
	words  string
	form   string  // of a figure
	budget float64 // 0 for none
	kind   kind
	of     func(fleetharness.Cost) float64
}

// kind is of which brokers a measure is taken.
type kind int

const (
	anyBroker kind = iota
	wholeOnes
	hollowOnes
)

// datagram is the bytes of a message between brokers with the headers of IP and UDP: where each shard has one node, all are of volumes,
// 7 bytes each.
const datagram = 7 + 28

var (
	agreed    = measure{"bytes a second of agreement, sent and received", "%.0f", Budget.Bytes, anyBroker, func(c fleetharness.Cost) float64 { return c.Sent + c.Received }}
	messages  = measure{"messages a second to and from other brokers", "%.1f", 0, anyBroker, func(c fleetharness.Cost) float64 { return c.PeerSent + c.PeerReceived }}
	allBytes  = measure{"bytes a second of both, 35 a message", "%.0f", Budget.Bytes, anyBroker, func(c fleetharness.Cost) float64 { return agreed.of(c) + datagram*messages.of(c) }}
	wholeCPU  = measure{"part of a core, whole brokers, their requests included", "%.4f", 0, wholeOnes, func(c fleetharness.Cost) float64 { return c.CPU }}
	hollowCPU = measure{"part of a core, hollow brokers: their part of a process", "%.4f", Budget.CPU, hollowOnes, wholeCPU.of}
	memory    = measure{"MB, requests included", "%.1f", Budget.MemoryMB, wholeOnes, func(c fleetharness.Cost) float64 { return c.MemoryMB }}

	measures = []measure{agreed, messages, allBytes, wholeCPU, hollowCPU, memory}
)

// over returns the mean and the most of a measure over the brokers of a role, and how many these are.
func (m measure) over(r *fleetharness.Report, role string) (mean, most float64, n int) {
	for _, c := range r.Costs {
		if c.Role != role || m.kind == wholeOnes && c.Hollow || m.kind == hollowOnes && !c.Hollow {
			continue
		}
		v := m.of(c)
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

// At is what it comes to.
func (f Fit) At(x float64) float64 { return f.A + f.B*laws[f.Law](x) }

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
	Held    []ConnectionCost
}

// A law is named over so many sizes at least, and where it explains most of what differs.
const (
	leastSizes = 3
	leastR2    = 0.7
)

// plannedRuns are those at the planned size, by seed.
func plannedRuns(runs Runs, control bool) (planned []*fleetharness.Report) {
	for seed := uint64(1); seed <= 3; seed++ {
		if r := runs[at(Planned, seed).control(control).Name()]; r != nil {
			planned = append(planned, r)
		}
	}
	return planned
}

// lineOf is the row of a role and a measure; any is false where no run has the role.
func lineOf(runs Runs, control bool, role string, m measure) (l line, any bool) {
	var means, mosts []float64
	for _, r := range plannedRuns(runs, control) {
		if mean, most, n := m.over(r, role); n > 0 {
			means, mosts = append(means, mean), append(mosts, most)
		}
	}
	if len(means) == 0 {
		return line{}, false
	}
	form := func(values []float64) string {
		mean, half := interval(values)
		if half == 0 {
			return fmt.Sprintf(m.form, mean)
		}
		return fmt.Sprintf(m.form+" ± "+m.form, mean, half)
	}
	l = line{Control: "brokers", Role: role, Measure: m.words, Mean: form(means), Most: form(mosts)}
	aside := control && (role == "voter" || role == "leader")
	if control {
		l.Control = "set aside"
	}
	switch {
	case m.budget > 0 && aside:
		l.Verdict = "on a machine set aside"
	case m.budget > 0:
		l.Budget, l.Verdict = fmt.Sprintf("%g", m.budget), verdict(slices.Max(mosts), m.budget)
	}
	if f := curve(runs, control, role, m).Fit; f.Law == "" {
		return l, true
	} else if f.R2 < leastR2 {
		l.Slope = fmt.Sprintf("not clear: the best, %s, has R² %.2f of %d", f.Law, f.R2, f.N)
	} else {
		l.Slope = fmt.Sprintf("%s, R² %.2f of %d", f.Law, f.R2, f.N)
	}
	return l, true
}

// Curve is how a measure grows with the number of brokers.
type Curve struct {
	Control bool // by machines set aside
	Role    string
	X, Y    []float64 // of each run: brokers, and the one with most
	Fit     Fit       // over them; its Law is empty below leastSizes
}

// curve is that of a measure in a role.
func curve(runs Runs, control bool, role string, m measure) Curve {
	curve := Curve{Control: control, Role: role}
	for _, c := range Grid {
		if r := runs[c.Name()]; r != nil && c == at(c.Brokers, c.Seed).control(control) {
			if _, most, n := m.over(r, role); n > 0 {
				curve.X, curve.Y = append(curve.X, float64(c.Brokers)), append(curve.Y, most)
			}
		}
	}
	if len(slices.Compact(slices.Sorted(slices.Values(curve.X)))) >= leastSizes {
		curve.Fit = Best(curve.X, curve.Y)
	}
	return curve
}

// Chart is a measure with its curves by role.
type Chart struct {
	Measure string
	Budget  float64
	Curves  []Curve
}

// Charts are the measures that have a budget, with the runs that say how they grow.
func Charts(runs Runs) (all []Chart) {
	for _, m := range measures {
		if m.budget == 0 {
			continue
		}
		chart := Chart{Measure: m.words, Budget: m.budget}
		for _, control := range []bool{false, true} {
			for _, role := range Roles {
				if c := curve(runs, control, role, m); len(c.X) > 0 {
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
func Render(runs Runs, missing []string, held []ConnectionCost) (string, error) {
	v := view{Missing: missing, Held: held}
	planned := plannedRuns(runs, false)
	if len(planned) == 0 {
		return "", fmt.Errorf("%s: there is no run of it", at(Planned, 1).Name())
	}
	for _, control := range []bool{false, true} {
		for _, role := range Roles {
			for _, m := range measures {
				if l, any := lineOf(runs, control, role, m); any {
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
				hollow = append(hollow, agreed.of(c))
			} else if c.Role == "leaf" {
				real = append(real, agreed.of(c))
			}
		}
	}
	if len(real) > 0 && len(hollow) > 0 {
		a, b := stat.Mean(real, nil), stat.Mean(hollow, nil)
		v.Error = fmt.Sprintf("Leaves of agreement at %d brokers: %.0f bytes a second for %d whole brokers, %.0f for %d hollow ones, %+.1f%%.", Planned, a, len(real), b, len(hollow), 100*(b/a-1))
	}
	if r := runs[at(240, 1).volumes(0).Name()]; r != nil {
		a, _, n := wholeCPU.over(r, "leaf")
		if b, _, m := hollowCPU.over(r, "leaf"); n > 0 && m > 0 {
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
func row(c Cell, r *fleetharness.Report) string {
	sum, most, cpu, whole := 0.0, 0.0, 0.0, 0
	for _, k := range r.Costs {
		sum += agreed.of(k)
		most = max(most, agreed.of(k))
		if !k.Hollow {
			cpu, whole = cpu+k.CPU, whole+1
		}
	}
	force := "none"
	longest := int64(0)
	if a := r.Agreement; a != nil {
		longest = a.LongestUS
		if n := len(a.CommitToAllUS); n > 0 {
			force = fmt.Sprintf("%.0f, %.0f, %.0f (%d)", float64(a.CommitToAllUS[n/2])/1000, float64(a.CommitToAllUS[min(n-1, n*99/100)])/1000, float64(a.CommitToAllUS[n-1])/1000, n)
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
		sum/float64(len(r.Costs)), most, cpu/float64(max(1, whole)), float64(r.Datagrams)/float64(c.Brokers), force, float64(longest)/1000, r.All.Lost+len(r.Violations))
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
One whole broker with connections that had one request each, at rest beside a load on others (brokerbench capacity connections, 64 nodes, 4 s a line):

| connections | open at the end | requests a second | served of sent | p99 ms | MB | part of a core |
| --- | --- | --- | --- | --- | --- | --- |
{{range .Held}}| {{.Connections}} | {{.Open}} | {{printf "%.0f" .Rate}} | {{.Served}} of {{.Sent}} | {{.Milliseconds}} | {{printf "%.1f" .MemoryMB}} | {{printf "%.4f" .CPU}} |
{{end}}{{end}}`))

// The marks between which the section stands on the page.
const (
	Begin = "<!-- made by brokerbench capacity page: begin -->\n"
	End   = "<!-- made by brokerbench capacity page: end -->\n"
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
