package agreement

import (
	"encoding/json"
	"testing"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/golden"
)

// checkAnswer compares the console's encoding of a value with a golden file. It also decodes the golden file into to,
// and checks that the result has the same encoding.
func checkAnswer(t *testing.T, name string, value, to any) {
	t.Helper()
	golden.CheckJSON(t, name, value, to, "\n")
}

// Operators' programs parse the console's answers to agree commands as JSON. The encoded values must match the recorded
// bytes.
func TestConsoleAnswerBytes(t *testing.T) {
	status := Status{
		Name:           "n1",
		Role:           "leader",
		Epoch:          5,
		Version:        9,
		PendingVersion: 10,
		Restricted:     true,
		RestrictedMS:   1500,
		LeaseLeftMS:    -3,
		Parent:         "n0",
		Path:           []string{"n1", "n0"},
		Children:       []string{"n2", "n3"},
		Voters:         map[string]string{"n0": "connected", "n1": "self"},
		Leader:         "n1",
		Term:           4,
		Fault:          "disk full",
		WaitingFor:     []string{"n4"},
		Lagging:        map[string]uint64{"n5": 8},
	}
	entry := clusterconfig.Entry{
		Version: 2,
		Proposal: clusterconfig.Proposal{
			Expected: 1,
			Author:   "a",
			Reason:   "r",
			Changes:  []clusterconfig.Change{{Key: "plan.gold.limit", Value: "120"}},
		},
		PreviousHash: "00ff",
		Hash:         "ff00",
	}
	document := &clusterconfig.Document{
		Epoch:     5,
		Version:   2,
		Values:    map[string]string{"plan.gold.limit": "120"},
		LastEntry: entry,
	}
	differences := []Difference{{Key: "plan.gold.limit", Old: "100", New: "120"}}
	checkAnswer(t, "status.json", status, &Status{})
	checkAnswer(t, "status-least.json", Status{}, &Status{})
	checkAnswer(t, "history.json", []clusterconfig.Entry{entry}, &[]clusterconfig.Entry{})
	checkAnswer(t, "diff.json", differences, &[]Difference{})
	checkAnswer(t, "change.json", entry, &clusterconfig.Entry{}) // the answer to propose and rollback
	checkAnswer(t, "export.json", document.Clone(), &clusterconfig.Document{})
	var refused map[string]string
	line := failure(kindExpected, "expected: another version is in force: 3, not 2")
	if err := json.Unmarshal(line, &refused); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, "failure.json", refused, &map[string]string{})
}
