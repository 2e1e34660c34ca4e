package capacity

import (
	"errors"
	"math"
	"os"
	"strings"
	"testing"

	"junctionwharf/internal/fleetharness"
)

// testReport returns a run with two leaves, one full and one hollow, and a hollow parent.
func testReport(leafBytes, parentBytes float64) *fleetharness.Report {
	return &fleetharness.Report{Costs: []fleetharness.Cost{
		{Role: roleLeaf, Sent: leafBytes, CPU: 0.001, MemoryMB: 9},
		{Role: roleLeaf, Hollow: true, Received: 1.1 * leafBytes, CPU: 5, MemoryMB: 500},
		{Role: roleParent, Sent: parentBytes, Hollow: true},
	}}
}

// testRuns returns one run per fleet size and a second run of the planned size. A parent's bytes grow linearly with the
// fleet size.
func testRuns() Runs {
	runs := Runs{}
	for _, c := range Grid[:4] {
		runs[c.Name()] = testReport(500, 10*float64(c.Brokers))
	}
	runs[Grid[4].Name()] = testReport(600, 9300)
	return runs
}

// Checks the verdicts by role, the rows of connections and the list of missing runs on the page. Measures of a process
// must be taken from full brokers alone.
func TestRender(t *testing.T) {
	connections := []ConnectionCost{
		{Connections: 77, Open: 76, Rate: 5, Sent: 9, Served: 8, P99Micros: 4200, MemoryMB: 31.04, CPU: 0.25},
		{Connections: 78},
	}
	text, err := Render(testRuns(), []string{"the-other"}, connections)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| leaf | bytes a second of agreement, sent and received | 578 ± ",
		" | 6000 | within | ",
		"| feeder | bytes a second of agreement, sent and received | 9300 | 9300 | 6000 | beyond (1.6 times) " +
			"| linear, R² 1.00 of 5 |",
		"| leaf | MB, requests included | 9.0 | 9.0 | 256 | within | constant, R² 1.00 of 5 |",
		"Not run: the-other.",
		"+10.0%.",
		"| 77 | 76 | 5 | 8 of 9 | 4.2 | 31.0 | 0.2500 |",
		"| 78 | 0 | 0 | 0 of 0 |  | 0.0 | 0.0000 |",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not on the page:\n%s", want, text)
		}
	}
	if strings.Contains(text, "leader |") {
		t.Error("page has a row for leader, a role that no broker has")
	}
}

// Checks that each measure with a budget has a chart with one curve per role that occurs in the runs.
func TestCharts(t *testing.T) {
	charts := Charts(testRuns())
	if len(charts) != 4 || len(charts[0].Curves) != 2 || charts[0].Budget != Budgets.BytesPerSecond {
		t.Fatalf("wrong charts: %+v", charts)
	}
	c := charts[0].Curves[1]
	if c.Role != roleParent || len(c.X) != 5 || c.Fit.Law != Linear || math.Abs(c.Fit.At(930)-9300) > 1 {
		t.Errorf("wrong curve of a parent's bytes: %+v", c)
	}
}

// Checks that Render fails without a run at the planned fleet size, and that the error names the missing cell.
func TestRenderWithoutPlannedRun(t *testing.T) {
	_, err := Render(Runs{Grid[2].Name(): testReport(1, 1)}, nil, nil)
	if !errors.Is(err, ErrNoPlannedRun) || !strings.Contains(err.Error(), Grid[0].Name()) {
		t.Errorf("want ErrNoPlannedRun with the name of the missing cell, got %v", err)
	}
}

// Checks that the section between the page's markers is what Render makes of the raw runs, so that it cannot be edited
// by hand.
func TestPageMatchesRawRuns(t *testing.T) {
	const rawDir, pageFile = "../../docs/measurements/capacity", "../../docs/CAPACITY.md"
	runs, missing, err := Load(rawDir)
	if err != nil {
		t.Fatal(err)
	}
	connections, err := LoadConnectionCosts(rawDir)
	if err != nil {
		t.Fatal(err)
	}
	section, err := Render(runs, missing, connections)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	page, err := Replace(string(text), section)
	if err != nil {
		t.Fatal(err)
	}
	if page != string(text) {
		t.Error("docs/CAPACITY.md is not the output of `brokerbench capacity page` for docs/measurements/capacity")
	}
}

// Checks that the section replaces the old text between the markers, and that a page without both markers is an error.
func TestReplace(t *testing.T) {
	got, err := Replace("a\n"+SectionBegin+"old\n"+SectionEnd+"z\n", "new")
	if err != nil || got != "a\n"+SectionBegin+"\nnew\n"+SectionEnd+"z\n" {
		t.Errorf("got page %q, error %v", got, err)
	}
	if _, err := Replace("a\n"+SectionBegin, "new"); !errors.Is(err, ErrNoMarks) {
		t.Errorf("page without an end marker: want ErrNoMarks, got %v", err)
	}
}
