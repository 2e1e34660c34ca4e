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

// A directory without raw files lacks all runs, and that is no error.
func TestLoadEmptyDirectory(t *testing.T) {
	dir := t.TempDir()
	runs, missing, err := Load(dir)
	if err != nil || len(runs) != 0 || len(missing) != len(Grid) {
		t.Errorf("%v, %d missing, %v", runs, len(missing), err)
	}
	if costs, err := LoadConnectionCosts(dir); err != nil || costs != nil {
		t.Errorf("%v, %v", costs, err)
	}
}

// A raw file that cannot be read, or that has no figures, is named in the error.
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
		t.Errorf("want an error that names %s: %v", name, err)
	}
	if errors.Is(err, ErrNoFigures) != empty {
		t.Errorf("%s: %v", name, err)
	}
}

// The raw file of connections outlives the program: its keys are those of earlier versions, to read and to write.
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
		t.Errorf("%+v, %v", got, err)
	}
	if text, err := json.Marshal(want); err != nil || string(text) != golden {
		t.Errorf("%s, %v", text, err)
	}
}
