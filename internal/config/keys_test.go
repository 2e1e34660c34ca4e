package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// optionalPaths lists the keys that a file may lack. The platform's pages say of them "the key may be absent",
// "optional", "where given" or "older days have neither". The list of known nodes is used only at a start, and
// local_address is a key of this project.
var optionalPaths = []string{
	".console", ".known", ".local_address", ".settings.prices.fleet",
	".settings.classes[0].aimStretch", ".settings.classes[0].byArrival",
	".settings.classes[1].aimStretch", ".settings.classes[1].byArrival",
	".settings.invariants.extraFloor", ".settings.invariants.keyQuiet",
	".settings.invariants.ratioSpan", ".settings.invariants.resendRatio",
}

// unusedPaths lists required keys of the settings whose values the broker does not use. A start accepts a file without
// them.
var unusedPaths = []string{
	".settings.bounds.cpuUsPerRequest", ".settings.bounds.cpuUsPerS", ".settings.bounds.maxOpen",
	".settings.bounds.streamsPerConn", ".settings.clients", ".settings.clients.marksRetry", ".settings.family",
	".settings.kinds", ".settings.prices", ".settings.prices.connection", ".settings.prices.crossZone",
	".settings.prices.discovery", ".settings.prices.handshake", ".settings.prices.lateFail",
	".settings.prices.moves", ".settings.prices.origin", ".settings.prices.peer", ".settings.prices.probe",
	".settings.prices.waste", ".settings.scoreParts", ".settings.scoreParts.whole",
	".settings.scoreParts.worstClass", ".settings.scoreParts.worstTenant", ".settings.scoreParts.worstWindow",
	".settings.specifics.tellsElsewhere", ".settings.specifics.writes", ".settings.stage", ".settings.telemetry",
	".settings.telemetry.fields", ".settings.telemetry.via", ".settings.tick", ".settings.tiers",
	".settings.weights", ".settings.zones",
}

// withoutEachKey calls use with the encoding of an object in which one key after the other, at any depth, is missing.
func withoutEachKey(t *testing.T, path string, part any, enclose func(any) any, use func(path string, encoded []byte)) {
	t.Helper()
	switch p := part.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(p)) {
			without := maps.Clone(p)
			delete(without, key)
			encoded, err := json.Marshal(enclose(without))
			if err != nil {
				t.Fatal(err)
			}
			use(path+"."+key, encoded)
			withoutEachKey(t, path+"."+key, p[key], func(inner any) any {
				object := maps.Clone(p)
				object[key] = inner
				return enclose(object)
			}, use)
		}
	case []any:
		for i := range p {
			withoutEachKey(t, fmt.Sprintf("%s[%d]", path, i), p[i], func(inner any) any {
				list := slices.Clone(p)
				list[i] = inner
				return enclose(list)
			}, use)
		}
	}
}

// fullText is configText with all optional keys.
func fullText() []byte {
	return []byte(strings.NewReplacer(
		`"effect":`, `"aimStretch":0.5,"byArrival":true,"effect":`,
		`"answerSlack":`, `"keyQuiet":1,"extraFloor":1,"resendRatio":1,"ratioSpan":1,"answerSlack":`,
		`"waste":`, `"fleet":0,"waste":`,
		`"name":"n3"`, `"name":"n3","console":"10.0.0.4:1","local_address":"10.0.0.4"`,
	).Replace(configText))
}

// Whether a key may be missing was decided by the running file. It is a property of each key: of the complete file each
// key in turn is left out, or null, in one element of its list. A reload must reject a file without a required key, and
// a start one without a key of the settings that the broker uses. Both errors name the key.
func TestEachKeyIsRequiredOrOptional(t *testing.T) {
	var whole any
	if err := json.Unmarshal(fullText(), &whole); err != nil {
		t.Fatal(err)
	}
	tried := map[string]bool{}
	check := func(path string, encoded []byte) {
		if strings.HasPrefix(path, ".known.") {
			return // the list of nodes is checked by its own parser
		}
		tried[path] = true
		name := strings.TrimPrefix(path, ".") + ": missing"
		c, err := Parse(encoded, func(string) string { return "10.0.0.4:9" })
		inSettings := strings.HasPrefix(path, ".settings.")
		needed := path == ".settings" || inSettings && !slices.Contains(unusedPaths, path)
		isOptional := slices.Contains(optionalPaths, path)
		if needed && !isOptional {
			if err == nil || err.Error() != name {
				t.Errorf("%s is missing: a start reports %v, want %q", path, err, name)
			}
			return
		}
		if err != nil {
			t.Errorf("%s is missing: a start reports %v, want it to begin", path, err)
			return
		}
		if err := c.CheckComplete(); isOptional && err != nil || !isOptional && (err == nil || err.Error() != name) {
			t.Errorf("%s is missing: a reload reports %v, optional: %v", path, err, isOptional)
		}
	}
	withoutEachKey(t, "", whole, func(object any) any { return object }, check)
	for _, path := range slices.Concat(optionalPaths, unusedPaths) {
		if !tried[path] {
			t.Errorf("%s is in no complete file", path)
		}
	}
	if len(tried) < 90 {
		t.Errorf("only %d keys were tried", len(tried))
	}
	replacements(t, whole, func(path, shape string, encoded []byte) {
		if shape == "null" && tried[path] {
			check(path, encoded)
		}
	})
}

// A complete file without any optional key is complete, in any spelling of its keys.
func TestOptionalKeysMayAllBeMissing(t *testing.T) {
	for _, text := range [][]byte{
		[]byte(configText),
		fullText(),
		bytes.ReplaceAll([]byte(configText), []byte(`"window"`), []byte(`"Window"`)),
		bytes.ReplaceAll([]byte(configText), []byte(`"tick"`), []byte(`"TICK"`)),
	} {
		c, err := Parse(text, emptyEnvironment)
		if err == nil {
			err = c.CheckComplete()
		}
		if err != nil {
			t.Errorf("%s: %v", text, err)
		}
	}
}
