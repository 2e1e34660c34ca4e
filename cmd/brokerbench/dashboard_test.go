package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// The dashboard is JSON in the format of Graphite's web application: a name, and graphs of three elements each.
func TestDashboard(t *testing.T) {
	var text bytes.Buffer
	if err := writeDashboard(&text, "a.b", "n1", 5); err != nil {
		t.Fatal(err)
	}
	var dashboard struct {
		Name   string
		Graphs [][]any
	}
	if err := json.Unmarshal(text.Bytes(), &dashboard); err != nil {
		t.Fatal(err)
	}
	if dashboard.Name == "" || len(dashboard.Graphs) < 10 || len(dashboard.Graphs[0]) != 3 {
		t.Errorf("dashboard has no name, fewer than 10 graphs, or a graph without 3 elements: %s", text.String())
	}
	if !strings.Contains(text.String(), "a.b.n1.volume.*.units_milli),4,") {
		t.Errorf("volumes are not grouped by their name, the fifth segment of the path: %s", text.String())
	}
}

func TestDashboardRejectsFlags(t *testing.T) {
	tests := []struct {
		name, prefix string
		top          int
	}{
		{"prefix", "a b", 5},
		{"top", "a", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := writeDashboard(&bytes.Buffer{}, test.prefix, "*", test.top); err == nil {
				t.Error("flags were accepted")
			}
		})
	}
}
