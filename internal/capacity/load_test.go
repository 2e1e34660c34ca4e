package capacity

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeRaw(t *testing.T, dir, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Checks that a directory without raw files yields no runs, all cells as missing, and no error.
func TestLoadEmptyDirectory(t *testing.T) {
	dir := t.TempDir()
	runs, missing, err := Load(dir)
	if err != nil || len(runs) != 0 || len(missing) != len(Grid) {
		t.Errorf("got runs %v, %d missing cells, error %v, want no runs and all cells missing", runs, len(missing), err)
	}
	if costs, err := LoadConnectionCosts(dir); err != nil || costs != nil {
		t.Errorf("got connection costs %v and error %v, want neither", costs, err)
	}
}

// Checks that the error names a raw file that cannot be decoded or that contains no measurements.
func TestLoadBrokenFiles(t *testing.T) {
	dir := t.TempDir()
	for _, text := range []string{"{", "[]"} {
		writeRaw(t, dir, connectionsFile, text)
		_, err := LoadConnectionCosts(dir)
		checkRawError(t, err, connectionsFile, text == "[]")
	}
	name := Grid[1].Name()
	for _, text := range []string{"{", "{}"} {
		writeRaw(t, dir, name+".json", text)
		_, _, err := Load(dir)
		checkRawError(t, err, name, text == "{}")
	}
}

func checkRawError(t *testing.T, err error, name string, empty bool) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), name) {
		t.Errorf("want an error that contains %s, got %v", name, err)
	}
	if errors.Is(err, ErrNoFigures) != empty {
		t.Errorf("%s: ErrNoFigures is expected only for a file without measurements, got %v", name, err)
	}
}

// Raw files of connection costs are kept across versions of the program. Checks that their keys, decoded and encoded,
// are those of earlier versions.
func TestConnectionCostKeys(t *testing.T) {
	const golden = `{"connections":77,"rate":5,"open":76,"memory_mb":31.04,"cpu":0.25,` +
		`"sent":9,"served":8,"p99_us":4200}`
	want := ConnectionCost{
		Connections: 77,
		Rate:        5,
		Open:        76,
		MemoryMB:    31.04,
		CPU:         0.25,
		Sent:        9,
		Served:      8,
		P99Micros:   4200,
	}
	var got ConnectionCost
	if err := json.Unmarshal([]byte(golden), &got); err != nil || got != want {
		t.Errorf("raw file decoded as %+v, %v", got, err)
	}
	if text, err := json.Marshal(want); err != nil || string(text) != golden {
		t.Errorf("connection cost encoded as %s, %v", text, err)
	}
}
