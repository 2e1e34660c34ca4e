package fleetharness

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"junctionwharf/internal/agreement"
)

// program is the program, built once a run.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleetrig-test")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "junctionwharf")
	if text, err := exec.Command("go", "build", "-o", program, "junctionwharf/cmd/junctionwharf").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", text)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// started starts a rig and has its rules checked at the end.
func started(t *testing.T, s Scenario) (*Rig, context.Context) {
	s.Rate, s.ForS, s.Seed = 1, 1, 7
	s.Node.UnitMS = cmp.Or(s.Node.UnitMS, 0.2)
	rig, err := New(program, &s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	if err := rig.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, b := range rig.Breaches() {
			t.Errorf("%s: %s: %s", b.At, b.Rule, b.Story)
		}
	})
	return rig, ctx
}

func (r *Rig) served(t *testing.T, requests int, write bool, brokers ...int) {
	t.Helper()
	count := len(brokers)
	if count == 0 {
		for i := range r.brokers[:r.scenario.Brokers] {
			if !r.controls(i) {
				count++
			}
		}
	}
	if v := r.Do(requests, write, brokers...); v["served"] != requests*count {
		t.Errorf("of %d: %v", requests*count, v)
	}
}

// even wants no node idle and none flooded. Turns alone would give each the mean within one for each broker; a busy machine makes
// a node seem slow now and then, which lowers its part.
func even(t *testing.T, counts []int) {
	t.Helper()
	sum := 0
	for _, c := range counts {
		sum += c
	}
	mean := float64(sum) / float64(len(counts))
	for i, c := range counts {
		if float64(c) < mean/5 || float64(c) > 2*mean {
			t.Errorf("node %d got %d, the mean is %.1f: %v", i, c, mean, counts)
			return
		}
	}
}

// All brokers start at once and get their lists at once; then 7 in 10 are killed and come back. No node is idle, none is flooded, and
// the first requests of brokers that know nothing go to different nodes.
func TestStartAndRestartTogether(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 6, Node: Node{Count: 5}})
	rig.served(t, 50, false)
	even(t, rig.Counts())
	nodes := map[int]bool{}
	for _, n := range rig.First() {
		nodes[n] = true
	}
	if len(nodes) < 3 {
		t.Errorf("the first requests of 6 brokers went to %d nodes", len(nodes))
	}
	if err := rig.Kill(ctx, 0, 2, 3, 5); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 50, true)
	even(t, rig.Counts())
}

// A node that accepts and never answers costs no read, is found silent, gets no write afterwards, and is used again once it
// answers.
func TestNodeThatNeverAnswers(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 4, Peers: true, Node: Node{Count: 5}})
	rig.served(t, 20, false)
	if err := rig.Strike(ctx, Event{What: "silent", Nodes: []int{1}}); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 20, false)
	for b := range rig.brokers {
		if _, err := rig.Said(ctx, fmt.Sprintf("broker-%d", b), "node found silent", 0); err != nil {
			t.Fatal(err)
		}
	}
	rig.Counts()
	rig.served(t, 20, true)
	if c := rig.Counts(); c[1] > 0 {
		t.Errorf("%d writes went to a silent node", c[1])
	}
	rig.Heal(1)
	for seen := 0; seen < 4; { // all brokers' pauses end at last
		if ctx.Err() != nil {
			t.Fatal("the node that answers again is not used")
		}
		rig.served(t, 5, false)
		seen += rig.Counts()[1]
	}
}

// A node that half of the brokers reach is used by that half as before, and costs the others no read.
func TestNodeReachedByHalf(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 4, Peers: true, Node: Node{Count: 4}})
	if err := rig.Strike(ctx, Event{What: "oneway", Nodes: []int{2}, Brokers: []int{0, 1}}); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 40, false)
	rig.Counts()
	rig.served(t, 40, false, 2, 3)
	if c := rig.Counts(); c[2] < 5 {
		t.Errorf("brokers that reach the node left it: %v", c)
	}
}

