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
var daemonProgram string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleetrig-test")
	if err != nil {
		panic(err)
	}
	daemonProgram = filepath.Join(dir, "junctionwharf")
	if text, err := exec.Command("go", "build", "-o", daemonProgram, "junctionwharf/cmd/junctionwharf").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", text)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// started starts a rig and has its rules checked at the end.
func startFleet(t *testing.T, s Scenario) (*Fleet, context.Context) {
	s.Rate, s.DurationS, s.Seed = 1, 1, 7
	s.Node.UnitMS = cmp.Or(s.Node.UnitMS, 0.2)
	rig, err := New(daemonProgram, &s)
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
		for _, b := range rig.Violations() {
			t.Errorf("%s: %s: %s", b.At, b.Rule, b.Trace)
		}
	})
	return rig, ctx
}

func (r *Fleet) expectServed(t *testing.T, requests int, write bool, brokers ...int) {
	t.Helper()
	count := len(brokers)
	if count == 0 {
		for i := range r.brokers[:r.scenario.Brokers] {
			if !r.isDedicatedVoter(i) {
				count++
			}
		}
	}
	if v := r.SendRequests(requests, write, brokers...); v["served"] != requests*count {
		t.Errorf("of %d: %v", requests*count, v)
	}
}

// even wants no node idle and none flooded. Turns alone would give each the mean within one for each broker; a busy machine makes
// a node seem slow now and then, which lowers its part.
func expectBalanced(t *testing.T, counts []int) {
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
	rig, ctx := startFleet(t, Scenario{Brokers: 6, Node: NodeSpec{Count: 5}})
	rig.expectServed(t, 50, false)
	expectBalanced(t, rig.TakeAttemptCounts())
	nodes := map[int]bool{}
	for _, n := range rig.FirstNodes() {
		nodes[n] = true
	}
	if len(nodes) < 3 {
		t.Errorf("the first requests of 6 brokers went to %d nodes", len(nodes))
	}
	if err := rig.RestartBrokers(ctx, 0, 2, 3, 5); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 50, true)
	expectBalanced(t, rig.TakeAttemptCounts())
}

// A node that accepts and never answers costs no read, is found silent, gets no write afterwards, and is used again once it
// answers.
func TestNodeThatNeverAnswers(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 4, Peers: true, Node: NodeSpec{Count: 5}})
	rig.expectServed(t, 20, false)
	if err := rig.InjectFault(ctx, Event{Kind: "silent", Nodes: []int{1}}); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 20, false)
	for b := range rig.brokers {
		if _, err := rig.AwaitLog(ctx, fmt.Sprintf("broker-%d", b), logNodeUnresponsive, 0); err != nil {
			t.Fatal(err)
		}
	}
	rig.TakeAttemptCounts()
	rig.expectServed(t, 20, true)
	if c := rig.TakeAttemptCounts(); c[1] > 0 {
		t.Errorf("%d writes went to a silent node", c[1])
	}
	rig.HealNodes(1)
	for seen := 0; seen < 4; { // all brokers' pauses end at last
		if ctx.Err() != nil {
			t.Fatal("the node that answers again is not used")
		}
		rig.expectServed(t, 5, false)
		seen += rig.TakeAttemptCounts()[1]
	}
}

// A node that half of the brokers reach is used by that half as before, and costs the others no read.
func TestNodeReachedByHalf(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 4, Peers: true, Node: NodeSpec{Count: 4}})
	if err := rig.InjectFault(ctx, Event{Kind: "oneway", Nodes: []int{2}, Brokers: []int{0, 1}}); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 40, false)
	rig.TakeAttemptCounts()
	rig.expectServed(t, 40, false, 2, 3)
	if c := rig.TakeAttemptCounts(); c[2] < 5 {
		t.Errorf("brokers that reach the node left it: %v", c)
	}
}

