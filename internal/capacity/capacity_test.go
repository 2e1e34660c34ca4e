package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"junctionwharf/internal/fleetharness"
)

// The law that leaves least is named, with its figures.
func TestBest(t *testing.T) {
	x := []float64{60, 240, 480, 930}
	for law, f := range laws {
		if law == "constant" {
			if got := Best(x, []float64{5, 5, 5, 5}); got.Law != law || got.At(77) != 5 {
				t.Errorf("%+v", got)
			}
			continue
		}
		y := make([]float64, len(x))
		for i := range x {
			y[i] = 7 + 3*f(x[i])
		}
		got := Best(x, y)
		if got.Law != law || math.Abs(got.A-7) > 1e-6 || math.Abs(got.B-3) > 1e-6 || got.R2 < 0.999 || math.Abs(got.At(930)-y[3]) > 1e-3 {
			t.Errorf("%s: %+v", law, got)
		}
	}
	if mean, half := interval([]float64{10, 12, 14}); mean != 12 || math.Abs(half-4.968) > 0.01 {
		t.Errorf("%v ± %v", mean, half)
	}
}

func report(leaf, feeder float64) *fleetharness.Report {
	return &fleetharness.Report{Costs: []fleetharness.Cost{{Role: "leaf", Sent: leaf, CPU: 0.001, MemoryMB: 9}, {Role: "leaf", Hollow: true, Received: 1.1 * leaf, CPU: 5, MemoryMB: 500},
		{Role: "feeder", Sent: feeder, Hollow: true}}}
}

// The page says by role what is within its budget and what is not, from whole processes alone where it is of a process, and what was not run.
func TestRender(t *testing.T) {
	runs := Runs{}
	for _, c := range Grid[:4] {
		runs[c.Name()] = report(500, 10*float64(c.Brokers))
	}
	runs[Grid[4].Name()] = report(600, 9300)
	text, err := Render(runs, []string{"the-other"}, []ConnectionCost{{Connections: 77, Open: 76, Rate: 5, Sent: 9, Served: 8, P99: 4200, MemoryMB: 31.04, CPU: 0.25}, {Connections: 78}})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| leaf | bytes a second of agreement, sent and received | 578 ± ", " | 6000 | within | ",
		"| feeder | bytes a second of agreement, sent and received | 9300 | 9300 | 6000 | beyond (1.6 times) | linear, R² 1.00 of 5 |", "| leaf | MB, requests included | 9.0 | 9.0 | 256 | within | constant, R² 1.00 of 5 |", "Not run: the-other.", "+10.0%.",
		"| 77 | 76 | 5 | 8 of 9 | 4.2 | 31.0 | 0.2500 |", "| 78 | 0 | 0 | 0 of 0 |  | 0.0 | 0.0000 |"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
	if strings.Contains(text, "leader |") {
		t.Error("a role that nobody had")
	}
	charts := Charts(runs)
	if len(charts) != 4 || len(charts[0].Curves) != 2 || charts[0].Budget != Budget.Bytes {
		t.Fatalf("%+v", charts)
	}
	if c := charts[0].Curves[1]; c.Role != "feeder" || len(c.X) != 5 || c.Fit.Law != "linear" || math.Abs(c.Fit.At(930)-9300) > 1 {
		t.Errorf("%+v", c)
	}
	if _, err := Render(Runs{Grid[2].Name(): report(1, 1)}, nil, nil); err == nil || !strings.Contains(err.Error(), Grid[0].Name()) {
		t.Errorf("without a run at the planned size: %v", err)
	}
}

// The page and the raw runs agree: nothing between its marks was written by hand.
func TestPageIsOfTheRawRuns(t *testing.T) {
	runs, missing, err := Load("../../docs/measurements/capacity")
	if err != nil {
		t.Fatal(err)
	}
	held, err := LoadConnectionCosts("../../docs/measurements/capacity")
	if err != nil {
		t.Fatal(err)
	}
	section, err := Render(runs, missing, held)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if page, err := Replace(string(text), section); err != nil || page != string(text) {
		t.Errorf("docs/CAPACITY.md is not what `brokerbench capacity page` makes of docs/measurements/capacity: %v", err)
	}
}

// A raw file that can't be read, or says nothing, is named; one that is not there is missing.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	runs, missing, err := Load(dir)
	if err != nil || len(runs) != 0 || len(missing) != len(Grid) {
		t.Fatalf("%v, %d missing, %v", runs, len(missing), err)
	}
	if held, err := LoadConnectionCosts(dir); err != nil || held != nil {
		t.Errorf("%v, %v", held, err)
	}
	for _, text := range []string{"{", "[]"} {
		if err := os.WriteFile(filepath.Join(dir, "connections.json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConnectionCosts(dir); err == nil || !strings.Contains(err.Error(), "connections.json") {
			t.Errorf("%s: %v", text, err)
		}
	}
	for _, text := range []string{"{", "{}"} {
		if err := os.WriteFile(filepath.Join(dir, Grid[1].Name()+".json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Load(dir); err == nil || !strings.Contains(err.Error(), Grid[1].Name()) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Every cell can be played: within the bounds of the rig.
func TestGrid(t *testing.T) {
	seen := map[string]bool{}
	for _, c := range Grid {
		if err := c.Scenario().Validate(); err != nil || seen[c.Name()] {
			t.Errorf("%s: %v, twice %v", c.Name(), err, seen[c.Name()])
		}
		seen[c.Name()] = true
	}
}

func TestReplace(t *testing.T) {
	got, err := Replace("a\n"+Begin+"old\n"+End+"z\n", "new")
	if err != nil || got != "a\n"+Begin+"\nnew\n"+End+"z\n" {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := Replace("a\n"+Begin, "new"); err == nil {
		t.Error("a page without its marks was taken")
	}
}