// Two nodes come back cold under more than they do, while one broker learns of it late and two are killed in the ramp and know of it only by
// the list. What all send together stays within what a cold node bears, and the brokers that were killed serve again.
func TestColdNodesWithRestarts(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 5, Peers: true, Shards: 2, Node: Node{Count: 2, Slots: 1, UnitMS: 10}})
	rig.Do(10, false)
	if err := rig.Strike(ctx, Event{What: "late", Brokers: []int{4}, MS: 700}); err != nil {
		t.Fatal(err)
	}
	if err := rig.Strike(ctx, Event{What: "crash", Nodes: []int{0, 1}, ForS: 0.05}); err != nil {
		t.Fatal(err)
	}
	killed := make(chan error)
	go func() { killed <- rig.Kill(ctx, 0, 1) }()
	sum := rig.Do(40, false, 2, 3, 4)
	if err := <-killed; err != nil {
		t.Fatal(err)
	}
	for v, n := range rig.Do(40, false) {
		sum[v] += n
	}
	if sum["served"] == 0 || sum["lost"] > 0 {
		t.Errorf("%v", sum)
	}
	for _, n := range rig.nodes {
		n.mu.Lock()
		if len(n.cold) == 0 {
			t.Errorf("%s got nothing while it was cold", n.name)
		}
		for _, c := range n.cold {
			if c.Units > c.Bears {
				t.Errorf("%s got %.0f units at age %d s and bears %.0f", c.Node, c.Units, c.AgeS, c.Bears)
			}
		}
		n.mu.Unlock()
	}
}

// What a cold node got is told by second of its age, with the fullest window against what it bore.
func TestColdSeconds(t *testing.T) {
	r := &Rig{scenario: &Scenario{Node: Node{Slots: 1, UnitMS: 20}}}
	n := &node{rig: r, name: "n", speed: 1, born: time.Hour}
	bears := 4 * 0.18 * 50 * 3 // of the youngest
	for i := range 40 {
		n.weigh(time.Hour+time.Duration(i)*100*time.Millisecond, 1)
	}
	if ok := n.weigh(time.Hour+4*time.Second, 2*bears); ok || len(n.cold) != 5 || n.cold[4].Units <= n.cold[4].Bears || n.cold[2].Units != 30 || n.cold[4].AgeS != 4 {
		t.Errorf("%v, %+v", ok, n.cold)
	}
	n.born = 2 * time.Hour
	n.weigh(n.born, 1)
	if last := n.cold[len(n.cold)-1]; len(n.cold) != 6 || last.AgeS != 0 || last.Units != 1 {
		t.Errorf("%+v", n.cold)
	}
}

// Idle clients fill the broker's descriptors while discovery is down. Requests go on being served, new connections to nodes come up, and
// the watch comes back: the broker hears of a drain and sends to the node that joined.
func TestIdleClientsFillDescriptors(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 1, Node: Node{Count: 2}})
	most := unix.Rlimit{Cur: 256, Max: 256} // as the configuration says
	if err := unix.Prlimit(rig.brokers[0].command.Process.Pid, unix.RLIMIT_NOFILE, &most, nil); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 10, false)
	if err := rig.Strike(ctx, Event{What: "blind", Brokers: []int{0}}); err != nil {
		t.Fatal(err)
	}
	if err := rig.Strike(ctx, Event{What: "reset", Nodes: []int{0, 1}}); err != nil {
		t.Fatal(err)
	}
	if _, err := rig.Said(ctx, "broker-0", "discovery silent", 0); err != nil {
		t.Fatal(err)
	}
	var crowd sync.WaitGroup
	for i := range 500 {
		conn, err := net.Dial("tcp", rig.brokers[0].address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if i%2 == 0 { // half of them greet
			crowd.Go(func() {
				_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, _ = conn.Read(make([]byte, 8)) // or it was shut
			})
		}
	}
	crowd.Wait()
	rig.served(t, 20, false)
	if err := rig.Strike(ctx, Event{What: "join", Nodes: []int{0}}); err != nil {
		t.Fatal(err)
	}
	if err := rig.Strike(ctx, Event{What: "drain", Nodes: []int{0, 1}}); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 5, false)
	if at := rig.registry.toldLeaving("node-0", 0); at > 0 {
		t.Error("told of a drain while discovery was down")
	}
	rig.registry.view(0, view{late: -1})
	if _, err := rig.Said(ctx, "broker-0", "discovery back", 0); err != nil {
		t.Fatal(err)
	}
	rig.Counts()
	rig.served(t, 20, false)
	if c := rig.Counts(); c[2] == 0 {
		t.Errorf("the node that joined got nothing: %v", c)
	}
	if n := len(rig.Lines("accept failed")); n > 0 {
		t.Errorf("%d times no descriptor was left", n)
	}
}