// Two nodes come back cold under more than they do, while one broker learns of it late and two are killed in the ramp and know of it only by
// the list. What all send together stays within what a cold node bears, and the brokers that were killed serve again.
func TestColdNodesWithRestarts(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 5, Peers: true, Shards: 2, Node: NodeSpec{Count: 2, Slots: 1, UnitMS: 10}})
	rig.SendRequests(10, false)
	if err := rig.InjectFault(ctx, Event{Kind: "late", Brokers: []int{4}, DelayMS: 700}); err != nil {
		t.Fatal(err)
	}
	if err := rig.InjectFault(ctx, Event{Kind: "crash", Nodes: []int{0, 1}, DurationS: 0.05}); err != nil {
		t.Fatal(err)
	}
	killed := make(chan error)
	go func() { killed <- rig.RestartBrokers(ctx, 0, 1) }()
	sum := rig.SendRequests(40, false, 2, 3, 4)
	if err := <-killed; err != nil {
		t.Fatal(err)
	}
	for v, n := range rig.SendRequests(40, false) {
		sum[v] += n
	}
	if sum["served"] == 0 || sum["lost"] > 0 {
		t.Errorf("%v", sum)
	}
	for _, n := range rig.nodes {
		n.mu.Lock()
		if len(n.slowStart) == 0 {
			t.Errorf("%s got nothing while it was cold", n.name)
		}
		for _, c := range n.slowStart {
			if c.Units > c.Limit {
				t.Errorf("%s got %.0f units at age %d s and bears %.0f", c.Node, c.Units, c.AgeS, c.Limit)
			}
		}
		n.mu.Unlock()
	}
}

// What a cold node got is told by second of its age, with the fullest window against what it bore.
func TestColdSeconds(t *testing.T) {
	r := &Fleet{scenario: &Scenario{Node: NodeSpec{Slots: 1, UnitMS: 20}}}
	n := &fakeNode{rig: r, name: "n", speed: 1, startedAt: time.Hour}
	bears := 4 * 0.18 * 50 * 3 // of the youngest
	for i := range 40 {
		n.addUnits(time.Hour+time.Duration(i)*100*time.Millisecond, 1)
	}
	if ok := n.addUnits(time.Hour+4*time.Second, 2*bears); ok || len(n.slowStart) != 5 || n.slowStart[4].Units <= n.slowStart[4].Limit || n.slowStart[2].Units != 30 || n.slowStart[4].AgeS != 4 {
		t.Errorf("%v, %+v", ok, n.slowStart)
	}
	n.startedAt = 2 * time.Hour
	n.addUnits(n.startedAt, 1)
	if last := n.slowStart[len(n.slowStart)-1]; len(n.slowStart) != 6 || last.AgeS != 0 || last.Units != 1 {
		t.Errorf("%+v", n.slowStart)
	}
}

// Idle clients fill the broker's descriptors while discovery is down. Requests go on being served, new connections to nodes come up, and
// the watch comes back: the broker hears of a drain and sends to the node that joined.
func TestIdleClientsFillDescriptors(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 1, Node: NodeSpec{Count: 2}})
	most := unix.Rlimit{Cur: 256, Max: 256} // as the configuration says
	if err := unix.Prlimit(rig.brokers[0].command.Process.Pid, unix.RLIMIT_NOFILE, &most, nil); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 10, false)
	if err := rig.InjectFault(ctx, Event{Kind: "blind", Brokers: []int{0}}); err != nil {
		t.Fatal(err)
	}
	if err := rig.InjectFault(ctx, Event{Kind: "reset", Nodes: []int{0, 1}}); err != nil {
		t.Fatal(err)
	}
	if _, err := rig.AwaitLog(ctx, "broker-0", "discovery silent", 0); err != nil {
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
	rig.expectServed(t, 20, false)
	if err := rig.InjectFault(ctx, Event{Kind: "join", Nodes: []int{0}}); err != nil {
		t.Fatal(err)
	}
	if err := rig.InjectFault(ctx, Event{Kind: "drain", Nodes: []int{0, 1}}); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 5, false)
	if at := rig.discovery.drainTold("node-0", 0); at > 0 {
		t.Error("told of a drain while discovery was down")
	}
	rig.discovery.setView(0, discoveryView{delay: -1})
	if _, err := rig.AwaitLog(ctx, "broker-0", "discovery back", 0); err != nil {
		t.Fatal(err)
	}
	rig.TakeAttemptCounts()
	rig.expectServed(t, 20, false)
	if c := rig.TakeAttemptCounts(); c[2] == 0 {
		t.Errorf("the node that joined got nothing: %v", c)
	}
	if n := len(rig.LogLines("accept failed")); n > 0 {
		t.Errorf("%d times no descriptor was left", n)
	}
}

