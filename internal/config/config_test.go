package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// settingsText holds settings with all keys that the platform always writes, and none of the optional ones.
const settingsText = `{"bounds":{"cancel":false,"connIdle":30000000,"connectTimeout":250000,"cpuUsPerRequest":0,
  "cpuUsPerS":300000,"maxAttempts":3,"maxOpen":20000,"maxRetryAfter":0,"peers":true,"probes":false,
  "retryAfter":false,"secondCopies":false,"streamsPerConn":100},
 "classes":[{"name":"read","aim":150000,"deadline":750000,"effect":"safe","importance":0,"keyScope":"all",
   "lateWorth":0,"stream":false,"window":0},
  {"name":"write","aim":200000,"deadline":1200000,"effect":"unsafe","importance":0,"keyScope":"all",
   "lateWorth":0,"stream":false,"window":0}],
 "clients":{"marksRetry":false},"discovery":"automatic","family":"stores",
 "invariants":{"answerSlack":0,"cold":0,"coldShare":0,"drainGrace":0,"fall":0,"fallMultiple":0,"mustAskIn":0},
 "kinds":["m"],"nInstances":3,"ordinal":2,
 "prices":{"connection":0,"crossZone":0,"discovery":0,"handshake":0,"lateFail":0,"moves":0,"origin":0,"peer":0,
  "probe":0,"waste":0},
 "scoreParts":{"whole":1,"worstClass":0,"worstTenant":0,"worstWindow":0},
 "serviceLevels":[{"name":"plan","nominal":6.7,"capDepth":0,"ceilingRate":0,"floorRate":0,"parts":0,"price":0,
   "tolerance":0},
  {"name":"other","nominal":6.7,"capDepth":0,"ceilingRate":0,"floorRate":0,"parts":0,"price":0,"tolerance":0}],
 "specifics":{"idleWorth":0,"maxUnits":8,"nShards":0,"tellsElsewhere":false,"usePeriod":0,"usualUnits":0,
  "withinShare":0,"writes":[false,true],"youngLimit":0},
 "stage":0,"telemetry":{"fields":[],"via":"off"},"tick":2000,"tiers":["t"],"weights":"off","zone":"a",
 "zones":["a"]}`

// configText is a configuration with all keys that the platform always writes.
const configText = `{"name":"n3","listen":"10.0.0.4:6379","discovery":"10.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":2,"memory_mb":100,"sockets":512},"peer_listen":"10.0.0.4:7946","peers":["10.3.0.1:7946"],
 "peers_all":"10.3.255.1:7946",
 "known":{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"10.1.0.18:6379","block":3,"health":"SERVING"}]},
 "settings":` + settingsText + `}`

// emptyEnvironment is a getenv function of an environment without variables.
func emptyEnvironment(string) string { return "" }

// Each section of the platform's file is decoded into its field. At a start, missing limits get their defaults.
func TestEachSectionIsRead(t *testing.T) {
	text := strings.NewReplacer(`"cores":2,`, ``, `,"sockets":512`, ``).Replace(configText)
	c, err := Parse([]byte(text), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("seed is %x, want 8c1f30d27a5be964", c.Seed)
	}
	if want := (Limits{Cores: defaultCores, MemoryMB: 100, Sockets: defaultSockets}); c.Limits != want {
		t.Errorf("limits are %+v, want %+v", c.Limits, want)
	}
	if c.CachedEndpoints.Version != 41 {
		t.Errorf("cached endpoint list is %+v, want version 41", c.CachedEndpoints)
	}
	if c.Settings.ConnIdle != 30*broker.Second || c.Settings.ConnectTimeout != broker.Second/4 {
		t.Errorf("idle time is %d µs and connect timeout %d µs, want 30 s and 0.25 s",
			c.Settings.ConnIdle, c.Settings.ConnectTimeout)
	}
	if c.Settings.Scheduler.Ordinal != 2 {
		t.Errorf("ordinal is %d, want 2", c.Settings.Scheduler.Ordinal)
	}
	classes := c.Settings.Scheduler.Classes
	if classes[1].Idempotency != scheduler.NotIdempotent || classes[0].Deadline != 750*time.Millisecond {
		t.Errorf("classes are %+v, want the second not idempotent and a deadline of 750 ms in the first", classes)
	}
	if c.Site.SFTP.Listen != "" {
		t.Errorf("SFTP is on without a site file: %+v", c.Site.SFTP)
	}
}

// A key that is missing from the file is read from the environment.
func TestEnvironmentSuppliesMissingKeys(t *testing.T) {
	text := strings.Replace(configText, `"listen":"10.0.0.4:6379",`, "", 1)
	environment := map[string]string{"BALANCER_LISTEN": "10.9.9.9:1"}
	c, err := Parse([]byte(text), func(name string) string { return environment[name] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "10.9.9.9:1" {
		t.Errorf("listen is %q, want %q", c.Listen, "10.9.9.9:1")
	}
}

// The error for each faulty value contains its key.
func TestFaultsNameTheirKey(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"listen":"10.0.0.4:6379"`, `"listen":"here"`, "listen"},
		{`"discovery":"10.2.0.1:8500"`, `"discovery":""`, "discovery"},
		{`"peers":["10.3.0.1:7946"]`, `"peers":["x:1"]`, "peers[0]"},
		{`"memory_mb":100`, `"memory_mb":1`, "limits.memory_mb"},
		{`"memory_mb":100`, `"memory_mb":"much"`, "limits.memory_mb"},
		{`"sockets":512`, `"sockets":-1`, "limits.sockets"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"zz"`, "seed"},
		{`"health":"SERVING"`, `"health":"UP"`, "known"},
		{`"ordinal":2`, `"ordinal":3`, "settings.ordinal"},
		{`"connIdle":30000000`, `"connIdle":-1`, "settings.bounds.connIdle"},
		{`"effect":"unsafe"`, `"effect":"odd"`, "settings.classes[1].effect"},
		{`"connIdle":30000000`, `"connIdle":"long"`, "settings.bounds.connIdle"},
		{`"settings":`, `"other":`, "settings"},
	} {
		_, err := Parse([]byte(strings.Replace(configText, c.old, c.new, 1)), emptyEnvironment)
		if err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: got error %v, want one that contains %q", c.new, err, c.key)
		}
	}
}

// If BALANCER_CONFIG is not set, the error contains the name of the variable.
func TestLoadWithoutFile(t *testing.T) {
	_, err := Load(emptyEnvironment)
	if !errors.Is(err, errNoConfig) || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("got error %v, want errNoConfig with the name BALANCER_CONFIG", err)
	}
}
