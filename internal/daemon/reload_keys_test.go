package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"junctionwharf/internal/config"
	"junctionwharf/internal/logging"
)

// optionalKeys adds each optional key of the settings, and the optional keys of the file, to keysText.
var optionalKeys = strings.NewReplacer(
	`"importance":1`, `"importance":1,"aimStretch":0.5,"byArrival":true`,
	`"drainGrace":2000000`, `"drainGrace":2000000,"keyQuiet":9,"extraFloor":1,"resendRatio":0.1,"ratioSpan":1000000`,
	`"waste":0`, `"waste":0,"fleet":0.1`,
	`"name":"n1"`, `"name":"n1","console":"127.0.0.1:3","known":{"seq":1,"whole":true,"hosts":[]}`,
)

// keysText is a configuration of two classes without optional keys.
func keysText(t *testing.T) string {
	t.Helper()
	return completeConfig(t, `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":`+
		withWriteClass(settingsText)+`}`)
}

// reloadOf reloads a file while a broker runs that has started with another one. The environment has addresses of the
// time before the reload, as on the platform. It returns the configuration that is
// then active, and the reason of a rejection or "".
func reloadOf(t *testing.T, started, text string) (current *config.Config, reason string) {
	t.Helper()
	const rejection = "reload rejected; the previous configuration stays active reason="
	c, err := config.Parse([]byte(started), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	s := newReloadService(t, c, func(line string) { lines = append(lines, line) })
	environment := map[string]string{"BALANCER_DISCOVERY": "127.0.0.1:9", "BALANCER_LISTEN": "127.0.0.1:9"}
	current = s.reload(c, func() (*config.Config, error) {
		return config.Parse([]byte(text), func(name string) string { return environment[name] })
	})
	for _, line := range lines {
		if strings.HasPrefix(line, rejection) {
			reason += strings.TrimPrefix(line, rejection)
		}
	}
	counts := [2]uint64{s.metric(t, "reconfig_ok"), s.metric(t, "reconfig_failed")}
	if reason == "" && counts != [2]uint64{1, 0} {
		t.Errorf("accepted and rejected reloads: %v, want one accepted", counts)
	}
	if reason != "" && (counts != [2]uint64{0, 1} || current != c || len(lines) != 1) {
		t.Errorf("accepted and rejected reloads: %v, log %q, want one rejected in one line", counts, lines)
	}
	return current, reason
}

// metric returns the value of a counter of the core.
func (s *service) metric(t *testing.T, name string) uint64 {
	t.Helper()
	for _, metric := range s.loop.Metrics.Read() {
		if metric.Name == name {
			return metric.Value
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// New settings without an optional key were rejected if the running file had the key in all elements of a list, and a
// class that had become unsafe was repeated. Optional keys may come and go, in any order, and a key that is gone is at
// its default.
func TestReloadWithoutOptionalKeys(t *testing.T) {
	without := keysText(t)
	with := optionalKeys.Replace(without)
	if strings.Count(with, "aimStretch") != 1 {
		t.Fatalf("the file with optional keys is %s, want the keys in one class", with)
	}
	inBoth := strings.Replace(with, `"importance":0`, `"importance":0,"aimStretch":2,"byArrival":false`, 1)
	null := strings.NewReplacer(`"aimStretch":0.5`, `"aimStretch":null`, `"keyQuiet":9`, `"keyQuiet":null`).Replace(with)
	for _, c := range []struct{ name, started, text string }{
		{"keys gone", with, without},
		{"keys gone from both classes", inBoth, without},
		{"keys gone from one class", inBoth, with},
		{"keys new", without, inBoth},
		{"never any", without, without},
		{"null", inBoth, null},
	} {
		t.Run(c.name, func(t *testing.T) {
			current, reason := reloadOf(t, c.started, c.text)
			if reason != "" {
				t.Fatalf("rejected: %s", reason)
			}
			want := parseConfig(t, c.text).Settings.Scheduler
			got := current.Settings.Scheduler
			if got.Rules != want.Rules || got.Classes[0] != want.Classes[0] || got.Classes[1] != want.Classes[1] {
				t.Errorf("active settings are %+v, want those of the new file alone: %+v", got, want)
			}
		})
	}
}

// A required key that the running file lacked, or that only one element of a list lacks, was not missed. The pages, not
// the running file, decide which keys a file must have.
func TestReloadWithoutRequiredKeys(t *testing.T) {
	sound := keysText(t)
	const class = `{"name":"new","aim":1000,"deadline":2000,"effect":"safe","importance":1,"keyScope":"all",` +
		`"lateWorth":0,"stream":false,"window":0}`
	withClass := strings.Replace(sound, `"classes":[`, `"classes":[`+class+`,`, 1)
	for _, c := range []struct{ name, started, old, new, reason string }{
		{"in one element", sound, `"importance":1,`, ``, "settings.classes[1].importance: missing"},
		{"null in one element", sound, `"importance":1`, `"importance":null`, "settings.classes[1].importance: missing"},
		{"null element", sound, `"serviceLevels":[`, `"serviceLevels":[null,`,
			"settings.serviceLevels[0].name, settings.serviceLevels[0].capDepth"},
		{"new class", sound, `"classes":[`, `"classes":[` + strings.Replace(class, `,"window":0`, ``, 1) + `,`,
			"settings.classes[0].window: missing"},
		{"class of the running file", withClass, `"keyScope":"all",`, ``, "settings.classes[0].keyScope: missing"},
		{"key that the broker does not use", sound, `"waste":0`, `"spare":0`, "settings.prices.waste: missing"},
		{"such a key that is not in the running file", strings.Replace(sound, `"waste":0`, `"spare":0`, 1),
			`"waste":0`, `"spare":0`, "settings.prices.waste: missing"},
		{"section", sound, `"telemetry":`, `"else":`, "settings.telemetry: missing"},
		{"no plan", sound, `"serviceLevels":[`, `"serviceLevels":[],"else":[`,
			"settings.serviceLevels: at least one plan is required"},
		{"outside the settings", sound, `"seed":"0",`, ``, "seed: missing"},
		{"outside, empty", sound, `"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery: missing"},
		{"limit", sound, `"cores":0,`, ``, "limits.cores: missing"},
		{"outside, not in the running file", strings.Replace(sound, `"peers_all":"",`, ``, 1), `"peers_all":"",`, ``,
			"peers_all: missing"},
		{"outside, null", sound, `"peers":[]`, `"peers":null`, "peers: missing"},
		{"two keys", sound, `"moves":0,"origin":0,`, ``, "settings.prices.moves, settings.prices.origin: missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(sound, c.old, c.new, 1)
			if text == sound {
				t.Fatalf("the file does not contain %s", c.old)
			}
			if _, reason := reloadOf(t, c.started, text); !strings.HasPrefix(reason, c.reason) {
				t.Errorf("reason %q, want %q", reason, c.reason)
			}
		})
	}
}

// A file without keys that the broker does not use is enough for a start, which names them in one line of the log. A
// reload of the same file is rejected.
func TestStartNamesMissingKeys(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	address := unusedAddress(t)
	text := strings.NewReplacer("127.0.0.1:1", address, `"waste":0`, `"spare":0`, `"seed":"0",`, ``).Replace(keysText(t))
	c, err := config.Parse([]byte(text), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	const want = "configuration is incomplete; a reload of it would be rejected reason=seed, settings.prices.waste: missing"
	var mu sync.Mutex
	lines := 0
	broker := startBroker(c, logging.ToFunc(func(line string) {
		mu.Lock()
		defer mu.Unlock()
		if line == want {
			lines++
		}
	}), nil, nil)
	dialClient(t, address).ping(t)
	broker.stop()
	broker.waitEnd(t)
	if lines != 1 {
		t.Errorf("%d lines %q, want 1", lines, want)
	}
	if _, reason := reloadOf(t, text, text); reason != "seed, settings.prices.waste: missing" {
		t.Errorf("reload of the same file: reason %q", reason)
	}
}

// Of rejected reloads in quick succession only five in ten seconds were logged, so that the reasons of the others were
// nowhere. Each reload has its line, whatever the log leaves out elsewhere.
func TestEachRejectedReloadIsLogged(t *testing.T) {
	const reloads = 12
	text := keysText(t)
	c, err := config.Parse([]byte(text), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	s := newReloadService(t, c, func(string) {})
	if s.log, err = logging.New(&output, logging.Options{Name: "n1"}); err != nil {
		t.Fatal(err)
	}
	for i := range reloads {
		name := fmt.Sprintf(`"discovery":"host%d"`, i)
		faulty := strings.Replace(text, `"discovery":"127.0.0.1:2"`, name, 1)
		s.reload(c, func() (*config.Config, error) { return config.Parse([]byte(faulty), emptyEnvironment) })
	}
	for i := range reloads {
		if count := strings.Count(output.String(), fmt.Sprintf(`host%d\"`, i)); count != 1 {
			t.Errorf("reload %d is named in %d lines, want 1:\n%s", i, count, output.String())
		}
	}
	if count := s.metric(t, "reconfig_failed"); count != reloads {
		t.Errorf("%d reloads are counted as rejected, want %d", count, reloads)
	}
}

// Sections of the site file that stay in force until a restart were not checked against new settings if the new site
// file lacked them: file writes could get a class whose requests may be repeated, and a replicated limit could exceed
// that of its plan. Such a reload is rejected.
func TestReloadChecksSectionsInForce(t *testing.T) {
	limited := strings.Replace(keysText(t), `"ceilingRate":0`, `"ceilingRate":50`, 1)
	site := writeFile(t, t.TempDir(), "site", fileServerSite("127.0.0.1:4")+
		"[agreement]\ncluster = \"x\"\nmembers = [{name=\"a\",address=\"127.0.0.1:5\"},"+
		"{name=\"b\",address=\"127.0.0.1:6\"},{name=\"c\",address=\"127.0.0.1:7\"}]\n[agreement.limits]\nplan = 40\n")
	c := parseConfig(t, limited)
	var err error
	if c.Site, err = config.LoadSite(site, c.Settings.Scheduler); err != nil {
		t.Fatal(err)
	}
	for _, fault := range []reloadFault{
		{`"effect":"unsafe"`, `"effect":"safe"`, `sftp.command.open_write.class: class "write" allows repeated execution`},
		{`"name":"write"`, `"name":"put"`, `sftp.command.open_write.class: no class "write"`},
		{`"ceilingRate":50`, `"ceilingRate":30`, `agreement.limits.plan: got 40, want above 0 and at most`},
		{`"importance":1`, `"importance":2`, ``},
	} {
		var lines []string
		s := newReloadService(t, c, func(line string) { lines = append(lines, line) })
		text := strings.Replace(limited, fault.old, fault.new, 1)
		current := s.reload(c, func() (*config.Config, error) { return config.Parse([]byte(text), emptyEnvironment) })
		if rejected := current == c; rejected != (fault.reason != "") || !strings.Contains(lines[0], fault.reason) {
			t.Errorf("%s: rejected %v, log %q, want reason %q", fault.new, rejected, lines, fault.reason)
		}
	}
}
