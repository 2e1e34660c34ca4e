package fleetharness

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validScenario is a minimal valid scenario.
const validScenario = "brokers = 3\nfor_s = 2\nrate = 1\n[node]\ncount = 2\n"

// An error for an invalid scenario names the invalid key.
func TestScenarioFaults(t *testing.T) {
	event := func(lines string) string { return validScenario + "[[event]]\n" + lines }
	hollow := func(lines string) string { return validScenario + "[hollow]\n" + lines }
	for text, want := range map[string]string{
		validScenario:                 "",
		"brokers = 0\n":               "brokers",
		validScenario + "speed = 3\n": "node.speed: unknown key",
		strings.Replace(validScenario, "rate = 1", "rate = 100000", 1): "rate",

		event("what = \"silent\"\nnodes = [2]\n"):                 "event[0].nodes",
		event("what = \"vanish\"\nnodes = [1]\n"):                 "event[0].what",
		event("what = \"kill\"\n"):                                "event[0]: no target",
		event("what = \"slow\"\nnodes = [1]\n"):                   "event[0].by",
		event("what = \"silent\"\nnodes = [1]\nway = \"both\"\n"): "event[0].way",
		event("what = \"contradict\"\nbrokers = [1]\n"):           "event[0].nodes",

		hollow("brokers = 2000\n"):                      "hollow.brokers",
		hollow("brokers = 9\neach = 500\n"):             "hollow.each",
		hollow("brokers = 900\neach = 1\n"):             "903 processes are more than 400",
		"limit_mb = 3000\n" + hollow("brokers = 900\n"): "16200 MB",
		hollow("brokers = 9\nvolumes = -1\n"):           "hollow: rate",
		hollow("size = 9\n"):                            "hollow.size: unknown key",
	} {
		err := loadText(t, text)
		if want == "" {
			if err != nil {
				t.Errorf("load valid scenario %q: %v", text, err)
			}
			continue
		}
		var keyError *KeyError
		if !errors.As(err, &keyError) || !strings.Contains(err.Error(), want) {
			t.Errorf("load scenario %q: want an error with %q, got %v", text, want, err)
		}
	}
}

func loadText(t *testing.T, text string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scenario.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	return err
}

// All scenarios in deploy/scenarios can be loaded.
func TestShippedScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/scenarios/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found %d scenarios: %v", len(paths), err)
	}
	for _, path := range paths {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}