// Hollow brokers agree with whole ones: a change that one of them proposes is in force at all, also when a process of theirs was killed
// meanwhile, and what they cost is told by role.
func TestHollowBrokers(t *testing.T) {
	lab := filepath.Join(filepath.Dir(daemonProgram), "brokerbench")
	if text, err := exec.Command("go", "build", "-o", lab, "junctionwharf/cmd/brokerbench").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	rig, ctx := startFleet(t, Scenario{Brokers: 3, Peers: true, Node: NodeSpec{Count: 2}, Agreement: Agreement{Voters: 3, BoundMS: 1000},
		Hollow: Hollow{Brokers: 6, PerProcess: 3, Rate: 50, Volumes: 3}})
	change := func(broker int, value string, at ...int) {
		t.Helper()
		s, err := rig.agreementStatus(broker)
		if err != nil {
			t.Fatal(err)
		}
		text, err := rig.AgreementCall(broker, fmt.Sprintf(`propose {"expected":%d,"author":"rig","reason":"r","changes":[{"key":"class.lesson-read.repeat","value":%q}]}`, s.Version, value))
		if err != nil || strings.Contains(text, "error") {
			t.Fatalf("%s, %v", text, err)
		}
		for _, b := range at {
			if _, err := rig.AwaitStatus(ctx, b, func(now agreement.Status) bool { return now.Version > s.Version && !now.Restricted }); err != nil {
				t.Fatal(err)
			}
		}
	}
	before := rig.readMeters()
	change(8, "no", 0, 1, 2, 3, 4, 5, 6, 7, 8)
	rig.expectServed(t, 10, false)
	rig.KillHollowProcess(0)
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
	if c := rig.LongestConflict(); c.LongestUS > 0 || c.Versions < 2 {
		t.Errorf("%+v", c)
	}
}

// A broker that was stopped for 3 s wakes with old knowledge: it blames no node for its own silence, and what it was not asked
// meanwhile it does not make up for.
func TestStoppedBroker(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 3, Node: NodeSpec{Count: 4}})
	rig.expectServed(t, 20, false)
	if err := rig.Signal(0, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	rig.brokers[0].setDown(true)
	for woken := time.After(3 * time.Second); ; {
		rig.expectServed(t, 5, false, 1, 2)
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
	if err := rig.awaitReady(ctx, rig.brokers[0]); err != nil {
		t.Fatal(err)
	}
	rig.brokers[0].setDown(false)
	rig.TakeAttemptCounts()
	rig.expectServed(t, 40, false, 0)
	expectBalanced(t, rig.TakeAttemptCounts())
	for _, l := range rig.LogLines(logNodeUnresponsive) {
		if l.Process == "broker-0" && l.At >= from {
			t.Errorf("it blamed a node: %v", l.Attributes)
		}
	}
}

// Half of the brokers hold yesterday's list while a node drains and another joins: those that were told keep the rules, the others
// go on, and the new node, which is cold, gets less than the others.
func TestYesterdaysListAndColdNode(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 4, Node: NodeSpec{Count: 4}})
	rig.expectServed(t, 20, false)
	for _, b := range []int{0, 1} {
		if err := rig.InjectFault(ctx, Event{Kind: "stale", Brokers: []int{b}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := rig.InjectFault(ctx, Event{Kind: "join", Nodes: []int{0}}); err != nil {
		t.Fatal(err)
	}
	if err := rig.InjectFault(ctx, Event{Kind: "drain", Nodes: []int{3}}); err != nil {
		t.Fatal(err)
	}
	for told := false; !told; {
		if ctx.Err() != nil {
			t.Fatal("the drain was never told")
		}
		told = rig.discovery.drainTold("node-3", 2) > 0 && rig.discovery.drainTold("node-3", 3) > 0
		rig.expectServed(t, 2, false)
	}
	if at := rig.discovery.drainTold("node-3", 0); at > 0 {
		t.Error("a broker with yesterday's list was told")
	}
	rig.expectServed(t, 10, false)
	rig.TakeAttemptCounts()
	rig.expectServed(t, 60, false)
	c := rig.TakeAttemptCounts()
	if mean := (c[0] + c[1] + c[2]) / 3; c[4] >= mean {
		t.Errorf("the cold node got as much as the others: %v", c)
	}
	rig.expectServed(t, 30, false, 0, 1)
	if c = rig.TakeAttemptCounts(); c[3] == 0 || c[4] > 0 {
		t.Errorf("brokers with yesterday's list acted on today's: %v", c)
	}
}

// One broker with ten times the others' traffic, and a node that reports that it is idle whatever it holds: the load stays even.
func TestHotBrokerAndLie(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 4, Node: NodeSpec{Count: 5}})
	if err := rig.InjectFault(ctx, Event{Kind: "lie", Nodes: []int{4}}); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rig.expectServed(t, 20, false, 1, 2, 3)
	}()
	rig.expectServed(t, 200, false, 0)
	<-done
	expectBalanced(t, rig.TakeAttemptCounts())
}

