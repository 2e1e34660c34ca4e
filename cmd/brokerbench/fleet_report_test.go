package main

import (
	"bytes"
	"strings"
	"testing"

	"junctionwharf/internal/fleetharness"
)

// The page's template names fields of the harness's report, and the compiler does not check these names. After a rename
// of the fields, the report command failed on every file of figures.
func TestFleetPageShowsPhases(t *testing.T) {
	report := &fleetharness.Report{Scenario: "s", Brokers: 3, Nodes: 2}
	report.Phases = []fleetharness.Phase{{Sent: 11, Served: 7, Rejected: 4321, IdleNodes: 5678}}
	var sections fleetSections
	sections.add(fleetRun{Version: "now", Report: report})
	sections[0].Versions[0].summarize()
	var page bytes.Buffer
	if err := fleetPage.Execute(&page, sections); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"4321", "5678"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("page does not contain %s:\n%s", want, page.String())
		}
	}
}
