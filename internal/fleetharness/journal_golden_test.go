package fleetharness

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"junctionwharf/internal/daemon"
)

var recordGolden = flag.Bool("record-journal", false, "write the golden files anew")

// checkJournal compares a value's JSON with a golden file, and reads that file into to and back.
func checkGolden(t *testing.T, name string, value, to any) {
	t.Helper()
	path := "testdata/" + name
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if *recordGolden {
		if err := os.WriteFile(path, encoded, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("%s: encoded:\n%s\nwant:\n%s", name, encoded, golden)
	}
	if err := json.Unmarshal(golden, to); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(to)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, golden) {
		t.Errorf("%s: encoded again:\n%s", name, again)
	}
}

// A journal of an earlier run is read after an upgrade, and the file of hollow brokers is read by another program: their bytes stay.
func TestJournalBytes(t *testing.T) {
	checkGolden(t, "line.json", LogLine{At: 1500 * time.Microsecond, Process: "broker-1", Message: "serving", Attributes: map[string]string{"what": "clients"}}, &LogLine{})
	checkGolden(t, "breach.json", Violation{Rule: "two attempts out", At: "0.001 s", Trace: "seed 1"}, &Violation{})
	checkGolden(t, "hollow.json", []HollowBroker{{Config: json.RawMessage(`{"name":"n1"}`), Site: "site.toml",
		Demand: daemon.SyntheticLoad{Rate: 1.5, Volumes: 40, ResponseTime: 20 * time.Millisecond, Seed: 7}}}, &[]HollowBroker{})
}
