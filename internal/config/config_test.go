package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

const settingsText = `{"bounds":{"connIdle":30000000,"connectTimeout":250000,"maxAttempts":3,"peers":true},
 "classes":[{"name":"read","aim":150000,"deadline":750000,"effect":"safe"},{"name":"write","aim":200000,"deadline":1200000,"effect":"unsafe"}],
 "serviceLevels":[{"name":"plan","nominal":6.7}],"specifics":{"maxUnits":8},"nInstances":3,"ordinal":2,"telemetry":{"fields":[]}}`

const configText = `{"name":"n3","listen":"10.0.0.4:6379","discovery":"10.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"memory_mb":100},"peer_listen":"10.0.0.4:7946","peers":["10.3.0.1:7946"],
 "known":{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"10.1.0.18:6379","block":3,"health":"SERVING"}]},"settings":` + settingsText + `}`

func none(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(configText), none)
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.Limits != (Limits{1, 100, 1024}) || c.CachedEndpoints.Version != 41 || c.Settings.ConnIdle != 30*broker.Second ||
		c.Settings.ConnectTimeout != broker.Second/4 || c.Settings.Scheduler.Ordinal != 2 || c.Settings.Scheduler.Classes[1].Idempotency != scheduler.NotIdempotent ||
		c.Settings.Scheduler.Classes[0].Deadline != 750*time.Millisecond || c.Site.SFTP.Listen != "" {
		t.Errorf("%+v", c)
	}
}

func TestVariablesStandIn(t *testing.T) {
	text := strings.Replace(configText, `"listen":"10.0.0.4:6379",`, "", 1)
	c, err := Parse([]byte(text), func(name string) string { return map[string]string{"BALANCER_LISTEN": "10.9.9.9:1"}[name] })
	if err != nil || c.Listen != "10.9.9.9:1" {
		t.Errorf("%v", err)
	}
}

