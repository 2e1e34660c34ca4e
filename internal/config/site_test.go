package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

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

// loadSite reads a site file with the given text, checked against the settings in settingsText.
func loadSite(t *testing.T, text string) (Site, error) {
	t.Helper()
	settings, err := ParseSettings([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSite(path, settings.Scheduler)
}

// replaceLast replaces the last occurrence of old in text.
func replaceLast(text, old, replacement string) string {
	i := strings.LastIndex(text, old)
	if i < 0 {
		return text
	}
	return text[:i] + replacement + text[i+len(old):]
}

// siteFault is a change that makes siteText faulty, and the key that the error must contain.
type siteFault struct{ old, new, key string }

// withSection returns a fault that inserts a section before the sections of siteText.
func withSection(section, key string) siteFault {
	return siteFault{old: "[sftp]", new: section + "\n[sftp]", key: key}
}

// checkSiteFaults checks that each change of siteText causes an error that contains the key.
func checkSiteFaults(t *testing.T, faults []siteFault) {
	t.Helper()
	for _, fault := range faults {
		_, err := loadSite(t, replaceLast(siteText, fault.old, fault.new))
		if err == nil || !strings.Contains(err.Error(), fault.key) {
			t.Errorf("%s: got error %v, want one that contains %q", fault.new, err, fault.key)
		}
	}
}

// A file command without its own values gets those of its class. Other missing keys get fixed defaults.
func TestSiteDefaultsComeFromClasses(t *testing.T) {
	site, err := loadSite(t, siteText)
	if err != nil {
		t.Fatal(err)
	}
	plan := site.SFTP.Plan()
	if plan.Commands["read"].WaitMS != 500 || plan.Commands["write"].WaitMS != 1200 {
		t.Errorf("commands are %+v, want waits of 500 ms for read and 1200 ms for write", plan.Commands)
	}
	if plan.Volumes[0].Brokers != 3 || site.SFTP.Connections != defaultConnections {
		t.Errorf("volumes are %+v, maximum of %d connections", plan.Volumes, site.SFTP.Connections)
	}
}

// A fault in [sftp] causes an error that contains the key.
func TestSFTPFaults(t *testing.T) {
	checkSiteFaults(t, []siteFault{
		{`listen = "127`, `listen = "x`, "sftp.listen"},
		{`write = { class = "write" }`, `write = { class = "read" }`, "sftp.command.write.class"},
		{`stat = { class = "read" }`, ``, "sftp.command.stat"},
		{`prefix = "/d"`, `prefix = "d"`, "sftp.volume[0].prefix"},
		{`plan = "plan"`, `plan = "none"`, "sftp.volume[0].plan"},
		{`volume = "v"`, `volumes = "v"`, "volumes"},
		{`[sftp.command]`, "node_port = 70000\n[sftp.command]", "sftp.node_port"},
	})
}

// A fault in [graphite], [collectd] or [telemetry] causes an error that contains the key.
func TestMetricsFaults(t *testing.T) {
	checkSiteFaults(t, []siteFault{
		withSection("[graphite]\naddress = \"x\"", "graphite.address"),
		withSection("[graphite]\naddress = \"h:0\"", "graphite.address"),
		withSection("[graphite]\nnames = \"long\"", "graphite.names"),
		withSection("[graphite]\nprefix = \"a b\"", "graphite.prefix"),
		withSection("[graphite]\nprotocol = \"pickle\"\ntransport = \"udp\"", "graphite.transport"),
		withSection("[graphite]\nqueue_bytes = 1", "graphite.queue_bytes"),
		withSection("[graphite]\ninterval = 1", "graphite.interval"),
		withSection("[collectd]\ninterval_s = -1", "collectd.interval_s"),
		withSection("[collectd]\nsecurity = \"odd\"", "collectd.security"),
		withSection("[collectd]\naddress = \"h:1\"\nsecurity = \"sign\"", "collectd.key_file"),
		withSection("[collectd]\naddress = \"h:1\"\nsecurity = \"sign\"\nkey_file = \"/nowhere\"", "collectd.key_file"),
		withSection("[telemetry]\nmax_series = 100", "telemetry.max_series"),
		withSection("[telemetry]\nmax_bytes = 100", "telemetry.max_bytes"),
		withSection("[telemetry]\nidle_intervals = -1", "telemetry.idle_intervals"),
	})
}

// A fault in [agreement] causes an error that contains the key.
func TestAgreementFaults(t *testing.T) {
	const members = "members = [{name=\"a\",address=\"127.0.0.1:1\"},{name=\"b\",address=\"127.0.0.1:2\"}," +
		"{name=\"c\",address=\"127.0.0.1:3\"}]\n"
	const nameTwice = "members = [{name=\"a\",address=\"127.0.0.1:1\"},{name=\"a\",address=\"127.0.0.1:2\"}," +
		"{name=\"c\",address=\"x\"}]\n"
	const cluster = "[agreement]\ncluster = \"x\"\n"
	checkSiteFaults(t, []siteFault{
		withSection("[agreement]\nlisten = \"127.0.0.1:1\"", "agreement.cluster"),
		withSection(cluster, "agreement.members: 0"),
		withSection(cluster+"bound_ms = 5\n"+members, "agreement.bound_ms"),
		withSection(cluster+"feeds = 1\n"+members, "agreement.feeds"),
		withSection(cluster+"dir = \"/nowhere\"\n"+members, "agreement.dir"),
		withSection(cluster+members+"[agreement.limits]\nnone = 5", "agreement.limits.none"),
		withSection(cluster+nameTwice, "agreement.members[1].name"),
	})
}

// A fault in [admission] causes an error that contains the key.
func TestAdmissionFaults(t *testing.T) {
	checkSiteFaults(t, []siteFault{
		withSection("[admission]\nlag_ms = -1", "admission.lag_ms"),
		withSection("[admission]\nmost_open = -1", "admission.most_open"),
	})
}

// A fault in [spread] causes an error that contains the key.
func TestBalancerFaults(t *testing.T) {
	checkSiteFaults(t, []siteFault{
		withSection("[spread]\nnodes = 10001", "spread.nodes: 10001 is not within 0 to 10000"),
		withSection("[spread]\naway = 1.0", "spread.away: 1 is not within 0 to 0.9"),
		withSection("[spread]\ntrial = 0.5", "spread.trial: 0.5 is not within 0 to 0.25"),
	})
}

// A fault in [membership] causes an error that contains the key.
func TestMembershipFaults(t *testing.T) {
	const source = "[[membership.source]]\n"
	const dns = source + "kind = \"dns\"\n"
	const resolver = dns + "srv = \"s\"\nresolvers = [\"1.1.1.1:53\"]\n"
	checkSiteFaults(t, []siteFault{
		withSection("[membership]\nsuspect_s = -1", "membership.suspect_s"),
		withSection("[membership]\nsnapshot = \"x\"", "membership.snapshot"),
		withSection(source+"kind = \"odd\"", "membership.source[0].kind"),
		withSection(dns, "membership.source[0].srv"),
		withSection(dns+"srv = \"s\"\nresolvers = [\"x\"]", "membership.source[0].resolvers[0]"),
		withSection(resolver, "membership.source[0].pattern"),
		withSection(resolver+"pattern = \"(?P<odd>x)\"", "membership.source[0].pattern"),
		withSection(source+"kind = \"file\"\npath = \"/nowhere\"", "membership.source[0].path"),
		withSection(source+"kind = \"discovery\"\nmay = [\"fly\"]", "membership.source[0].may"),
		withSection(source+"kind = \"discovery\"\n"+source+"kind = \"discovery\"\nname = \"b\"", "membership.source"),
		withSection(source+"kind = \"discovery\"\ngood_s = -1", "membership.source[0].good_s"),
	})
}

// The mapping of file commands stays in force if a new site file has none. A wait that the site file does not give
// stayed at the deadline of the old settings. It follows the new ones, after several reloads too.
func TestMappingInForceFollowsSettings(t *testing.T) {
	c, err := Parse([]byte(configText), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	if c.Site, err = loadSite(t, siteText); err != nil {
		t.Fatal(err)
	}
	for _, deadline := range []int64{1300, 900, 1400} {
		text := strings.Replace(configText, `"deadline":1200000`, fmt.Sprintf(`"deadline":%d000`, deadline), 1)
		other, err := Parse([]byte(text), emptyEnvironment)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.CheckReload(other); err != nil {
			t.Fatal(err)
		}
		commands := other.Site.SFTP.Plan().Commands
		if commands["write"].WaitMS != deadline || commands["read"].WaitMS != 500 {
			t.Errorf("commands are %+v, want waits of %d ms for write and 500 ms for read", commands, deadline)
		}
		c.ApplyReload(other)
	}
}
