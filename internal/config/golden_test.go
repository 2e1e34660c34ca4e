package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"junctionwharf/internal/golden"
)

// settingsKeys lists all keys of the settings, each with a valid value in JSON.
var settingsKeys = []struct{ path, value string }{
	{"bounds.cancel", `true`},
	{"bounds.peers", `true`},
	{"bounds.probes", `true`},
	{"bounds.retryAfter", `true`},
	{"bounds.secondCopies", `true`},
	{"bounds.maxAttempts", `4`},
	{"bounds.maxRetryAfter", `1001`},
	{"bounds.connIdle", `1002`},
	{"bounds.connectTimeout", `1003`},
	{"classes.name", `"read"`},
	{"classes.effect", `"keyed"`},
	{"classes.keyScope", `"zone"`},
	{"classes.aim", `1004`},
	{"classes.deadline", `1005`},
	{"classes.window", `1006`},
	{"classes.aimStretch", `1.5`},
	{"classes.importance", `2.5`},
	{"classes.lateWorth", `3.5`},
	{"classes.byArrival", `true`},
	{"classes.stream", `true`},
	{"discovery", `"subscribe"`},
	{"invariants.answerSlack", `1007`},
	{"invariants.cold", `1008`},
	{"invariants.drainGrace", `1009`},
	{"invariants.fall", `1010`},
	{"invariants.mustAskIn", `1011`},
	{"invariants.keyQuiet", `1012`},
	{"invariants.ratioSpan", `1013`},
	{"invariants.coldShare", `0.25`},
	{"invariants.fallMultiple", `4.5`},
	{"invariants.extraFloor", `5.5`},
	{"invariants.resendRatio", `0.125`},
	{"nInstances", `3`},
	{"ordinal", `2`},
	{"serviceLevels.name", `"gold"`},
	{"serviceLevels.capDepth", `6.5`},
	{"serviceLevels.ceilingRate", `7.5`},
	{"serviceLevels.floorRate", `8.5`},
	{"serviceLevels.nominal", `9.5`},
	{"serviceLevels.parts", `10.5`},
	{"serviceLevels.price", `11.5`},
	{"serviceLevels.tolerance", `12.5`},
	{"specifics.idleWorth", `13.5`},
	{"specifics.maxUnits", `14.5`},
	{"specifics.usualUnits", `15.5`},
	{"specifics.withinShare", `16.5`},
	{"specifics.youngLimit", `17.5`},
	{"specifics.usePeriod", `1014`},
	{"specifics.nShards", `18`},
	{"zone", `"z1"`},
}

