package main

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"
)

// The model is deterministic. testdata/spread.txt was written by
//
//	brokerbench spread --brokers 20 --nodes 12 --for 3s --rounds 2 --slow 0.25 --uneven 3
//
// before the model's code was split, so the test detects a change of a single draw or decision.
func TestSpreadIsReproducible(t *testing.T) {
	want, err := os.ReadFile("testdata/spread.txt")
	if err != nil {
		t.Fatal(err)
	}
	options := spreadOptions{
		brokers: 20, nodes: 12, rate: 5, uneven: 3, slow: 0.25, load: 0.5, length: 3 * time.Second,
	}
	const rounds = 2
	var got bytes.Buffer
	if err := printSpread(&got, playSpreadRounds(options, rounds, 1), rounds); err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("table is\n%swant\n%s", got.String(), want)
	}
}

// Files of measurements outlive the program, so their keys must not change.
func TestSpreadRunKeys(t *testing.T) {
	const want = `{"way":"turns","round":1,"fullest_over_mean":2,"worst_second":3,"idle_nodes":4,"p50_ms":5,` +
		`"p99_ms":6,"connections":7,"most_at_a_node":8,"slow_nodes_part":9}`
	run := spreadRun{
		Policy: policyBalancer, Round: 1, MaxOverMean: 2, WorstSecond: 3, IdleNodes: 4, P50: 5, P99: 6,
		Connections: 7, MaxConnections: 8, SlowNodeShare: 9,
	}
	checkGolden(t, run, want)
}

// checkGolden checks that the JSON encoding of a value is the golden line, and that the line decodes to the value.
func checkGolden[T comparable](t *testing.T, value T, golden string) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != golden {
		t.Errorf("encoded as %s, want %s", text, golden)
	}
	var read T
	if err := json.Unmarshal([]byte(golden), &read); err != nil {
		t.Fatal(err)
	}
	if read != value {
		t.Errorf("decoded as %+v, want %+v", read, value)
	}
}
