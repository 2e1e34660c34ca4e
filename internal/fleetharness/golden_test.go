package fleetharness

import (
	"encoding/json"
	"testing"
	"time"

	"junctionwharf/internal/daemon"
	"junctionwharf/internal/golden"
)

// checkGolden compares the JSON of a value with a golden file, and decodes the file into decoded and encodes it again.
func checkGolden(t *testing.T, name string, value, decoded any) {
	t.Helper()
	golden.CheckJSON(t, name, value, decoded, "")
}

// The encodings of journals and of the file of hollow brokers do not change. Journals of earlier runs must be readable
// after an upgrade, and another program reads the file of hollow brokers.
func TestJournalBytes(t *testing.T) {
	checkGolden(t, "line.json", LogLine{
		At:         1500 * time.Microsecond,
		Process:    "broker-1",
		Message:    "serving",
		Attributes: map[string]string{"what": "clients"},
	}, &LogLine{})
	checkGolden(t, "breach.json", Violation{Rule: "two attempts out", At: "0.001 s", Trace: "seed 1"}, &Violation{})
	checkGolden(t, "hollow.json", []HollowBroker{{
		Config: json.RawMessage(`{"name":"n1"}`),
		Site:   "site.toml",
		Demand: daemon.SyntheticLoad{Rate: 1.5, Volumes: 40, ResponseTime: 20 * time.Millisecond, Seed: 7},
	}}, &[]HollowBroker{})
}

// The names in reports and settings do not change. Present tools read reports of earlier runs, and brokers read the
// settings that the harness writes.
func TestReportAndSettingsBytes(t *testing.T) {
	phase := Phase{
		FromS: 1, ToS: 2, Sent: 3, Served: 4, InObjective: 5, Rejected: 6, Failed: 7, Lost: 8, Excluded: 9, Late: 10,
		P50: 11, P99: 12, MaxOverMean: 13, WorstSecond: 14, IdleNodes: 15, WorstSecondAt: "node-1 at 2 s",
		RandomWorstSecond: 16,
	}
	checkGolden(t, "report.json", Report{
		Scenario: "s", Seed: 1, Brokers: 2, Nodes: 3, Phases: []Phase{phase}, All: phase,
		PerNode: map[string]int{"node-0": 4}, Dials: 5, PeakConns: 6, DiscoveryCalls: 7, Datagrams: 8, DatagramBytes: 9,
		Violations: []Violation{{Rule: "r", At: "a", Trace: "t"}},
		Agreement: &AgreementReport{
			Conflict:         Conflict{LongestUS: 10, Trace: "c", Versions: 11, Spans: 12, CommitToAllUS: []int64{13}},
			ProposalOutcomes: map[string]int{"": 14}, MeanBytesPerS: 15, MaxBytesPerS: 16, MemoryMB: 17,
		},
		HollowBrokers: 18,
		Costs: []Cost{{
			Broker: 19, Hollow: true, Role: "leaf", Children: 20, Sent: 21, Received: 22, PeerSent: 23,
			PeerReceived: 24,
			CPU:          25, MemoryMB: 26,
		}},
		SlowStart:      []SlowStartSecond{{Node: "node-0", AgeS: 27, Units: 28, Limit: 29}},
		RestartMS:      []float64{30},
		BalancedAfterS: []float64{31},
	}, &Report{})

	scenario := &Scenario{
		Brokers: 3, Peers: true, Rate: 1, DurationS: 1, Shards: 2, Node: NodeSpec{Count: 4, Zones: 3},
	}
	if err := scenario.Validate(); err != nil {
		t.Fatal(err)
	}
	fleet := &Fleet{scenario: scenario}
	checkGolden(t, "settings.json", fleet.settings(2), &brokerSettings{})
}
