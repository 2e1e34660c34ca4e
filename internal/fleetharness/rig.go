package fleetharness

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"junctionwharf/internal/console"
	"junctionwharf/internal/fakes"
)

// Fleet is one run.
type Fleet struct {
	Program            string // the daemon
	scenario           *Scenario
	dir                string
	block              int
	lock               net.Listener
	recorder           *recorder
	nodes              []*fakeNode      // those that were replaced stand behind
	brokers            []*broker        // the hollow ones last
	hollowProcesses    []*hollowProcess // of hollow brokers
	discovery          *fakeDiscovery
	datagramRelays     []*datagramRelay
	agreementListeners []net.Listener // of the agreement's relays
	partitions         partitions
	spawn              chan func() // run by the thread that the children die with
	closed             atomic.Bool
	random             *rand.Rand

	mu           sync.Mutex
	stepClients  map[int]*trafficClient // of Do
	restartTimes []time.Duration        // of brokers that were started again, until they answered
}

// process is one broker over its starts.
type broker struct {
	number     int
	address    string
	configPath string

	mu          sync.Mutex
	command     *exec.Cmd
	done        chan struct{}
	down        bool // it was ended or stopped by the rig, and does not serve
	clients     clientLink
	peerQuality linkQuality // to and from it
}

// New prepares a run: addresses, nodes, discovery and relays. Close ends it.
func New(program string, s *Scenario) (r *Fleet, err error) {
	copied := *s
	copied.Events = slices.Clone(s.Events)
	if err := copied.Validate(); err != nil {
		return nil, err
	}
	copied.draw()
	r = &Fleet{Program: program, scenario: &copied, spawn: make(chan func()), stepClients: map[int]*trafficClient{}, random: rand.New(rand.NewPCG(s.Seed, 1)),
		recorder: &recorder{requests: map[string]*request{}, seed: s.Seed, startedAt: Now()}}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if r.dir, err = os.MkdirTemp("", "fleetrig"); err != nil {
		return nil, err
	}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with this goroutine, and its children with it
		for call := range r.spawn {
			call()
		}
	}()
	for r.block = 20 + os.Getpid()%200; ; r.block++ { // a block of addresses of its own
		if r.lock, err = net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:6000", r.block)); err == nil {
			break
		}
		if r.block > 250 {
			return nil, err
		}
	}
	for i := range copied.Node.Count {
		n, err := newNode(r, i, i%copied.Shards, fmt.Sprintf("node-%d", i))
		if err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, n)
	}
	if r.discovery, err = newRegistry(r); err != nil {
		return nil, err
	}
	for i := range copied.total() {
		r.brokers = append(r.brokers, &broker{number: i, address: r.address(1, i, 7000)})
	}
	r.partitions.changed = sync.NewCond(&r.partitions.mu)
	r.partitions.conns = map[net.Conn]bool{}
	for i := range copied.total() {
		if copied.Agreement.Voters == 0 {
			break
		}
		ln, err := r.listenAgreementRelay(i)
		if err != nil {
			return nil, err
		}
		r.agreementListeners = append(r.agreementListeners, ln)
	}
	if copied.Peers {
		for i := range copied.total() {
			l, err := newRelay(r, i)
			if err != nil {
				return nil, err
			}
			r.datagramRelays = append(r.datagramRelays, l)
		}
		for _, l := range r.datagramRelays { // each sends through the others
			go l.run()
		}
	}
	return r, nil
}

// address is one of a kind: brokers from 1 on, their relays from 50, nodes from 100.
func (r *Fleet) address(kind, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.block, kind+number/250, number%250+2, port)
}

// brokerAt tells who calls from an address, -1 for nobody known.
func (r *Fleet) brokerAt(a net.Addr) int {
	host, _, err := net.SplitHostPort(a.String())
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil || int(ip[1]) != r.block || ip[2] < 1 || ip[2] >= 50 {
		return -1
	}
	return (int(ip[2])-1)*250 + int(ip[3]) - 2
}

func (r *Fleet) ended() bool { return r.closed.Load() }