// Each fault is named by its key.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"listen":"10.0.0.4:6379"`, `"listen":"here"`, "listen"},
		{`"discovery":"10.2.0.1:8500"`, `"discovery":""`, "discovery"},
		{`"peers":["10.3.0.1:7946"]`, `"peers":["x:1"]`, "peers[0]"},
		{`"memory_mb":100`, `"memory_mb":1`, "limits.memory_mb"},
		{`"memory_mb":100`, `"memory_mb":"much"`, "limits.memory_mb"},
		{`"memory_mb":100`, `"sockets":-1`, "limits.sockets"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"zz"`, "seed"},
		{`"health":"SERVING"`, `"health":"UP"`, "known"},
		{`"ordinal":2`, `"ordinal":3`, "settings.ordinal"},
		{`"connIdle":30000000`, `"connIdle":-1`, "settings.bounds.connIdle"},
		{`"effect":"unsafe"`, `"effect":"odd"`, "settings.classes[1].effect"},
		{`"connIdle":30000000`, `"connIdle":"long"`, "settings.bounds.connIdle"},
		{`"settings":`, `"other":`, "settings"},
	} {
		_, err := Parse([]byte(strings.Replace(configText, c.old, c.new, 1)), none)
		if err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := Load(none); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Error(err)
	}
}

const siteText = `[sftp]
listen = "127.0.0.1:2022"
[sftp.command]
open = { class = "read" }
open_write = { class = "write" }
read = { class = "read", wait_ms = 500 }
write = { class = "write" }
stat = { class = "read" }
list = { class = "read" }
remove = { class = "write" }
[[sftp.volume]]
prefix = "/d"
volume = "v"
plan = "plan"
`

func TestSite(t *testing.T) {
	set, err := ParseSettings([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	load := func(text string) (Site, error) {
		path := filepath.Join(t.TempDir(), "site.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadSite(path, set.Scheduler)
	}
	s, err := load(siteText)
	if err != nil {
		t.Fatal(err)
	}
	p := s.SFTP.Plan()
	if p.Commands["read"].WaitMS != 500 || p.Commands["write"].WaitMS != 1200 || p.Volumes[0].Brokers != 3 || s.SFTP.Connections != defaultConnections {
		t.Errorf("%+v", p)
	}
	for _, c := range []struct{ old, new, key string }{
		{`listen = "127`, `listen = "x`, "sftp.listen"},
		{`write = { class = "write" }`, `write = { class = "read" }`, "sftp.command.write.class"},
		{`stat = { class = "read" }`, ``, "sftp.command.stat"},
		{`prefix = "/d"`, `prefix = "d"`, "sftp.volume[0].prefix"},
		{`plan = "plan"`, `plan = "none"`, "sftp.volume[0].plan"},
		{`volume = "v"`, `volumes = "v"`, "volumes"},
		{`[sftp]`, "[graphite]\naddress = \"x\"\n[sftp]", "graphite.address"},
		{`[sftp]`, "[collectd]\ninterval_s = -1\n[sftp]", "collectd.interval_s"},
		{`[sftp]`, "[collectd]\nsecurity = \"odd\"\n[sftp]", "collectd.security"},
		{`[sftp]`, "[collectd]\naddress = \"h:1\"\nsecurity = \"sign\"\n[sftp]", "collectd.key_file"},
		{`[sftp]`, "[collectd]\naddress = \"h:1\"\nsecurity = \"sign\"\nkey_file = \"/nowhere\"\n[sftp]", "collectd.key_file"},
		{`[sftp]`, "[graphite]\naddress = \"h:0\"\n[sftp]", "graphite.address"},
		{`[sftp]`, "[graphite]\nnames = \"long\"\n[sftp]", "graphite.names"},
		{`[sftp]`, "[graphite]\nprefix = \"a b\"\n[sftp]", "graphite.prefix"},
		{`[sftp]`, "[graphite]\nprotocol = \"pickle\"\ntransport = \"udp\"\n[sftp]", "graphite.transport"},
		{`[sftp]`, "[graphite]\nqueue_bytes = 1\n[sftp]", "graphite.queue_bytes"},
		{`[sftp]`, "[graphite]\ninterval = 1\n[sftp]", "graphite.interval"},
		{`[sftp]`, "[agreement]\nlisten = \"127.0.0.1:1\"\n[sftp]", "agreement.cluster"},
		{`[sftp]`, "[agreement]\ncluster = \"x\"\n[sftp]", "agreement.members: 0"},
		{`[sftp]`, "[agreement]\ncluster = \"x\"\nbound_ms = 5\nmembers = [{name=\"a\",address=\"127.0.0.1:1\"},{name=\"b\",address=\"127.0.0.1:2\"},{name=\"c\",address=\"127.0.0.1:3\"}]\n[sftp]", "agreement.bound_ms"},
		{`[sftp]`, "[agreement]\ncluster = \"x\"\nfeeds = 1\nmembers = [{name=\"a\",address=\"127.0.0.1:1\"},{name=\"b\",address=\"127.0.0.1:2\"},{name=\"c\",address=\"127.0.0.1:3\"}]\n[sftp]", "agreement.feeds"},
		{`[sftp]`, "[agreement]\ncluster = \"x\"\ndir = \"/nowhere\"\nmembers = [{name=\"a\",address=\"127.0.0.1:1\"},{name=\"b\",address=\"127.0.0.1:2\"},{name=\"c\",address=\"127.0.0.1:3\"}]\n[sftp]", "agreement.dir"},
		{`[sftp]`, "[agreement]\ncluster = \"x\"\nmembers = [{name=\"a\",address=\"127.0.0.1:1\"},{name=\"b\",address=\"127.0.0.1:2\"},{name=\"c\",address=\"127.0.0.1:3\"}]\n[agreement.limits]\nnone = 5\n[sftp]", "agreement.limits.none"},
		{`[sftp]`, "[agreement]\ncluster = \"x\"\nmembers = [{name=\"a\",address=\"127.0.0.1:1\"},{name=\"a\",address=\"127.0.0.1:2\"},{name=\"c\",address=\"x\"}]\n[sftp]", "agreement.members[1].name"},
		{`[sftp]`, "[admission]\nlag_ms = -1\n[sftp]", "admission.lag_ms"},
		{`[sftp]`, "[admission]\nmost_open = -1\n[sftp]", "admission.most_open"},
		{`[sftp]`, "[telemetry]\nmax_series = 100\n[sftp]", "telemetry.max_series"},
		{`[sftp]`, "[telemetry]\nmax_bytes = 100\n[sftp]", "telemetry.max_bytes"},
		{`[sftp]`, "[telemetry]\nidle_intervals = -1\n[sftp]", "telemetry.idle_intervals"},
		{`[sftp]`, "[membership]\nsuspect_s = -1\n[sftp]", "membership.suspect_s"},
		{`[sftp]`, "[membership]\nsnapshot = \"x\"\n[sftp]", "membership.snapshot"},
		{`[sftp]`, "[[membership.source]]\nkind = \"odd\"\n[sftp]", "membership.source[0].kind"},
		{`[sftp]`, "[[membership.source]]\nkind = \"dns\"\n[sftp]", "membership.source[0].srv"},
		{`[sftp]`, "[[membership.source]]\nkind = \"dns\"\nsrv = \"s\"\nresolvers = [\"x\"]\n[sftp]", "membership.source[0].resolvers[0]"},
		{`[sftp]`, "[[membership.source]]\nkind = \"dns\"\nsrv = \"s\"\nresolvers = [\"1.1.1.1:53\"]\n[sftp]", "membership.source[0].pattern"},
		{`[sftp]`, "[[membership.source]]\nkind = \"dns\"\nsrv = \"s\"\nresolvers = [\"1.1.1.1:53\"]\npattern = \"(?P<odd>x)\"\n[sftp]", "membership.source[0].pattern"},
		{`[sftp]`, "[[membership.source]]\nkind = \"file\"\npath = \"/nowhere\"\n[sftp]", "membership.source[0].path"},
		{`[sftp]`, "[[membership.source]]\nkind = \"discovery\"\nmay = [\"fly\"]\n[sftp]", "membership.source[0].may"},
		{`[sftp]`, "[[membership.source]]\nkind = \"discovery\"\n[[membership.source]]\nkind = \"discovery\"\nname = \"b\"\n[sftp]", "membership.source"},
		{`[sftp]`, "[[membership.source]]\nkind = \"discovery\"\ngood_s = -1\n[sftp]", "membership.source[0].good_s"},
		{`[sftp.command]`, "node_port = 70000\n[sftp.command]", "sftp.node_port"},
	} {
		text := siteText
		if i := strings.LastIndex(text, c.old); i >= 0 {
			text = text[:i] + c.new + text[i+len(c.old):]
		}
		if _, err := load(text); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
}