// settingsWith returns settings in JSON with all keys of settingsKeys. If wrong is not empty, it is the path of the key
// whose value has the wrong type.
func settingsWith(t *testing.T, wrong string) []byte {
	t.Helper()
	sections := map[string]any{}
	for _, setting := range settingsKeys {
		value := json.RawMessage(setting.value)
		if setting.path == wrong {
			value = json.RawMessage(`[[]]`)
		}
		section, key, isNested := strings.Cut(setting.path, ".")
		if !isNested {
			sections[section] = value
			continue
		}
		keysOfSection(sections, section)[key] = value
	}
	text, err := json.Marshal(sections)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// keysOfSection returns the keys of a section, which it adds if necessary. The sections of classes and plans are lists
// of one element.
func keysOfSection(sections map[string]any, section string) map[string]json.RawMessage {
	switch existing := sections[section].(type) {
	case map[string]json.RawMessage:
		return existing
	case []map[string]json.RawMessage:
		return existing[0]
	}
	keys := map[string]json.RawMessage{}
	sections[section] = keys
	if section == "classes" || section == "serviceLevels" {
		sections[section] = []map[string]json.RawMessage{keys}
	}
	return keys
}

// The platform writes the keys of the settings, so their names must not change. Each key is read regardless of case.
func TestSettingsKeys(t *testing.T) {
	text := string(settingsWith(t, ""))
	otherCase := strings.NewReplacer(`"maxAttempts"`, `"MAXATTEMPTS"`, `"nInstances"`, `"NInstances"`).Replace(text)
	for _, text := range []string{text, otherCase} {
		settings, err := ParseSettings([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "settings.txt", []byte(fmt.Sprintf("%v\n", *settings)))
	}
}

// faultsFile records the error for each key whose value has the wrong type.
const faultsFile = "settings-faults.txt"

// rewordedFaults lists the texts in faultsFile that have been reworded since the recording, each with its new text.
var rewordedFaults = [][2]string{
	{"bounds.cancel: a array is no value for it", "bounds.cancel: got array, want bool"},
	{"bounds.peers: a array is no value for it", "bounds.peers: got array, want bool"},
	{"bounds.probes: a array is no value for it", "bounds.probes: got array, want bool"},
	{"bounds.retryAfter: a array is no value for it", "bounds.retryAfter: got array, want bool"},
	{"bounds.secondCopies: a array is no value for it", "bounds.secondCopies: got array, want bool"},
	{"bounds.maxAttempts: a array is no value for it", "bounds.maxAttempts: got array, want int"},
	{"bounds.maxRetryAfter: a array is no value for it", "bounds.maxRetryAfter: got array, want float64"},
	{"bounds.connIdle: a array is no value for it", "bounds.connIdle: got array, want float64"},
	{"bounds.connectTimeout: a array is no value for it", "bounds.connectTimeout: got array, want float64"},
	{"classes.name: a array is no value for it", "classes.name: got array, want string"},
	{"classes.effect: a array is no value for it", "classes.effect: got array, want string"},
	{"classes.keyScope: a array is no value for it", "classes.keyScope: got array, want string"},
	{"classes.aim: a array is no value for it", "classes.aim: got array, want float64"},
	{"classes.deadline: a array is no value for it", "classes.deadline: got array, want float64"},
	{"classes.window: a array is no value for it", "classes.window: got array, want float64"},
	{"classes.aimStretch: a array is no value for it", "classes.aimStretch: got array, want float64"},
	{"classes.importance: a array is no value for it", "classes.importance: got array, want float64"},
	{"classes.lateWorth: a array is no value for it", "classes.lateWorth: got array, want float64"},
	{"classes.byArrival: a array is no value for it", "classes.byArrival: got array, want bool"},
	{"classes.stream: a array is no value for it", "classes.stream: got array, want bool"},
	{"discovery: a array is no value for it", "discovery: got array, want string"},
	{"invariants.answerSlack: a array is no value for it", "invariants.answerSlack: got array, want float64"},
	{"invariants.cold: a array is no value for it", "invariants.cold: got array, want float64"},
	{"invariants.drainGrace: a array is no value for it", "invariants.drainGrace: got array, want float64"},
	{"invariants.fall: a array is no value for it", "invariants.fall: got array, want float64"},
	{"invariants.mustAskIn: a array is no value for it", "invariants.mustAskIn: got array, want float64"},
	{"invariants.keyQuiet: a array is no value for it", "invariants.keyQuiet: got array, want float64"},
	{"invariants.ratioSpan: a array is no value for it", "invariants.ratioSpan: got array, want float64"},
	{"invariants.coldShare: a array is no value for it", "invariants.coldShare: got array, want float64"},
	{"invariants.fallMultiple: a array is no value for it", "invariants.fallMultiple: got array, want float64"},
	{"invariants.extraFloor: a array is no value for it", "invariants.extraFloor: got array, want float64"},
	{"invariants.resendRatio: a array is no value for it", "invariants.resendRatio: got array, want float64"},
	{"nInstances: a array is no value for it", "nInstances: got array, want int"},
	{"ordinal: a array is no value for it", "ordinal: got array, want int"},
	{"serviceLevels.name: a array is no value for it", "serviceLevels.name: got array, want string"},
	{"serviceLevels.capDepth: a array is no value for it", "serviceLevels.capDepth: got array, want float64"},
	{"serviceLevels.ceilingRate: a array is no value for it", "serviceLevels.ceilingRate: got array, want float64"},
	{"serviceLevels.floorRate: a array is no value for it", "serviceLevels.floorRate: got array, want float64"},
	{"serviceLevels.nominal: a array is no value for it", "serviceLevels.nominal: got array, want float64"},
	{"serviceLevels.parts: a array is no value for it", "serviceLevels.parts: got array, want float64"},
	{"serviceLevels.price: a array is no value for it", "serviceLevels.price: got array, want float64"},
	{"serviceLevels.tolerance: a array is no value for it", "serviceLevels.tolerance: got array, want float64"},
	{"specifics.idleWorth: a array is no value for it", "specifics.idleWorth: got array, want float64"},
	{"specifics.maxUnits: a array is no value for it", "specifics.maxUnits: got array, want float64"},
	{"specifics.usualUnits: a array is no value for it", "specifics.usualUnits: got array, want float64"},
	{"specifics.withinShare: a array is no value for it", "specifics.withinShare: got array, want float64"},
	{"specifics.youngLimit: a array is no value for it", "specifics.youngLimit: got array, want float64"},
	{"specifics.usePeriod: a array is no value for it", "specifics.usePeriod: got array, want float64"},
	{"specifics.nShards: a array is no value for it", "specifics.nShards: got array, want int"},
	{"zone: a array is no value for it", "zone: got array, want string"},
}

// readFaults returns the recorded faults after replacing the texts in rewordedFaults. The test fails if a row of the
// table is not found in the recording.
func readFaults(t *testing.T) string {
	t.Helper()
	recorded, err := os.ReadFile(filepath.Join("testdata", faultsFile))
	if err != nil {
		t.Fatal(err)
	}
	var pairs []string
	for _, row := range rewordedFaults {
		if !strings.Contains(string(recorded), row[0]) {
			t.Errorf("%s does not contain %q", faultsFile, row[0])
		}
		pairs = append(pairs, row[:]...)
	}
	return strings.NewReplacer(pairs...).Replace(string(recorded))
}

// A value of the wrong type causes an error that starts with the key.
func TestSettingsTypeErrors(t *testing.T) {
	var faults strings.Builder
	for _, setting := range settingsKeys {
		_, err := ParseSettings(settingsWith(t, setting.path))
		fmt.Fprintf(&faults, "%s: %v\n", setting.path, err)
	}
	if golden.Recording() {
		golden.Check(t, faultsFile, []byte(faults.String()))
	}
	if got, want := faults.String(), readFaults(t); got != want {
		t.Errorf("%s:\n%s\nwant:\n%s", faultsFile, got, want)
	}
}