// Settings are those of each broker; ordinal and zone differ.
func (r *Fleet) settings(number int) string {
	s := r.scenario
	zones := make([]string, s.Node.Zones)
	for i := range zones {
		zones[i] = strconv.Quote(zone(i))
	}
	return fmt.Sprintf(`{"bounds":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxAttempts":4,"maxRetryAfter":1000000,"retryAfter":true,"peers":%v},
"classes":[{"name":"lesson-read","aim":150000,"deadline":750000,"effect":"safe","importance":3,"lateWorth":0.1},
 {"name":"record-write","aim":200000,"deadline":1200000,"effect":"unsafe","importance":2,"lateWorth":0.1}],
"serviceLevels":%s,"telemetry":{"fields":["inflight"],"via":"inline"},
"invariants":{"answerSlack":8000,"cold":%d,"coldShare":%v,"drainGrace":2000000,"fall":%d,"fallMultiple":%v},
"zone":%q,"zones":[%s],
"specifics":{"usualUnits":2,"maxUnits":4,"nShards":%d,"youngLimit":%v,"withinShare":0.4,"idleWorth":0.05},"nInstances":%d,"ordinal":%d}`,
		s.Peers, cmp.Or(s.Plans, `[{"name":"basico","nominal":1000,"floorRate":500,"parts":1,"price":1}]`), slowStartDuration.Microseconds(), slowStartShare, slowStartWindow.Microseconds(), slowStartMultiple, zone(number%s.Node.Zones), strings.Join(zones, ","), s.Shards, slowStartMinUnits, s.total(), number)
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i) }

// configure writes what a broker is told; known is the list it held before, nil for none. It returns the text, and the path of a site file
// where there is one.
func (r *Fleet) configure(p *broker, known json.RawMessage) (text []byte, site string, err error) {
	config := map[string]any{"name": fmt.Sprintf("broker-%d", p.number), "listen": p.address, "console": r.address(1, p.number, 7001),
		"local_address": strings.Split(p.address, ":")[0], "discovery": r.discovery.address, "seed": fmt.Sprintf("%x", r.random.Uint64()),
		"limits": map[string]any{"cores": 1, "memory_mb": r.scenario.MemoryLimitMB, "sockets": 256}, "settings": json.RawMessage(r.settings(p.number))}
	if known != nil {
		config["known"] = known
	}
	if r.scenario.Peers {
		var peers []string
		for i := range r.brokers {
			peers = append(peers, r.address(50, i, 7002))
		}
		config["peer_listen"], config["peers"] = r.address(1, p.number, 7002), peers
	}
	if text, err = json.Marshal(config); err != nil {
		return nil, "", err
	}
	home := filepath.Join(r.dir, strconv.Itoa(p.number))
	site = filepath.Join(home, "site.toml")
	p.configPath = filepath.Join(home, "config.json")
	err = errors.Join(os.MkdirAll(home, 0o700), os.WriteFile(p.configPath, text, 0o600), os.WriteFile(site, []byte(r.scenario.SiteTOML+r.agreementSite(p.number, home)), 0o600))
	if r.scenario.SiteTOML == "" && r.scenario.Agreement.Voters == 0 {
		site = ""
	}
	return text, site, err
}

// launch starts a broker with what it is told.
func (r *Fleet) startBroker(p *broker, known json.RawMessage) error {
	_, site, err := r.configure(p, known)
	if err != nil {
		return err
	}
	args := []string{"serve", "--handover=false", "--log-format", "json"}
	if r.isDedicatedVoter(p.number) {
		args = []string{"control", "--log-format", "json"}
	}
	if site != "" {
		args = append(args, "--site", site)
	}
	if r.scenario.Agreement.Voters > 0 {
		args = append(args, "--log-all")
	}
	command := exec.Command(r.Program, args...)
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+p.configPath, "TMPDIR="+filepath.Dir(p.configPath))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	errs, err := command.StderrPipe()
	if err != nil {
		return err
	}
	failed := make(chan error)
	r.spawn <- func() { failed <- command.Start() }
	if err := <-failed; err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	go func() {
		defer close(done)
		r.follow(p, errs)
		_ = command.Wait()
	}()
	return nil
}

// follow takes what a process logs into the journal.
func (r *Fleet) follow(p *broker, from io.Reader) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		r.recorder.addLine(r.lineOf(fmt.Sprintf("broker-%d", p.number), lines.Bytes()))
	}
}

