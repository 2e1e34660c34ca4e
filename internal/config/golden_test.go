package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"junctionwharf/internal/golden"
)

// settingsKeys are all keys of the settings, with the JSON of a value.
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

// settingsWith builds the settings' JSON; wrong, if not empty, is the key whose value is of another type.
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

// keysOfSection are the keys of a section; classes and plans are lists of one element.
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

// The keys of the settings are those of the protocol: each is read, whatever its case.
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

// A value of the wrong type is an error that names the key.
func TestSettingsTypeErrors(t *testing.T) {
	var faults strings.Builder
	for _, setting := range settingsKeys {
		_, err := ParseSettings(settingsWith(t, setting.path))
		fmt.Fprintf(&faults, "%s: %v\n", setting.path, err)
	}
	golden.Check(t, "settings-faults.txt", []byte(faults.String()))
}