// Hollow brokers agree with whole ones: a change that one of them proposes is in force at all, also when a process of theirs was killed
// meanwhile, and what they cost is told by role.
func TestHollowBrokers(t *testing.T) {
	lab := filepath.Join(filepath.Dir(program), "brokerbench")
	if text, err := exec.Command("go", "build", "-o", lab, "junctionwharf/cmd/brokerbench").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	rig, ctx := started(t, Scenario{Brokers: 3, Peers: true, Node: Node{Count: 2}, Agreement: Agreement{Voters: 3, BoundMS: 1000},
		Hollow: Hollow{Brokers: 6, Each: 3, Rate: 50, Volumes: 3}})
	change := func(broker int, value string, at ...int) {
		t.Helper()
		s, err := rig.agreeStatus(broker)
		if err != nil {
			t.Fatal(err)
		}
		text, err := rig.Agree(broker, fmt.Sprintf(`propose {"expected":%d,"author":"rig","reason":"r","changes":[{"key":"class.lesson-read.repeat","value":%q}]}`, s.Version, value))
		if err != nil || strings.Contains(text, "error") {
			t.Fatalf("%s, %v", text, err)
		}
		for _, b := range at {
			if _, err := rig.AgreeUntil(ctx, b, func(now agreement.Status) bool { return now.Version > s.Version && !now.Restricted }); err != nil {
				t.Fatal(err)
			}
		}
	}
	before := rig.readMeters()
	change(8, "no", 0, 1, 2, 3, 4, 5, 6, 7, 8)
	rig.served(t, 10, false)
	rig.KillHollow(0)
	change(7, "yes", 0, 1, 2, 6, 7, 8)
	costs := rig.costs(before, rig.readMeters())
	roles := map[string]int{}
	for _, c := range costs {
		roles[c.Role]++
		if c.Hollow != (c.Broker >= 3) || c.Sent <= 0 || c.Received <= 0 || c.MemoryMB <= 0 {
			t.Errorf("%+v", c)
		}
	}
	if roles["leader"] != 1 || roles["voter"] != 2 || roles["leaf"]+roles["feeder"] != 3 {
		t.Errorf("%v", roles)
	}
	if c := rig.Contradictions(); c.LongestUS > 0 || c.Versions < 2 {
		t.Errorf("%+v", c)
	}
}

// A broker that was stopped for 3 s wakes with old knowledge: it blames no node for its own silence, and what it was not asked
// meanwhile it does not make up for.
func TestStoppedBroker(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 3, Node: Node{Count: 4}})
	rig.served(t, 20, false)
	if err := rig.Signal(0, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	rig.brokers[0].setDown(true)
	for woken := time.After(3 * time.Second); ; {
		rig.served(t, 5, false, 1, 2)
		select {
		case <-woken:
		default:
			continue
		}
		break
	}
	from := rig.Elapsed()
	if err := rig.Signal(0, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := rig.ready(ctx, rig.brokers[0]); err != nil {
		t.Fatal(err)
	}
	rig.brokers[0].setDown(false)
	rig.Counts()
	rig.served(t, 40, false, 0)
	even(t, rig.Counts())
	for _, l := range rig.Lines("node found silent") {
		if l.Process == "broker-0" && l.At >= from {
			t.Errorf("it blamed a node: %v", l.Keys)
		}
	}
}

// Half of the brokers hold yesterday's list while a node drains and another joins: those that were told keep the rules, the others
// go on, and the new node, which is cold, gets less than the others.
func TestYesterdaysListAndColdNode(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 4, Node: Node{Count: 4}})
	rig.served(t, 20, false)
	for _, b := range []int{0, 1} {
		if err := rig.Strike(ctx, Event{What: "stale", Brokers: []int{b}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := rig.Strike(ctx, Event{What: "join", Nodes: []int{0}}); err != nil {
		t.Fatal(err)
	}
	if err := rig.Strike(ctx, Event{What: "drain", Nodes: []int{3}}); err != nil {
		t.Fatal(err)
	}
	for told := false; !told; {
		if ctx.Err() != nil {
			t.Fatal("the drain was never told")
		}
		told = rig.registry.toldLeaving("node-3", 2) > 0 && rig.registry.toldLeaving("node-3", 3) > 0
		rig.served(t, 2, false)
	}
	if at := rig.registry.toldLeaving("node-3", 0); at > 0 {
		t.Error("a broker with yesterday's list was told")
	}
	rig.served(t, 10, false)
	rig.Counts()
	rig.served(t, 60, false)
	c := rig.Counts()
	if mean := (c[0] + c[1] + c[2]) / 3; c[4] >= mean {
		t.Errorf("the cold node got as much as the others: %v", c)
	}
	rig.served(t, 30, false, 0, 1)
	if c = rig.Counts(); c[3] == 0 || c[4] > 0 {
		t.Errorf("brokers with yesterday's list acted on today's: %v", c)
	}
}

// One broker with ten times the others' traffic, and a node that reports that it is idle whatever it holds: the load stays even.
func TestHotBrokerAndLie(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 4, Node: Node{Count: 5}})
	if err := rig.Strike(ctx, Event{What: "lie", Nodes: []int{4}}); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rig.served(t, 20, false, 1, 2, 3)
	}()
	rig.served(t, 200, false, 0)
	<-done
	even(t, rig.Counts())
}