// lineOf reads one line that a process logged, by itself or as one of many.
func (r *Fleet) lineOf(process string, text []byte) LogLine {
	var raw map[string]any
	l := LogLine{At: Now() - r.recorder.startedAt, Process: process, Message: string(text)}
	if json.Unmarshal(text, &raw) != nil {
		return l
	}
	l.Attributes = map[string]string{}
	for k, v := range raw {
		switch k {
		case "msg":
			l.Message = fmt.Sprint(v)
		case "mono_us":
			if us, ok := v.(float64); ok {
				l.At = time.Duration(us*1000) - r.recorder.startedAt
			}
		case "broker":
			l.Process = fmt.Sprint(v)
		case "time", "level":
		default:
			l.Attributes[k] = fmt.Sprint(v)
		}
	}
	return l
}

// ready waits until a broker answers.
func (r *Fleet) awaitReady(ctx context.Context, p *broker) error {
	for ctx.Err() == nil {
		if r.isDedicatedVoter(p.number) {
			if text, err := console.Call(r.address(1, p.number, 7001), "check", time.Second); err == nil && string(text) == "SUCCESS\n" {
				return nil
			}
		} else if conn, err := net.DialTimeout("tcp4", p.address, time.Second); err == nil {
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
			answer, err := bufio.NewReader(conn).ReadString('\n')
			_ = conn.Close()
			if err == nil && strings.HasPrefix(answer, "+PONG") {
				return nil
			}
		}
		select {
		case <-p.done:
			return fmt.Errorf("broker-%d ended at its start", p.number)
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// Start starts all brokers and waits until each answers.
func (r *Fleet) Start(ctx context.Context) error {
	real := r.brokers[:r.scenario.Brokers]
	for _, p := range real {
		if err := r.startBroker(p, nil); err != nil {
			return err
		}
	}
	if err := r.launchHollow(); err != nil {
		return err
	}
	for _, p := range real {
		if err := r.awaitReady(ctx, p); err != nil {
			return err
		}
	}
	if r.scenario.Hollow.Brokers > 0 {
		return r.agreedAll(ctx)
	}
	return nil
}

// end kills a broker and marks what it held.
func (r *Fleet) terminate(p *broker, with syscall.Signal) {
	p.mu.Lock()
	command, done := p.command, p.done
	p.mu.Unlock()
	if command == nil || command.Process == nil {
		return
	}
	p.setDown(true)
	r.excuseRequests(p.number)
	_ = command.Process.Signal(with)
	if with == syscall.SIGKILL {
		<-done
		r.recorder.addLine(LogLine{At: Now() - r.recorder.startedAt, Process: fmt.Sprintf("broker-%d", p.number), Message: "killed"})
	}
}

func (p *broker) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *broker) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// excuse marks requests that a broker's own end or stop may lose.
func (r *Fleet) excuseRequests(broker int) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	for _, s := range r.recorder.sequence {
		if s.broker == broker && s.answeredAt == 0 {
			s.excused = true
		}
	}
}

// judgeDrain checks rule 3: nothing goes to a node two seconds after its broker was told that it leaves.
func (r *Fleet) checkDrain(n *fakeNode, broker int, s *request, now time.Duration) {
	if told := r.discovery.drainTold(n.name, broker); told > 0 && now-told > 2*time.Second+50*time.Millisecond {
		r.recorder.mu.Lock()
		defer r.recorder.mu.Unlock()
		r.recorder.addViolation(n.name+" was sent to after its drain", s)
	}
}

// Close ends all.
func (r *Fleet) Close() {
	r.closed.Store(true)
	for _, p := range r.brokers {
		p.mu.Lock()
		command, done := p.command, p.done
		p.mu.Unlock()
		if command != nil && command.Process != nil {
			_ = command.Process.Kill()
			<-done
		}
	}
	for _, g := range r.hollowProcesses {
		<-g.done
	}
	for _, n := range r.nodes {
		n.close()
	}
	if r.discovery != nil {
		_ = r.discovery.server.Close()
	}
	for _, l := range r.datagramRelays {
		_ = l.conn.Close()
	}
	for _, ln := range r.agreementListeners {
		_ = ln.Close()
	}
	r.partitions.close()
	if r.lock != nil {
		_ = r.lock.Close()
	}
	if r.spawn != nil {
		close(r.spawn)
		r.spawn = nil
	}
	_ = os.RemoveAll(r.dir)
}

// ---- discovery

type listedEndpoint struct {
	fakes.Endpoint
	version uint64
}

// registry is discovery, with a view for each broker.
type fakeDiscovery struct {
	rig     *Fleet
	address string
	server  *http.Server

	mu          sync.Mutex
	version     uint64
	entries     []listedEndpoint // all that ever were, the newest last
	changed     chan struct{}
	views       map[int]discoveryView            // spoilt, by broker
	publishedAt []time.Duration                  // of the versions, from 1 on
	drainToldAt map[string]map[int]time.Duration // when a broker was told that a node leaves
	calls       int
	firstList   []byte // the list of the start, nil until it was asked for
}

func newRegistry(r *Fleet) (*fakeDiscovery, error) {
	g := &fakeDiscovery{rig: r, address: fmt.Sprintf("127.%d.0.2:8500", r.block), version: 1, changed: make(chan struct{}), views: map[int]discoveryView{}, publishedAt: []time.Duration{Now()},
		drainToldAt: map[string]map[int]time.Duration{}}
	for _, n := range r.nodes {
		g.entries = append(g.entries, g.entry(n, "SERVING", 1))
	}
	ln, err := net.Listen("tcp4", g.address)
	if err != nil {
		return nil, err
	}
	g.server = &http.Server{Handler: http.HandlerFunc(g.answer)}
	go func() { _ = g.server.Serve(ln) }()
	return g, nil
}

func (g *fakeDiscovery) entry(n *fakeNode, health string, version uint64) listedEndpoint {
	e := listedEndpoint{fakes.Endpoint{Name: n.name, Address: n.address, Zone: zone(n.number % g.rig.scenario.Node.Zones), Class: "m", Shard: n.shard, Health: health, Share: 1}, version}
	if n.startedAt > 0 {
		e.StartedMS = time.Now().Add(n.startedAt - Now()).UnixMilli()
	}
	return e
}

// change lists a node anew, all brokers at one time.
func (g *fakeDiscovery) publish(changed ...listedEndpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version++
	g.publishedAt = append(g.publishedAt, Now())
	for _, e := range changed {
		e.version = g.version
		g.entries = append(g.entries, e)
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// view is how what a broker is told is spoilt.
type discoveryView struct {
	stale        bool // nothing behind version at
	staleVersion uint64
	delay        time.Duration // versions come so much later; below 0 for not
	unavailable  bool
	empty        bool     // no nodes at all
	draining     []string // listed as draining
}

// view sets how a broker's view is spoilt. What it is told changes, so the version does.
func (g *fakeDiscovery) setView(broker int, v discoveryView) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v.staleVersion = g.version
	changed := slices.Concat(v.draining, g.views[broker].draining)
	whole := v.empty || g.views[broker].empty
	g.views[broker] = v
	if whole || len(changed) > 0 {
		g.version++
		g.publishedAt = append(g.publishedAt, Now())
		for _, e := range g.latest(g.version) {
			if whole || slices.Contains(changed, e.Name) {
				e.version = g.version
				g.entries = append(g.entries, e)
			}
		}
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// latest is the list as it was at a version; the caller holds g.mu.
func (g *fakeDiscovery) latest(version uint64) []listedEndpoint {
	at := map[string]int{}
	var list []listedEndpoint
	for _, e := range g.entries {
		if e.version > version {
			continue
		}
		if i, known := at[e.Name]; known {
			list[i] = e
			continue
		}
		at[e.Name] = len(list)
		list = append(list, e)
	}
	return list
}

// visible is the latest version that a broker may hear of, and when the next one shows, 0 for not by time alone; the caller holds g.mu.
func (g *fakeDiscovery) visibleVersion(broker int) (version uint64, next time.Duration) {
	v, spoilt := g.views[broker]
	switch {
	case spoilt && v.stale:
		return v.staleVersion, 0
	case spoilt && v.delay > 0:
		for version = g.version; version > 1 && Now() < g.publishedAt[version-1]+v.delay; version-- {
			next = g.publishedAt[version-1] + v.delay
		}
		return version, next
	}
	return g.version, 0
}

func (g *fakeDiscovery) drainTold(host string, broker int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drainToldAt[host][broker]
}

func (g *fakeDiscovery) answer(w http.ResponseWriter, req *http.Request) {
	host, _, _ := net.SplitHostPort(req.RemoteAddr)
	broker := g.rig.brokerAt(&net.TCPAddr{IP: net.ParseIP(host)})
	index, err := strconv.ParseUint(req.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	late := time.NewTimer(time.Duration(min(wait, 60_000)) * time.Millisecond)
	defer late.Stop()
	for over := !watch; ; {
		g.mu.Lock()
		news, blind := g.changed, g.views[broker].unavailable
		version, next := g.visibleVersion(broker)
		if (over || version > index) && !blind {
			g.calls++
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(g.list(broker, index, version, watch))
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		if blind {
			http.Error(w, "discovery is down", http.StatusServiceUnavailable)
			return
		}
		var shows <-chan time.Time
		if next > 0 {
			shows = time.After(next - Now())
		}
		select {
		case <-news:
		case <-shows:
		case <-late.C:
			over = true
		case <-req.Context().Done():
			return
		}
	}
}

// text is the list up to a version, or what is newer than another; the caller holds g.mu.
func (g *fakeDiscovery) list(broker int, since, version uint64, watch bool) []byte {
	if g.version > 1 || len(g.views) > 0 || watch {
		return g.encodeList(broker, since, version, watch)
	}
	if g.firstList == nil { // at the start hundreds of brokers ask for it at once
		g.firstList = g.encodeList(broker, 0, version, false)
	}
	return g.firstList
}

// word makes that text.
func (g *fakeDiscovery) encodeList(broker int, since, version uint64, watch bool) []byte {
	hosts := []fakes.Endpoint{}
	v := g.views[broker]
	var list []listedEndpoint
	if !watch || since < version { // else there is nothing newer
		list = g.latest(version)
	}
	for _, e := range list {
		if slices.Contains(v.draining, e.Name) {
			e.Health = "DRAINING"
		}
		if v.empty {
			continue
		}
		if watch && e.version <= since || !watch && e.Health == "DELETED" {
			continue
		}
		if e.Health != "SERVING" {
			if g.drainToldAt[e.Name] == nil {
				g.drainToldAt[e.Name] = map[int]time.Duration{}
			}
			if g.drainToldAt[e.Name][broker] == 0 {
				g.drainToldAt[e.Name][broker] = Now()
			}
		} else {
			delete(g.drainToldAt[e.Name], broker)
		}
		hosts = append(hosts, e.Endpoint)
	}
	text, _ := json.Marshal(map[string]any{"seq": version, "whole": !watch || v.empty, "hosts": hosts})
	return text
}

// known is the list as a restarted broker last held it.
func (g *fakeDiscovery) currentList() json.RawMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list(-1, 0, g.version, false)
}

// ---- datagrams

// relay stands for a broker towards its peers: what comes here is sent on to it, from the sender's own relay.
type datagramRelay struct {
	rig    *Fleet
	conn   *net.UDPConn
	number int
	to     *net.UDPAddr
	sent   atomic.Int64
	bytes  atomic.Int64
}

func newRelay(r *Fleet, number int) (*datagramRelay, error) {
	at, err := net.ResolveUDPAddr("udp4", r.address(50, number, 7002))
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp4", r.address(1, number, 7002))
	if err != nil {
		return nil, err
	}
	return &datagramRelay{rig: r, conn: conn, number: number, to: to}, nil
}

func (l *datagramRelay) run() {
	r, number, conn := l.rig, l.number, l.conn
	buffer := make([]byte, 2048)
	random := rand.New(rand.NewPCG(r.scenario.Seed, 1000+uint64(number)))
	for {
		n, from, err := conn.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		sender := r.brokerAt(from)
		if sender < 0 || sender >= len(r.datagramRelays) {
			continue
		}
		l.sent.Add(1)
		l.bytes.Add(int64(n))
		if n > 256 {
			r.recorder.mu.Lock()
			r.recorder.addViolation(fmt.Sprintf("broker-%d sent a datagram of %d bytes", sender, n), nil)
			r.recorder.mu.Unlock()
		}
		to, back := r.brokers[number].peerLink(), r.brokers[sender].peerLink()
		if random.Float64() < to.loss || random.Float64() < back.loss {
			continue
		}
		both := linkQuality{delay: to.delay + back.delay, jitter: to.jitter + back.jitter}
		if span := both.transitTime(random); span > 0 {
			text := slices.Clone(buffer[:n])
			time.AfterFunc(span, func() { _, _ = r.datagramRelays[sender].conn.WriteToUDP(text, l.to) })
			continue
		}
		_, _ = r.datagramRelays[sender].conn.WriteToUDP(buffer[:n], l.to)
	}
}

func (p *broker) peerLink() linkQuality {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peerQuality
}
