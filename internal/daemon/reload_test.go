package daemon

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/metricsexport"
	"junctionwharf/internal/resp"
)

// writeFile writes a file into a directory and returns the file's path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// fileServerSite returns a site file with a file server at the address.
func fileServerSite(address string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[sftp]\nlisten = %q\n[sftp.command]\n", address)
	for _, command := range []string{"open", "read", "stat", "list"} {
		text.WriteString(command + ` = { class = "read" }` + "\n")
	}
	for _, command := range []string{"open_write", "write", "remove"} {
		text.WriteString(command + ` = { class = "write" }` + "\n")
	}
	text.WriteString("[[sftp.volume]]\nprefix = \"/d\"\nvolume = \"v\"\nplan = \"plan\"\n")
	return text.String()
}

// A reload changes the address of discovery. The broker then uses the new discovery service, keeps running, and keeps
// the connections of both servers open.
func TestReloadMovesDiscovery(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var services [2]string
	for i := range services {
		node := startNode(t, func(string) string { return fmt.Sprint(i) })
		services[i] = startDiscovery(t, readyHost(fmt.Sprint("n", i), node)).Address()
	}
	dir := t.TempDir()
	address, files := unusedAddress(t), unusedAddress(t)
	site := writeFile(t, dir, "site", fileServerSite(files))
	configure := func(discovery string) string {
		text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"settings":%s}`, address, discovery,
			withWriteClass(settingsText))
		return writeFile(t, dir, "config", completeConfig(t, text))
	}
	t.Setenv("BALANCER_CONFIG", configure(services[0]))
	load := func() (*config.Config, error) {
		c, err := config.Load(os.Getenv)
		if err == nil {
			c.Site, err = config.LoadSite(site, c.Settings.Scheduler)
		}
		return c, err
	}
	c, err := load()
	if err != nil {
		t.Fatal(err)
	}
	reload := make(chan os.Signal, 1)
	broker := startBroker(c, logging.Discard(), reload, load)
	client, fileConn := dialClient(t, address), dial(t, files)
	if got := client.ask(t, testRequest{id: "id", units: 2}); got != "0" {
		t.Fatalf("before the reload: answer %q", got)
	}
	configure(services[1])
	reload <- syscall.SIGHUP
	awaitWithin(t, testTimeout/2, "discovery address not changed by the reload", func() bool {
		return client.ask(t, testRequest{id: "id", units: 2}) == "1"
	})
	checkFileConn(t, fileConn)
	broker.stop()
	broker.waitEnd(t)
}

// settingsOf returns the settings of a configuration as they stand in its text.
func settingsOf(t *testing.T, text string) string {
	t.Helper()
	var config struct{ Settings json.RawMessage }
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		t.Fatal(err)
	}
	return string(config.Settings)
}

// reloadFault is a replacement that makes a configuration faulty, and the reason that the reload then logs.
type reloadFault struct{ old, new, reason string }

// newReloadService returns a service that can reload but does not run.
func newReloadService(t *testing.T, c *config.Config, logLine func(string)) *service {
	t.Helper()
	log := logging.ToFunc(logLine)
	state, err := broker.NewState(c.Settings.Scheduler, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{Log: log})
	ctl := &control{
		config:   c,
		log:      log,
		loop:     loop,
		exporter: metricsexport.New(metricsexport.Options{}),
		watcher:  discovery.NewWatcher(c.Discovery, discovery.Options{Brokers: 1, Log: log}),
	}
	limits := resp.NewRequestLimits(c.Settings.Scheduler, 0)
	return &service{control: ctl, clients: resp.NewServer(loop, limits, 1, 1, 1, log)}
}

// Faulty files are reloaded one after the other. Each leaves the configuration unchanged, and the log names the faulty
// key. Then a valid file is reloaded. It also changes a key that needs a restart: the reload applies the other keys,
// and the log names that key.
func TestReloadOfFaultyConfig(t *testing.T) {
	text := completeConfig(t, fmt.Sprintf(
		`{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":%s}`, settingsText))
	settings := settingsOf(t, text)
	c := parseConfig(t, text)
	var lines []string
	s := newReloadService(t, c, func(line string) { lines = append(lines, line) })
	loadChanged := func(old, changed string) func() (*config.Config, error) {
		return func() (*config.Config, error) {
			return config.Parse([]byte(strings.Replace(text, old, changed, 1)), emptyEnvironment)
		}
	}
	faults := []reloadFault{
		{`"discovery":"127.0.0.1:2"`, `"discovery":"there"`, `discovery: "there" is not of the form address:port`},
		{`"name":"n1",`, ``, "name: missing"},
		{`"floorRate":100,`, ``, "settings.serviceLevels[0].floorRate: missing"},
		{`"importance":1`, `"importance":null`, "settings.classes[0].importance: missing"},
		{`"deadline":6000000`, `"deadline":0`, "settings.classes[0].deadline: 0s is not above 0"},
		{`"deadline":6000000`, `"deadline":"6"`, "settings.classes.deadline: got string, want float64"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "settings.bounds.maxAttempts: 0 is below 1"},
		{settings, `[]`, "settings: got array, want struct"},
		{settings, `null`, "settings: missing"},
		{text, `[]`, "got array, want struct"},
		{text, ``, "unexpected end of JSON input"},
		{text, text[:len(text)-1], "unexpected end of JSON input"},
	}
	for _, fault := range faults {
		lines = nil
		current := s.reload(c, loadChanged(fault.old, fault.new))
		want := "reload rejected; the previous configuration stays active reason=" + fault.reason
		if current != c || len(lines) != 1 || lines[0] != want {
			t.Errorf("reload with %s logged %q, want %q and an unchanged configuration", fault.new, lines, want)
		}
	}
	lines = nil
	panics := func() (*config.Config, error) { panic("a fault of the decoder") }
	if current := s.reload(c, panics); current != c || len(lines) != 1 || !strings.Contains(lines[0], "reload rejected") {
		t.Errorf("a panic while loading logged %q, want a rejection and an unchanged configuration", lines)
	}
	lines = nil
	addresses := strings.NewReplacer("127.0.0.1:1", "127.0.0.1:3", "127.0.0.1:2", "127.0.0.1:4")
	moved := loadChanged(text, addresses.Replace(text))
	current := s.reload(c, moved)
	if current.Discovery != "127.0.0.1:4" || current.Listen != c.Listen {
		t.Errorf("configuration after the reload: %+v, want the new discovery and old listen address", current)
	}
	if len(lines) != 2 || lines[0] != "reload: some keys need a restart keys=listen" {
		t.Errorf("reload of a valid file logged %q, want two lines, the first on the key listen", lines)
	}
	counts := map[string]uint64{}
	for _, metric := range s.loop.Metrics.Read() {
		counts[metric.Name] = metric.Value
	}
	if counts["reconfig_ok"] != 1 || counts["reconfig_failed"] != uint64(len(faults)+1) {
		t.Errorf("metrics: %v, want 1 successful reload and %d rejected ones", counts, len(faults)+1)
	}
}

// The site file in the deploy folder must be valid with settings like those of the platform.
func TestDeployedSiteFileIsValid(t *testing.T) {
	const moreClasses = `"importance":1},` +
		`{"name":"record-write","aim":200000,"deadline":1200000,"effect":"unsafe"},` +
		`{"name":"bulk-export","aim":750000,"deadline":2500000,"effect":"safe"}]`
	text := strings.NewReplacer(
		`"name":"read"`, `"name":"lesson-read"`,
		`"name":"plan"`, `"name":"padrao"`,
		`"importance":1}]`, moreClasses,
	).Replace(settingsText)
	set, err := config.ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	site, err := config.LoadSite("../../deploy/site.toml", set.Scheduler)
	if err != nil || site.SFTP.Listen == "" || site.Graphite.Address != "" || site.Collectd.Address != "" {
		t.Errorf("site file %+v, %v, want a file server and no address for Graphite or collectd", site, err)
	}
}