// A node at half speed gets less than the others; one whose connections are cut, or that refuses them, costs no read.
func TestSlowCutAndCrashed(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 3, Node: Node{Count: 5}})
	if err := rig.Strike(ctx, Event{What: "delay", Nodes: []int{0}, MS: 20}); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 60, false)
	rig.Counts()
	rig.served(t, 60, false)
	if c := rig.Counts(); c[0]*4 > c[1]+c[2]+c[3]+c[4] {
		t.Errorf("the slow node got as much as the others: %v", c)
	}
	if err := rig.Strike(ctx, Event{What: "reset", Nodes: []int{1}}); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 20, false)
	if err := rig.Strike(ctx, Event{What: "crash", Nodes: []int{2}}); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 20, false)
	if err := rig.Strike(ctx, Event{What: "cut", Nodes: []int{3}, By: 9}); err != nil {
		t.Fatal(err)
	}
	rig.served(t, 20, false) // no half answer is passed on
}

// Discovery tells one broker that there is no node, which binds it; another that two drain which the others hear to serve; and a third
// all news late. Each keeps to what it was told, refuses at once what it has no node for, and serves again once it is over.
func TestViewsThatContradict(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 4, Node: Node{Count: 4}})
	rig.served(t, 10, false)
	for _, e := range []Event{{What: "empty", Brokers: []int{0}}, {What: "contradict", Brokers: []int{1}, Nodes: []int{0, 1}}, {What: "late", Brokers: []int{2}, MS: 300}} {
		if err := rig.Strike(ctx, e); err != nil {
			t.Fatal(err)
		}
	}
	for rig.registry.toldLeaving("node-1", 1) == 0 {
		if ctx.Err() != nil {
			t.Fatal("the drain was never told")
		}
		rig.served(t, 1, false, 1, 2, 3)
	}
	for v := map[string]int{}; v["busy"] == 0; v = rig.Do(1, false, 0) {
		if ctx.Err() != nil {
			t.Fatal("the empty list was never told")
		}
	}
	if v := rig.Do(20, true, 0); v["busy"] != 20 {
		t.Errorf("without a node: %v", v)
	}
	rig.served(t, 20, false, 1, 2, 3)
	rig.Counts()
	rig.served(t, 20, false, 1)
	if c := rig.Counts(); c[0]+c[1] > 0 || c[2]+c[3] < 20 {
		t.Errorf("it was told that nodes 0 and 1 leave: %v", c)
	}
	rig.served(t, 30, false, 2, 3)
	even(t, rig.Counts())
	if rig.registry.toldLeaving("node-1", 0) > 0 {
		t.Error("a drain was told to a broker that was told of none")
	}
	for _, p := range rig.brokers {
		rig.registry.view(p.number, view{})
	}
	for back := map[int]bool{}; len(back) < 2; {
		if ctx.Err() != nil {
			t.Fatal("the nodes that serve again are not used")
		}
		rig.Counts()
		rig.served(t, 5, false, 1)
		back[1] = back[1] || rig.Counts()[0] > 0
		if rig.Do(1, false, 0)["served"] == 1 {
			back[0] = true
		}
		for b, is := range back {
			if !is {
				delete(back, b)
			}
		}
	}
}

