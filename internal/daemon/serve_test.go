package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/metricsexport"
	"junctionwharf/internal/resp"
	"junctionwharf/scheduler"
)

const settingsText = `{"bounds":{"maxAttempts":3},"nInstances":1,"ordinal":0,"specifics":{"usualUnits":2,"maxUnits":8},
 "classes":[{"name":"read","aim":5000000,"deadline":6000000,"effect":"safe","importance":1}],
 "serviceLevels":[{"name":"plan","nominal":100,"floorRate":100,"parts":1,"price":1}],"invariants":{"answerSlack":8000,"drainGrace":2000000}}`

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// free returns an address where nothing listens.
func free(t *testing.T) string {
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

// dial waits until something listens.
func dial(t *testing.T, address string) net.Conn {
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			return conn
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// serveNode is a stand-in node: it gives each request the value that it has for its id, and says nothing where that is empty.
func serveNode(node net.Listener, value func(id string) string) {
	for {
		conn, err := node.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for in := redcon.NewReader(conn); ; {
				cmd, err := in.ReadCommand()
				if err != nil {
					return
				}
				if v := value(string(cmd.Args[2])); v != "" {
					fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(v), v)
				}
			}
		}()
	}
}

// TestServe starts the whole program, stops it with a request under way, and wants that request's answer.
func TestServe(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	node, taken, release := listen(t), make(chan string, 1), make(chan struct{})
	go func() {
		conn, err := node.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if cmd, err := redcon.NewReader(conn).ReadCommand(); err == nil {
			taken <- string(cmd.Args[2])
			<-release
			io.WriteString(conn, "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
		}
	}()
	discovery := serveList(t, fakes.Host{Host: "a", Dial: node.Addr().String(), Health: "SERVING", Share: 1})
	address, files := free(t), free(t)
	carbon, err := fakes.NewCarbon("127.0.0.1:0", false, fakes.NewPoints(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer carbon.Close()
	c := brokerConfig(t, address, discovery.Address())
	c.Site.SFTP.Listen, c.Site.SFTP.Connections = files, 4
	c.Site.Graphite = config.Graphite{Receiver: config.Receiver{Address: carbon.Address(), IntervalS: 1, QueueBytes: 1 << 20}, Prefix: "wharf", Transport: "tcp"}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, c, logging.Discard(), nil, nil) }()

	conn := dial(t, address)
	in := bufio.NewReader(conn)
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	if line, err := in.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatal(line, err)
	}
	list := "c=read,t=plan,d=6000,volume=00000003b4d60021,units=2,shard=0,hosts=1"
	fmt.Fprintf(conn, "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a9c21e0b4d655\r\n$2\r\nid\r\n$%d\r\n%s\r\n", len(list), list)
	if id := <-taken; id != "id" {
		t.Errorf("the node got %q", id)
	}
	fileConn, err := net.Dial("tcp", files)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(fileConn, "\x00\x00\x00\x05\x01\x00\x00\x00\x03")
	version := make([]byte, 9)
	if _, err := io.ReadFull(fileConn, version); err != nil || string(version) != "\x00\x00\x00\x05\x02\x00\x00\x00\x03" {
		t.Errorf("%q, %v", version, err)
	}
	late := make(chan struct{})
	timer := time.AfterFunc(10*time.Second, func() { close(late) })
	defer timer.Stop()
	if !carbon.Await(late, func(latest map[string]fakes.Point, _ []string) bool {
		return latest["wharf.n1.taken"].Value == 1 && latest["wharf.n1.inflight"].Value == 1 && latest["wharf.n1.backend_calls"].Value == 1
	}) {
		t.Errorf("%v", carbon.Latest())
	}
	stop()
	close(release)
	got, err := io.ReadAll(in)
	if err != nil || string(got) != "$5\r\nvalue\r\n" {
		t.Errorf("%q, %v", got, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("it still listens")
	}
	if !carbon.Await(late, func(latest map[string]fakes.Point, _ []string) bool {
		return latest["wharf.n1.all.served"].Value == 1
	}) {
		t.Errorf("the last interval was not flushed: %v", carbon.Latest()["wharf.n1.all.served"])
	}
}

// brokerConfig is the configuration of one broker that listens at address and asks discovery there.
func brokerConfig(t *testing.T, address, discovery string) *config.Config {
	return configWith(t, address, discovery, settingsText)
}

func configWith(t *testing.T, address, discovery, settings string) *config.Config {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"settings":%s}`, address, discovery, settings)
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// serveList starts a stand-in for discovery.
func serveList(t *testing.T, hosts ...fakes.Host) *fakes.Discovery {
	t.Helper()
	d, err := fakes.NewDiscovery("127.0.0.1:0", hosts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// SIGHUP must neither end the program nor a connection of either front: it moves discovery.
func TestReload(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var services [2]string
	for i := range services {
		node := listen(t)
		go serveNode(node, func(string) string { return fmt.Sprint(i) })
		services[i] = serveList(t, fakes.Host{Host: fmt.Sprint("n", i), Dial: node.Addr().String(), Health: "SERVING", Share: 1}).Address()
	}
	dir, address, files := t.TempDir(), free(t), free(t)
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	configure := func(discovery string) string {
		settings := strings.Replace(settingsText, `"classes":[`, `"classes":[{"name":"write","aim":5000000,"deadline":6000000,"effect":"unsafe"},`, 1)
		return write("config", fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"settings":%s}`, address, discovery, settings))
	}
	site := fmt.Sprintf("[sftp]\nlisten = %q\n[sftp.command]\n", files)
	for _, c := range []string{"open", "read", "stat", "list"} {
		site += c + ` = { class = "read" }` + "\n"
	}
	for _, c := range []string{"open_write", "write", "remove"} {
		site += c + ` = { class = "write" }` + "\n"
	}
	site = write("site", site+"[[sftp.volume]]\nprefix = \"/d\"\nvolume = \"v\"\nplan = \"plan\"\n")
	t.Setenv("BALANCER_CONFIG", configure(services[0]))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	reload := make(chan os.Signal, 1)
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
	go func() { ended <- Serve(ctx, c, logging.Discard(), reload, load) }()
	conn, file := dial(t, address), dial(t, files)
	in := bufio.NewReader(conn)
	ask := func() string {
		list := "c=read,t=plan,d=6000,volume=00000003b4d60021,units=2,shard=0,hosts=1"
		fmt.Fprintf(conn, "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a9c21e0b4d655\r\n$2\r\nid\r\n$%d\r\n%s\r\n", len(list), list)
		if _, err := in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		value, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(value)
	}
	if got := ask(); got != "0" {
		t.Fatalf("served by %q", got)
	}
	configure(services[1])
	reload <- syscall.SIGHUP
	for end := time.Now().Add(5 * time.Second); ask() != "1"; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("discovery did not move")
		}
	}
	io.WriteString(file, "\x00\x00\x00\x05\x01\x00\x00\x00\x03")
	version := make([]byte, 9)
	if _, err := io.ReadFull(file, version); err != nil {
		t.Errorf("the file front: %v", err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A second process takes over while the first still answers: no id is open at both, new connections reach the second,
// and what the first had taken is answered.
func TestReplace(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	node, held, release := listen(t), make(chan struct{}), make(chan struct{})
	go serveNode(node, func(id string) string {
		if id == "hold" {
			close(held)
			<-release
		}
		return id
	})
	service := serveList(t, fakes.Host{Host: "a", Dial: node.Addr().String(), Health: "SERVING", Share: 1})
	address, files := free(t), free(t)
	start := func() (door string, stop func(), ended chan error) {
		door = free(t)
		text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"console":%q,"settings":%s}`, address, service.Address(), door, settingsText)
		c, err := config.Parse([]byte(text), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		c.Site.SFTP.Listen, c.Site.SFTP.Connections = files, 4
		ctx, stop := context.WithCancel(context.Background())
		ended = make(chan error, 1)
		go func() { ended <- Serve(ctx, c, logging.Discard(), nil, nil) }()
		return door, stop, ended
	}
	check := func(door string) string {
		conn := dial(t, door)
		io.WriteString(conn, "check\n")
		got, _ := io.ReadAll(conn)
		return string(got)
	}
	ask := func(conn net.Conn, id string) string {
		list := "c=read,t=plan,d=6000,volume=00000003b4d60021,units=2,shard=0,hosts=1"
		fmt.Fprintf(conn, "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a9c21e0b4d655\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(list), list)
		in := bufio.NewReader(conn)
		line, err := in.ReadString('\n')
		if err == nil && line[0] == '$' {
			line, err = in.ReadString('\n')
		}
		if err != nil {
			t.Error(err)
		}
		return strings.TrimSpace(line)
	}
	door, stopOld, oldEnded := start()
	for check(door) != "SUCCESS\n" {
		time.Sleep(time.Millisecond)
	}
	holder := dial(t, address)
	answer := make(chan string)
	go func() { answer <- ask(holder, "hold") }()
	<-held
	door, stopNew, newEnded := start()
	for check(door) != "SUCCESS\n" {
		time.Sleep(time.Millisecond)
	}
	for i := range 8 { // they reach either process
		if got := ask(dial(t, address), "hold"); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("an id that is open: %q", got)
		}
		if id := fmt.Sprint("r", i); ask(dial(t, address), id) != id {
			t.Errorf("%s was not served", id)
		}
	}
	stopOld()
	for i := range 8 {
		if id := fmt.Sprint("s", i); ask(dial(t, address), id) != id {
			t.Errorf("%s was not served", id)
		}
	}
	close(release)
	if got := <-answer; got != "hold" {
		t.Errorf("what the first had taken: %q", got)
	}
	if err := <-oldEnded; err != nil {
		t.Error(err)
	}
	if got := ask(dial(t, address), "last"); got != "last" {
		t.Errorf("after the first is gone: %q", got)
	}
	file := dial(t, files)
	io.WriteString(file, "\x00\x00\x00\x05\x01\x00\x00\x00\x03")
	if _, err := io.ReadFull(file, make([]byte, 9)); err != nil {
		t.Errorf("the file front: %v", err)
	}
	stopNew()
	if err := <-newEnded; err != nil {
		t.Error(err)
	}
}

// A faulty configuration changes nothing; one that is sound but for keys of the start says so.
func TestRenew(t *testing.T) {
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":%s}`, settingsText)
	load := func(old, new string) func() (*config.Config, error) {
		return func() (*config.Config, error) {
			return config.Parse([]byte(strings.Replace(text, old, new, 1)), func(string) string { return "" })
		}
	}
	c, err := load("", "")()
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	log := logging.ToFunc(func(line string) { lines = append(lines, line) })
	state, err := broker.NewState(c.Settings.Scheduler, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{Log: log})
	k := &control{loop: loop, reporter: metricsexport.New(metricsexport.Options{}), config: c, watcher: discovery.NewWatcher(c.Discovery, discovery.Options{Brokers: 1, Log: log}), log: log}
	parts := &service{control: k, front: resp.NewServer(loop, resp.NewRequestLimits(c.Settings.Scheduler, 0), 1, 1, 1, log)}
	for _, fault := range []struct{ old, new, line string }{
		{`"discovery":"127.0.0.1:2"`, `"discovery":"there"`, `discovery: "there" is no address:port`},
		{`"name":"n1",`, ``, "name: missing"},
		{`"floorRate":100,`, ``, "settings.servicelevels.floorrate: missing"},
		{`"importance":1`, `"importance":null`, "settings.classes.importance: missing"},
		{`"deadline":6000000`, `"deadline":0`, "settings.classes[0].deadline: it is not above 0"},
		{`"deadline":6000000`, `"deadline":"6"`, "settings.classes.deadline: a string is no value for it"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "settings.bounds.maxAttempts: 0 is not above 0"},
		{text, ``, "unexpected end of JSON input"},
		{text, text[:len(text)-1], "unexpected end of JSON input"},
	} {
		lines = nil
		if parts.renew(c, load(fault.old, fault.new)) != c || len(lines) != 1 || lines[0] != "reload turned down, the old configuration stands reason="+fault.line {
			t.Errorf("%s: %q", fault.new, lines)
		}
	}
	lines = nil
	renewed := parts.renew(c, load(`"127.0.0.1:1","discovery":"127.0.0.1:2"`, `"127.0.0.1:3","discovery":"127.0.0.1:4"`))
	if renewed.Discovery != "127.0.0.1:4" || renewed.Listen != c.Listen || len(lines) != 2 ||
		lines[0] != "reload: some keys wait for the next start keys=listen" {
		t.Errorf("%+v, %q", renewed, lines)
	}
	counts := map[string]uint64{}
	for _, f := range loop.Metrics.Read() {
		counts[f.Name] = f.Value
	}
	if counts["reconfig_ok"] != 1 || counts["reconfig_failed"] != 9 {
		t.Errorf("%v", counts)
	}
}

// Count of a planned restart are served for as long as answers can still come before SIGKILL.
func TestTimetable(t *testing.T) {
	for longest, want := range map[time.Duration]timetable{
		2500 * time.Millisecond: {2800 * time.Millisecond, 2900 * time.Millisecond, 2950 * time.Millisecond, 3100 * time.Millisecond},
		9 * time.Second:         {3300 * time.Millisecond, 3400 * time.Millisecond, 3450 * time.Millisecond, 3600 * time.Millisecond},
		100 * time.Millisecond:  {450 * time.Millisecond, 550 * time.Millisecond, 550 * time.Millisecond, 700 * time.Millisecond},
	} {
		if got := timesOf([]scheduler.Class{{Deadline: time.Millisecond}, {Deadline: longest}}); got != want {
			t.Errorf("%v: %v, want %v", longest, got, want)
		}
	}
}

// The file in deploy fits settings like the platform's.
func TestSiteFile(t *testing.T) {
	text := strings.NewReplacer(`"name":"read"`, `"name":"lesson-read"`, `"name":"plan"`, `"name":"padrao"`, `"importance":1}]`,
		`"importance":1},{"name":"record-write","aim":200000,"deadline":1200000,"effect":"unsafe"},{"name":"bulk-export","aim":750000,"deadline":2500000,"effect":"safe"}]`).Replace(settingsText)
	set, err := config.ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	site, err := config.LoadSite("../../deploy/site.toml", set.Scheduler)
	if err != nil || site.SFTP.Listen == "" || site.Graphite.Address != "" || site.Collectd.Address != "" {
		t.Errorf("%+v, %v", site, err)
	}
}

// lockedBuffer takes log lines from several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Where the platform has no Unix sockets the handover stays off: the broker serves, says so once, and leaves no socket.
func TestServeWithoutHandover(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	discovery := serveList(t)
	address := free(t)
	c := brokerConfig(t, address, discovery.Address())
	c.HandoverDisabled = true
	var lines lockedBuffer
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, c, slog.New(slog.NewTextHandler(&lines, nil)), nil, nil) }()
	conn := dial(t, address)
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	if line, err := bufio.NewReader(conn).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatal(line, err)
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*.sock*")); len(files) > 0 {
		t.Errorf("a socket was made: %v", files)
	}
	if !strings.Contains(lines.String(), "handover off") {
		t.Errorf("the log does not say that the handover is off:\n%s", lines.String())
	}
	stop()
	conn.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