// A node at half speed gets less than the others; one whose connections are cut, or that refuses them, costs no read.
func TestSlowCutAndCrashed(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 3, Node: NodeSpec{Count: 5}})
	if err := rig.InjectFault(ctx, Event{Kind: "delay", Nodes: []int{0}, DelayMS: 20}); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 60, false)
	rig.TakeAttemptCounts()
	rig.expectServed(t, 60, false)
	if c := rig.TakeAttemptCounts(); c[0]*4 > c[1]+c[2]+c[3]+c[4] {
		t.Errorf("the slow node got as much as the others: %v", c)
	}
	if err := rig.InjectFault(ctx, Event{Kind: "reset", Nodes: []int{1}}); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 20, false)
	if err := rig.InjectFault(ctx, Event{Kind: "crash", Nodes: []int{2}}); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 20, false)
	if err := rig.InjectFault(ctx, Event{Kind: "cut", Nodes: []int{3}, Amount: 9}); err != nil {
		t.Fatal(err)
	}
	rig.expectServed(t, 20, false) // no half answer is passed on
}

// Discovery tells one broker that there is no node, which binds it; another that two drain which the others hear to serve; and a third
// all news late. Each keeps to what it was told, refuses at once what it has no node for, and serves again once it is over.
func TestViewsThatContradict(t *testing.T) {
	rig, ctx := startFleet(t, Scenario{Brokers: 4, Node: NodeSpec{Count: 4}})
	rig.expectServed(t, 10, false)
	for _, e := range []Event{{Kind: "empty", Brokers: []int{0}}, {Kind: "contradict", Brokers: []int{1}, Nodes: []int{0, 1}}, {Kind: "late", Brokers: []int{2}, DelayMS: 300}} {
		if err := rig.InjectFault(ctx, e); err != nil {
			t.Fatal(err)
		}
	}
	for rig.discovery.drainTold("node-1", 1) == 0 {
		if ctx.Err() != nil {
			t.Fatal("the drain was never told")
		}
		rig.expectServed(t, 1, false, 1, 2, 3)
	}
	for v := map[string]int{}; v["busy"] == 0; v = rig.SendRequests(1, false, 0) {
		if ctx.Err() != nil {
			t.Fatal("the empty list was never told")
		}
	}
	if v := rig.SendRequests(20, true, 0); v["busy"] != 20 {
		t.Errorf("without a node: %v", v)
	}
	rig.expectServed(t, 20, false, 1, 2, 3)
	rig.TakeAttemptCounts()
	rig.expectServed(t, 20, false, 1)
	if c := rig.TakeAttemptCounts(); c[0]+c[1] > 0 || c[2]+c[3] < 20 {
		t.Errorf("it was told that nodes 0 and 1 leave: %v", c)
	}
	rig.expectServed(t, 30, false, 2, 3)
	expectBalanced(t, rig.TakeAttemptCounts())
	if rig.discovery.drainTold("node-1", 0) > 0 {
		t.Error("a drain was told to a broker that was told of none")
	}
	for _, p := range rig.brokers {
		rig.discovery.setView(p.number, discoveryView{})
	}
	for back := map[int]bool{}; len(back) < 2; {
		if ctx.Err() != nil {
			t.Fatal("the nodes that serve again are not used")
		}
		rig.TakeAttemptCounts()
		rig.expectServed(t, 5, false, 1)
		back[1] = back[1] || rig.TakeAttemptCounts()[0] > 0
		if rig.SendRequests(1, false, 0)["served"] == 1 {
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
	rig, ctx := startFleet(t, Scenario{Brokers: 4, Peers: true, Node: NodeSpec{Count: 4}})
	for _, e := range []Event{{Kind: "delay", Nodes: []int{0}, DelayMS: 5, JitterMS: 10, Direction: "both"}, {Kind: "loss", Nodes: []int{1}, Amount: 0.05, Direction: "requests"},
		{Kind: "datagrams", Brokers: []int{0, 1}, DelayMS: 1, JitterMS: 50}, {Kind: "client_delay", Brokers: []int{1}, DelayMS: 1, JitterMS: 5},
		{Kind: "client_pace", Brokers: []int{2}, Amount: 20_000}} {
		if err := rig.InjectFault(ctx, e); err != nil {
			t.Fatal(err)
		}
	}
	rig.expectServed(t, 30, false)
	if err := rig.InjectFault(ctx, Event{Kind: "client_cut", Brokers: []int{3}, Amount: 40}); err != nil {
		t.Fatal(err)
	}
	if v := rig.SendRequests(10, true, 3); v[outcomeCut] != 10 {
		t.Errorf("%v", v)
	}
	if c := rig.SendRequests(20, true, 0, 1, 2); c["served"] != 60 {
		t.Errorf("%v", c)
	}
}

// Nothing outlives the rig: the kernel ends its processes when it is killed itself.
func TestChildrenDieWithTheRig(t *testing.T) {
	if os.Getenv("FLEETRIG_CHILD") != "" { // the rig that is to be killed
		daemonProgram = os.Getenv("FLEETRIG_CHILD")
		rig, _ := startFleet(t, Scenario{Brokers: 3, Node: NodeSpec{Count: 1}})
		for _, p := range rig.brokers {
			fmt.Println("pid", p.command.Process.Pid)
		}
		fmt.Println("pid 0")
		select {}
	}
	command := exec.Command(os.Args[0], "-test.run", "TestChildrenDieWithTheRig")
	command.Env = append(os.Environ(), "FLEETRIG_CHILD="+daemonProgram)
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
	rig, _ := startFleet(t, Scenario{Brokers: 3, Shards: 3, Node: NodeSpec{Count: 3}})
	rig.expectServed(t, 20, false)
	if n := len(rig.LogLines(logNodeUnresponsive)); n > 0 {
		t.Errorf("%d nodes found silent", n)
	}
}

// A broker acted on a version as the rig started, long before the traffic that the axis begins with, and on the next one in it. Once the axis of
// the first was not moved along, and it seemed to have acted on it seconds after others acted on the next.
func TestLinesKeepTheirMoment(t *testing.T) {
	j := &recorder{requests: map[string]*request{}, startedAt: Now() - 14*time.Second}
	r := &Fleet{recorder: j}
	acts := func(process string, at time.Duration, version string) {
		j.addLine(LogLine{At: at - j.startedAt, Process: process, Message: "acts", Attributes: map[string]string{"epoch": "7", "version": version, "before_us": "1000"}})
	}
	now := Now() - 5*time.Second // the checker looks up to Now
	for _, p := range []string{"a", "b"} {
		acts(p, now-2*time.Second, "1")
	}
	j.moveStart(now)
	acts("a", now+time.Second, "2")
	acts("b", now+time.Second, "2")
	if c := r.LongestConflict(); c.LongestUS > 0 || c.Versions != 2 || c.Spans != 4 {
		t.Errorf("%+v", c)
	}
	acts("b", now+1500*time.Millisecond, "1")
	acts("b", now+2*time.Second, "2")
	if c := r.LongestConflict(); c.LongestUS < 900_000 {
		t.Errorf("one that went back is not found: %+v", c)
	}
}

// The checker finds what it is there to find.
func TestCheckerFindsBreaches(t *testing.T) {
	j := &recorder{requests: map[string]*request{}, startedAt: Now(), seed: 3}
	open, near := &nodeConn{}, &nodeConn{}
	near.Conn, _ = net.Pipe()
	for i, c := range []struct {
		rule string
		do   func(s *request)
	}{
		{"unsafe request written whole", func(s *request) {
			s.write = true
			for range 2 {
				j.attemptArrived(s.id, attempt{conn: open})
				j.attemptEnded(s, 0, true)
			}
		}},
		{"two attempts out", func(s *request) {
			j.attemptArrived(s.id, attempt{conn: near})
			j.attemptArrived(s.id, attempt{conn: near, node: 1})
			time.Sleep(2 * attemptOverlap) // it is judged that late
		}},
		{"refusal for a write", func(s *request) {
			s.write = true
			j.attemptArrived(s.id, attempt{conn: open})
			j.attemptEnded(s, 0, true)
			j.requestEnded(s, "busy", false)
		}},
		{"no final answer", func(*request) {}},
		{"without an answer", func(s *request) { j.requestEnded(s, "failed", true) }},
		{"late answer", func(s *request) {
			s.sentAt -= time.Minute
			j.requestEnded(s, "served", false)
		}},
	} {
		s := &request{id: fmt.Sprint("r", i), sentAt: Now(), deadline: time.Second}
		j.violations, j.sequence = nil, nil
		j.addRequest(s)
		c.do(s)
		j.checkAtEnd()
		found := false
		for _, b := range j.violations {
			found = found || strings.Contains(b.Rule, c.rule) && strings.Contains(b.Trace, "seed 3")
		}
		if !found {
			t.Errorf("%s: %v", c.rule, j.violations)
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
	r := &Fleet{scenario: &Scenario{Node: NodeSpec{Zones: 1}}}
	g := &fakeDiscovery{rig: r, version: 1, changed: make(chan struct{}), views: map[int]discoveryView{}, publishedAt: []time.Duration{Now()}, drainToldAt: map[string]map[int]time.Duration{}}
	r.nodes = []*fakeNode{{name: "first"}}
	g.entries = []listedEndpoint{g.entry(r.nodes[0], "SERVING", 1)}
	if text := string(g.list(0, 0, 1, false)); !strings.Contains(text, "first") || text != string(g.currentList()) {
		t.Errorf("at the start: %s", text)
	}
	if text := string(g.list(0, 1, 1, true)); !strings.Contains(text, `"hosts":[]`) {
		t.Errorf("with nothing newer: %s", text)
	}
	joined := &fakeNode{name: "joined", number: 1}
	r.nodes = append(r.nodes, joined)
	g.publish(g.entry(joined, "SERVING", 0))
	if text := string(g.list(0, 0, 2, false)); !strings.Contains(text, "joined") || !strings.Contains(text, "first") {
		t.Errorf("whole, behind the joining: %s", text)
	}
	if text := string(g.list(0, 1, 2, true)); !strings.Contains(text, "joined") || strings.Contains(text, "first") {
		t.Errorf("what is newer: %s", text)
	}
}

// logNodeUnresponsive is the scheduler's message for a node that does not answer while others of its shard do.
const logNodeUnresponsive = "node unresponsive while others of its shard answer"