// Links that lose and delay both ways, datagrams out of order, and clients that send slowly or break off in the middle: no request
// that was sent whole is lost, and no rule is broken.
func TestPoorLinksEverywhere(t *testing.T) {
	rig, ctx := started(t, Scenario{Brokers: 4, Peers: true, Node: Node{Count: 4}})
	for _, e := range []Event{{What: "delay", Nodes: []int{0}, MS: 5, JitterMS: 10, Way: "both"}, {What: "loss", Nodes: []int{1}, By: 0.05, Way: "requests"},
		{What: "datagrams", Brokers: []int{0, 1}, MS: 1, JitterMS: 50}, {What: "client_delay", Brokers: []int{1}, MS: 1, JitterMS: 5},
		{What: "client_pace", Brokers: []int{2}, By: 20_000}} {
		if err := rig.Strike(ctx, e); err != nil {
			t.Fatal(err)
		}
	}
	rig.served(t, 30, false)
	if err := rig.Strike(ctx, Event{What: "client_cut", Brokers: []int{3}, By: 40}); err != nil {
		t.Fatal(err)
	}
	if v := rig.Do(10, true, 3); v[cut] != 10 {
		t.Errorf("%v", v)
	}
	if c := rig.Do(20, true, 0, 1, 2); c["served"] != 60 {
		t.Errorf("%v", c)
	}
}

// Nothing outlives the rig: the kernel ends its processes when it is killed itself.
func TestChildrenDieWithTheRig(t *testing.T) {
	if os.Getenv("FLEETRIG_CHILD") != "" { // the rig that is to be killed
		program = os.Getenv("FLEETRIG_CHILD")
		rig, _ := started(t, Scenario{Brokers: 3, Node: Node{Count: 1}})
		for _, p := range rig.brokers {
			fmt.Println("pid", p.command.Process.Pid)
		}
		fmt.Println("pid 0")
		select {}
	}
	command := exec.Command(os.Args[0], "-test.run", "TestChildrenDieWithTheRig")
	command.Env = append(os.Environ(), "FLEETRIG_CHILD="+program)
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	var pids []int
	for lines := bufio.NewScanner(out); lines.Scan(); {
		pid := 0
		if _, err := fmt.Sscanf(lines.Text(), "pid %d", &pid); err == nil && pid == 0 {
			break
		} else if err == nil {
			pids = append(pids, pid)
		}
	}
	_ = command.Process.Kill()
	_ = command.Wait()
	if len(pids) != 3 {
		t.Fatalf("%d processes", len(pids))
	}
	for _, pid := range pids {
		fd, err := unix.PidfdOpen(pid, 0)
		if err != nil {
			continue // it is gone
		}
		if n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 10_000); n != 1 {
			t.Errorf("process %d lives on: %v", pid, err)
		}
		_ = unix.Close(fd)
	}
}

// A shard of one node, as on the platform, and several shards.
func TestOneNodeEach(t *testing.T) {
	rig, _ := started(t, Scenario{Brokers: 3, Shards: 3, Node: Node{Count: 3}})
	rig.served(t, 20, false)
	if n := len(rig.Lines("node found silent")); n > 0 {
		t.Errorf("%d nodes found silent", n)
	}
}

// A broker acted on a version as the rig started, long before the traffic that the axis begins with, and on the next one in it. Once the axis of
// the first was not moved along, and it seemed to have acted on it seconds after others acted on the next.
func TestLinesKeepTheirMoment(t *testing.T) {
	j := &journal{stories: map[string]*story{}, began: Now() - 14*time.Second}
	r := &Rig{journal: j}
	acts := func(process string, at time.Duration, version string) {
		j.line(Line{At: at - j.began, Process: process, Text: "acts", Keys: map[string]string{"epoch": "7", "version": version, "before_us": "1000"}})
	}
	now := Now() - 5*time.Second // the checker looks up to Now
	for _, p := range []string{"a", "b"} {
		acts(p, now-2*time.Second, "1")
	}
	j.begin(now)
	acts("a", now+time.Second, "2")
	acts("b", now+time.Second, "2")
	if c := r.Contradictions(); c.LongestUS > 0 || c.Versions != 2 || c.Spans != 4 {
		t.Errorf("%+v", c)
	}
	acts("b", now+1500*time.Millisecond, "1")
	acts("b", now+2*time.Second, "2")
	if c := r.Contradictions(); c.LongestUS < 900_000 {
		t.Errorf("one that went back is not found: %+v", c)
	}
}

