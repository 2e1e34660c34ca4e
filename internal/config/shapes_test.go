package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// shapes are JSON values of every shape, and numbers beyond what the fields can hold.
var shapes = []string{
	`null`, `true`, `0`, `-1`, `0.5`, `1e15`, `1e19`, `-1e19`, `1e300`, `1e400`, `""`, `"text"`, `[]`, `{}`, `[[]]`,
	`[null]`, `[{}]`, `[0]`, `{"":0}`, `{"a":{"b":[]}}`, `[{"name":"a"},{"name":"a"}]`,
}

// replacements calls use with the encoding of value in which one part after the other, value itself included, is
// replaced with every shape.
func replacements(t *testing.T, value any, use func(path, shape string, encoded []byte)) {
	t.Helper()
	var replace func(path string, part any, enclose func(any) any)
	replace = func(path string, part any, enclose func(any) any) {
		for _, shape := range shapes {
			text, err := json.Marshal(enclose(json.RawMessage(shape)))
			if err != nil {
				t.Fatal(err)
			}
			use(path, shape, text)
		}
		switch p := part.(type) {
		case map[string]any:
			for key, inner := range p {
				replace(path+"."+key, inner, func(replacement any) any {
					object := maps.Clone(p)
					object[key] = replacement
					return enclose(object)
				})
			}
		case []any:
			for i, inner := range p {
				replace(fmt.Sprintf("%s[%d]", path, i), inner, func(replacement any) any {
					list := slices.Clone(p)
					list[i] = replacement
					return enclose(list)
				})
			}
		}
	}
	replace("", value, func(whole any) any { return whole })
}

// expectUsable lets the core apply a configuration that was accepted. It fails on values that calculations cannot hold.
func expectUsable(t *testing.T, c *Config) {
	t.Helper()
	set := c.Settings.Scheduler
	for _, class := range set.Classes {
		if class.Deadline <= 0 || class.LatencyObjective <= 0 || max(class.Deadline, class.LatencyObjective) > maxDuration {
			t.Errorf("class %+v was accepted", class)
		}
	}
	if c.Settings.ConnIdle <= 0 || c.Settings.ConnectTimeout <= 0 {
		t.Errorf("connIdle %v or connectTimeout %v was accepted", c.Settings.ConnIdle, c.Settings.ConnectTimeout)
	}
	state, err := broker.NewState(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	clock := broker.NewClock()
	events := []broker.Event{broker.SettingsChanged{Settings: set}}
	if c.CachedEndpoints != nil {
		events = append(events, c.CachedEndpoints.Event(scheduler.FullUpdate, clock))
	}
	state.Reduce(clock.Now(), events)
}

// A file with "settings":[] ended a running broker by a panic, as did a file that is no object. No value of any shape
// anywhere in a configuration may cause a panic, and one of the wrong shape must be rejected. The empty settings must
// be rejected with their key.
func TestEveryShapeIsDecodedOrRejected(t *testing.T) {
	var whole any
	if err := json.Unmarshal([]byte(configText), &whole); err != nil {
		t.Fatal(err)
	}
	accepted, rejected := 0, 0
	replacements(t, whole, func(path, shape string, encoded []byte) {
		defer func() {
			if cause := recover(); cause != nil {
				t.Errorf("%s replaced with %s: panic: %v", path, shape, cause)
			}
		}()
		c, err := Parse(encoded, emptyEnvironment)
		if err == nil {
			accepted++
			expectUsable(t, c)
			return
		}
		rejected++
		if c != nil || err.Error() == "" {
			t.Errorf("%s replaced with %s: configuration %v with error %q", path, shape, c, err)
		}
	})
	t.Logf("%d configurations were accepted, %d rejected", accepted, rejected)
	for text, want := range map[string]string{
		`[]`:    "got array, want struct",
		`"x"`:   "got string, want struct",
		`1`:     "got number, want struct",
		`null`:  `listen: "" is not of the form address:port`,
		`{}`:    `listen: "" is not of the form address:port`,
		``:      "unexpected end of JSON input",
		`[[[[`:  "unexpected end of JSON input",
		`{} {}`: "invalid character '{' after top-level value",
	} {
		if _, err := Parse([]byte(text), emptyEnvironment); err == nil || err.Error() != want {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
	}
	for settings, want := range map[string]string{
		`[]`:     "settings: got array, want struct",
		`"none"`: "settings: got string, want struct",
		`0`:      "settings: got number, want struct",
		`null`:   "settings: missing",
		`{}`: "settings.bounds, settings.classes, settings.clients, settings.discovery, settings.family, " +
			"settings.invariants, settings.kinds, settings.nInstances, settings.ordinal, settings.prices, " +
			"settings.scoreParts, settings.serviceLevels and 8 more keys: missing",
	} {
		text := bytes.Replace([]byte(configText), []byte(settingsText), []byte(settings), 1)
		if _, err := Parse(text, emptyEnvironment); err == nil || err.Error() != want {
			t.Errorf("settings %s: got error %v, want %q", settings, err, want)
		}
	}
}

// FuzzParse parses arbitrary text. Parse must not panic, and the core must be able to apply what it accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(configText))
	f.Add([]byte(`{"settings":[]}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"listen":"10.0.0.4:1","discovery":"10.0.0.1:1","settings":` + keyedSettings + `}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if c, err := Parse(text, emptyEnvironment); err == nil {
			expectUsable(t, c)
		}
	})
}