// The checker finds what it is there to find.
func TestCheckerFindsBreaches(t *testing.T) {
	j := &journal{stories: map[string]*story{}, began: Now(), seed: 3}
	open, near := &nodeConn{}, &nodeConn{}
	near.Conn, _ = net.Pipe()
	for i, c := range []struct {
		rule string
		do   func(s *story)
	}{
		{"unsafe request written whole", func(s *story) {
			s.write = true
			for range 2 {
				j.arrive(s.id, attempt{conn: open})
				j.leave(s, 0, true)
			}
		}},
		{"two attempts out", func(s *story) {
			j.arrive(s.id, attempt{conn: near})
			j.arrive(s.id, attempt{conn: near, node: 1})
			time.Sleep(2 * overlap) // it is judged that late
		}},
		{"refusal for a write", func(s *story) {
			s.write = true
			j.arrive(s.id, attempt{conn: open})
			j.leave(s, 0, true)
			j.answer(s, "busy", false)
		}},
		{"no final answer", func(*story) {}},
		{"without an answer", func(s *story) { j.answer(s, "failed", true) }},
		{"late answer", func(s *story) {
			s.sent -= time.Minute
			j.answer(s, "served", false)
		}},
	} {
		s := &story{id: fmt.Sprint("r", i), sent: Now(), deadline: time.Second}
		j.breaches, j.order = nil, nil
		j.send(s)
		c.do(s)
		j.finish()
		found := false
		for _, b := range j.breaches {
			found = found || strings.Contains(b.Rule, c.rule) && strings.Contains(b.Story, "seed 3")
		}
		if !found {
			t.Errorf("%s: %v", c.rule, j.breaches)
		}
	}
}

func TestScenarioFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	good := "brokers = 3\nfor_s = 2\nrate = 1\n[node]\ncount = 2\n"
	for text, key := range map[string]string{
		good: "", good + "[[event]]\nwhat = \"silent\"\nnodes = [2]\n": "event[0].nodes", good + "[[event]]\nwhat = \"vanish\"\nnodes = [1]\n": "event[0].what",
		"brokers = 0\n": "brokers", good + "speed = 3\n": "node.speed: unknown key", good + "[[event]]\nwhat = \"kill\"\n": "event[0]: no target",
		strings.Replace(good, "rate = 1", "rate = 100000", 1): "rate", good + "[[event]]\nwhat = \"slow\"\nnodes = [1]\n": "event[0].by",
		good + "[[event]]\nwhat = \"silent\"\nnodes = [1]\nway = \"both\"\n": "event[0].way", good + "[[event]]\nwhat = \"contradict\"\nbrokers = [1]\n": "event[0].nodes",
		good + "[hollow]\nbrokers = 2000\n": "hollow.brokers", good + "[hollow]\nbrokers = 9\neach = 500\n": "hollow.each", good + "[hollow]\nbrokers = 900\neach = 1\n": "903 processes are over 400",
		"limit_mb = 3000\n" + good + "[hollow]\nbrokers = 900\n": "16200 MB", good + "[hollow]\nbrokers = 9\nvolumes = -1\n": "hollow: rate", good + "[hollow]\nsize = 9\n": "hollow.size: unknown key",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		if key == "" && err != nil || key != "" && (err == nil || !strings.Contains(err.Error(), key)) {
			t.Errorf("want %q: %v", key, err)
		}
	}
}

// A node that joins is in the list that a broker asks for whole, whatever was asked before.
func TestListHoldsWhoJoined(t *testing.T) {
	r := &Rig{scenario: &Scenario{Node: Node{Zones: 1}}}
	g := &registry{rig: r, version: 1, news: make(chan struct{}), views: map[int]view{}, times: []time.Duration{Now()}, told: map[string]map[int]time.Duration{}}
	r.nodes = []*node{{name: "first"}}
	g.entries = []listed{g.entry(r.nodes[0], "SERVING", 1)}
	if text := string(g.text(0, 0, 1, false)); !strings.Contains(text, "first") || text != string(g.known()) {
		t.Errorf("at the start: %s", text)
	}
	if text := string(g.text(0, 1, 1, true)); !strings.Contains(text, `"hosts":[]`) {
		t.Errorf("with nothing newer: %s", text)
	}
	joined := &node{name: "joined", number: 1}
	r.nodes = append(r.nodes, joined)
	g.change(g.entry(joined, "SERVING", 0))
	if text := string(g.text(0, 0, 2, false)); !strings.Contains(text, "joined") || !strings.Contains(text, "first") {
		t.Errorf("whole, behind the joining: %s", text)
	}
	if text := string(g.text(0, 1, 2, true)); !strings.Contains(text, "joined") || strings.Contains(text, "first") {
		t.Errorf("what is newer: %s", text)
	}
}
