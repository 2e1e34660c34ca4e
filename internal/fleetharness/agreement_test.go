package fleetharness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"junctionwharf/internal/agreement"
)

const conflictBound = time.Second

// agreeing starts 3 voters and 4 followers, waits until all act on the first version, and checks at the end that nobody ever acted on
// what contradicts a version that another acted on, for longer than the bound.
func startAgreeing(t *testing.T, a Agreement) (*Fleet, context.Context, int) {
	a.Voters, a.LimitFloor, a.BoundMS = 3, 1000, 1000
	rig, ctx := startFleet(t, Scenario{Brokers: 7, Agreement: a, Node: NodeSpec{Count: 3},
		Plans: `[{"name":"basico","nominal":1000,"floorRate":500,"ceilingRate":5000,"capDepth":5000,"parts":1,"price":1}]`})
	leader, err := rig.Leader(ctx)
	if err != nil {
		t.Fatal(err)
	}
	rig.awaitAll(t, ctx, func(s agreement.Status) bool { return s.Version >= 1 && !s.Restricted && s.PendingVersion == 0 })
	t.Cleanup(func() {
		c := rig.LongestConflict()
		if c.LongestUS > conflictBound.Microseconds() || c.Versions == 0 || c.Spans < 2*len(rig.brokers) {
			t.Errorf("%+v", c)
		}
		t.Logf("%d versions, longest contradiction %d us", c.Versions, c.LongestUS)
	})
	return rig, ctx, leader
}

func (r *Fleet) awaitAll(t *testing.T, ctx context.Context, is func(agreement.Status) bool, but ...int) {
	t.Helper()
	for b := range r.brokers {
		skip := false
		for _, x := range but {
			skip = skip || x == b
		}
		if skip {
			continue
		}
		if _, err := r.AwaitStatus(ctx, b, is); err != nil {
			t.Fatal(err)
		}
	}
}

// change proposes a limit, and returns the version that it made or the kind of its refusal.
func (r *Fleet) propose(t *testing.T, broker int, expected uint64, key, value string) (version uint64, kind string) {
	t.Helper()
	text, err := r.AgreementCall(broker, fmt.Sprintf(`propose {"expected":%d,"author":"operator","reason":"test","changes":[{"key":%q,"value":%q}]}`, expected, key, value))
	if err != nil {
		return 0, "unknown" // the broker ended meanwhile
	}
	var answer struct {
		Version uint64
		Kind    string
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return answer.Version, answer.Kind
}

func versionAtLeast(version uint64) func(agreement.Status) bool {
	return func(s agreement.Status) bool { return s.Version >= version && !s.Restricted }
}

// A change reaches all; a second one with the same expected version, and one with faults, are refused whole; a rollback brings the
// values of the first version again. Meanwhile requests are served.
func TestAgreeOnChanges(t *testing.T) {
	rig, ctx, _ := startAgreeing(t, Agreement{})
	v, kind := rig.propose(t, 5, 1, "plan.basico.limit", "2000")
	if v != 2 || kind != "" {
		t.Fatalf("version %d, %q", v, kind)
	}
	rig.awaitAll(t, ctx, versionAtLeast(2))
	if _, kind := rig.propose(t, 1, 1, "plan.basico.limit", "3000"); kind != "expected" {
		t.Errorf("a second change of version 1: %q", kind)
	}
	text, err := rig.AgreementCall(3, `propose {"expected":2,"author":"operator","reason":"test","changes":[{"key":"class.lesson-read.repeat","value":"no"},{"key":"plan.basico.limit","value":"1"},{"key":"plan.gold.limit","value":"9"}]}`)
	if err != nil || !strings.Contains(text, "invalid") || !strings.Contains(text, "plan.basico.limit") || !strings.Contains(text, "plan.gold.limit: unknown key") {
		t.Errorf("%s, %v", text, err)
	}
	rig.expectServed(t, 10, false)
	if text, err := rig.AgreementCall(4, "rollback 1 operator again"); err != nil || !strings.Contains(text, `"version":3`) {
		t.Errorf("%s, %v", text, err)
	}
	rig.awaitAll(t, ctx, versionAtLeast(3))
	command := exec.Command(daemonProgram, "agree", "propose", "--author", "operator", "--reason", "late", "--expected", "1", "plan.basico.limit=1500")
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+rig.brokers[2].configPath)
	if text, err := command.CombinedOutput(); command.ProcessState.ExitCode() != 3 || !strings.Contains(string(text), "another version is in force") {
		t.Errorf("%q, %v", text, err)
	}
	command = exec.Command(daemonProgram, "agree", "history")
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+rig.brokers[2].configPath)
	if text, err := command.CombinedOutput(); err != nil || !strings.Contains(string(text), "operator") {
		t.Errorf("%q, %v", text, err)
	}
	if text, err := rig.AgreementCall(6, "diff 1"); err != nil || text != "null" {
		t.Errorf("%s, %v", text, err)
	}
	if text, err := rig.AgreementCall(0, "history 2"); err != nil || strings.Count(text, `"author":"operator"`) != 2 {
		t.Errorf("%s, %v", text, err)
	}
}

// The leader is killed while a change is under way, held up by a follower that is stopped: the change comes into force, once.
func TestLeaderKilledInAChange(t *testing.T) {
	rig, ctx, leader := startAgreeing(t, Agreement{})
	if err := rig.Signal(6, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	rig.brokers[6].setDown(true)
	asked := make(chan string, 1)
	go func() {
		_, kind := rig.propose(t, 3, 1, "class.lesson-read.repeat", "no")
		asked <- kind
	}()
	preparing := func(s agreement.Status) bool { return s.PendingVersion == 2 || s.Version == 2 }
	if _, err := rig.AwaitStatus(ctx, 4, preparing); err != nil {
		t.Fatal(err)
	}
	if err := rig.RestartBrokers(ctx, leader); err != nil {
		t.Fatal(err)
	}
	rig.awaitAll(t, ctx, versionAtLeast(2), 6)
	if err := rig.Signal(6, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	rig.brokers[6].setDown(false)
	rig.awaitAll(t, ctx, versionAtLeast(2))
	if kind := <-asked; kind != "" && kind != "unknown" {
		t.Errorf("its proposer was told %q", kind)
	}
	rig.expectServed(t, 5, false)
}

// The leader is stopped, another leads meanwhile, and it wakes: it neither grants nor acts by what it knew.
func TestLeaderStoppedAndWoken(t *testing.T) {
	rig, ctx, leader := startAgreeing(t, Agreement{})
	if err := rig.Signal(leader, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	rig.brokers[leader].setDown(true)
	via := (leader + 1) % 3
	v, kind := rig.propose(t, via, 1, "class.lesson-read.repeat", "no")
	for ; kind == "none" || kind == "unknown"; v, kind = rig.propose(t, via, 1, "class.lesson-read.repeat", "no") {
		if ctx.Err() != nil {
			t.Fatal("nobody leads without it")
		}
	}
	if v != 2 && kind != "expected" { // an earlier one may have come into force, though nobody said so
		t.Fatalf("version %d, %q", v, kind)
	}
	rig.awaitAll(t, ctx, versionAtLeast(2), leader)
	if err := rig.Signal(leader, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	rig.brokers[leader].setDown(false)
	rig.awaitAll(t, ctx, versionAtLeast(2))
}

// A follower is cut off during a change: it is restricted in time, serves on, and catches up. So do links that carry one way only.
func TestFollowerCutOff(t *testing.T) {
	rig, ctx, _ := startAgreeing(t, Agreement{})
	for i, mend := range []func(){rig.Partition(true, true, 5), rig.Partition(true, false, 5), rig.Partition(false, true, 5)} {
		if i > 0 { // all three hold to begin with: the last to go is one way only
			mend()
			continue
		}
		v, kind := rig.propose(t, 3, 1, "plan.basico.limit", "1500")
		if v != 2 || kind != "" {
			t.Fatalf("version %d, %q", v, kind)
		}
		s, err := rig.AwaitStatus(ctx, 5, func(s agreement.Status) bool { return s.Restricted })
		if err != nil || s.Version != 1 {
			t.Fatalf("%+v, %v", s, err)
		}
		rig.expectServed(t, 10, false)
		rig.expectServed(t, 5, true)
		mend()
	}
	rig.awaitAll(t, ctx, versionAtLeast(2))
}

// A majority is lost: changes stop, service goes on, restricted; once it is back, so are changes.
func TestMajorityLost(t *testing.T) {
	rig, ctx, leader := startAgreeing(t, Agreement{})
	mends := []func(){rig.Partition(true, true, (leader+1)%3), rig.Partition(true, true, (leader+2)%3)}
	rig.awaitAll(t, ctx, func(s agreement.Status) bool { return s.Restricted })
	rig.expectServed(t, 10, false)
	rig.expectServed(t, 10, true)
	for _, mend := range mends {
		mend()
	}
	rig.awaitAll(t, ctx, versionAtLeast(1))
	var kind string
	for v := uint64(0); v != 2; v, kind = rig.propose(t, 4, 1, "plan.basico.limit", "1500") {
		if ctx.Err() != nil {
			t.Fatalf("no change: %q", kind)
		}
	}
	rig.awaitAll(t, ctx, versionAtLeast(2))
}

// All brokers are restarted at once. With disks the document is what it was; without, the voters form anew and begin with their
// settings; a follower that was not restarted keeps the document for them.
func TestAllRestarted(t *testing.T) {
	for _, c := range []struct {
		disk bool
		some []int
		want uint64
	}{{true, []int{0, 1, 2, 3, 4, 5, 6}, 3}, {false, []int{0, 1, 2, 3, 4, 5, 6}, 1}, {false, []int{0, 1, 2, 3, 4}, 3}} {
		t.Run(fmt.Sprint(c.disk, len(c.some)), func(t *testing.T) {
			rig, ctx, _ := startAgreeing(t, Agreement{Persistent: c.disk})
			before, err := rig.AwaitStatus(ctx, 0, versionAtLeast(1))
			if err != nil {
				t.Fatal(err)
			}
			for v := uint64(1); v < 3; v++ {
				if got, kind := rig.propose(t, 6, v, "plan.basico.limit", fmt.Sprint(1000+v)); got != v+1 {
					t.Fatalf("version %d, %q", got, kind)
				}
			}
			rig.awaitAll(t, ctx, versionAtLeast(3))
			if err := rig.RestartBrokers(ctx, c.some...); err != nil {
				t.Fatal(err)
			}
			rig.awaitAll(t, ctx, func(s agreement.Status) bool {
				return !s.Restricted && s.Version == c.want && (s.Epoch == before.Epoch) == c.disk
			})
			rig.expectServed(t, 5, false)
			if got, kind := rig.propose(t, 6, c.want, "plan.basico.limit", "1500"); got != c.want+1 {
				t.Errorf("version %d, %q", got, kind)
			}
			rig.awaitAll(t, ctx, versionAtLeast(c.want+1))
		})
	}
}

// A voter without a disk is restarted: it is taken in as another, and the two others may then be lost one by one.
func TestVotersReplacedOneByOne(t *testing.T) {
	rig, ctx, _ := startAgreeing(t, Agreement{})
	for v := range 3 {
		if err := rig.RestartBrokers(ctx, v); err != nil {
			t.Fatal(err)
		}
		if _, err := rig.AwaitStatus(ctx, v, func(s agreement.Status) bool { return s.Leader != "" && s.Version == uint64(v)+1 && !s.Restricted }); err != nil {
			t.Fatal(err)
		}
		var kind string
		for got := uint64(0); got != uint64(v)+2 && kind != "expected"; got, kind = rig.propose(t, 5, uint64(v)+1, "plan.basico.limit", fmt.Sprint(1000+v)) {
			if ctx.Err() != nil {
				t.Fatalf("no change: %q", kind)
			}
		}
		rig.awaitAll(t, ctx, versionAtLeast(uint64(v)+2))
	}
	if n := len(rig.LogLines("formed")); n != 3 {
		t.Errorf("%d voters formed, 3 did at the start", n)
	}
}

// Discovery tells one broker that a node drains: all stop to send there, though discovery tells them that it serves; and it is taken
// back when discovery does.
func TestDrainToldToOne(t *testing.T) {
	rig, ctx, _ := startAgreeing(t, Agreement{})
	if err := rig.InjectFault(ctx, Event{Kind: "contradict", Brokers: []int{4}, Nodes: []int{1}}); err != nil {
		t.Fatal(err)
	}
	rig.awaitAll(t, ctx, versionAtLeast(2))
	rig.expectServed(t, 1, false) // what was under way
	rig.TakeAttemptCounts()
	rig.expectServed(t, 20, false)
	if c := rig.TakeAttemptCounts(); c[1] > 0 {
		t.Errorf("%d went to it: %v", c[1], c)
	}
	rig.discovery.setView(4, discoveryView{})
	rig.awaitAll(t, ctx, versionAtLeast(3))
	rig.expectServed(t, 20, false)
	if c := rig.TakeAttemptCounts(); c[1] == 0 {
		t.Errorf("it is not used again: %v", c)
	}
}

// The checker finds a broker that acts on the old version once another acts on the new one, and excuses one that was stopped, or
// restricted, or prepared.
func TestCheckerFindsContradictions(t *testing.T) {
	ms := time.Millisecond
	acts := func(who string, at time.Duration, version, preparing, restricted string, before time.Duration) LogLine {
		return LogLine{At: at, Process: who, Message: "acts", Attributes: map[string]string{"epoch": "7", "version": version, "preparing": preparing, "restricted": restricted,
			"before_us": fmt.Sprint(before.Microseconds())}}
	}
	common := []LogLine{acts("a", 0, "1", "0", "false", 0), acts("b", 0, "1", "0", "false", 0), acts("a", 100*ms, "2", "0", "false", ms)}
	for _, c := range []struct {
		name string
		more []LogLine
		want time.Duration
	}{
		{"it goes on", []LogLine{acts("b", 600*ms, "2", "0", "false", 10*ms)}, 490 * ms},
		{"it was stopped", []LogLine{acts("b", 600*ms, "0", "0", "true", 550*ms)}, 0},
		{"it was restricted", []LogLine{acts("b", 60*ms, "1", "0", "true", ms), acts("b", 600*ms, "2", "0", "false", ms)}, 0},
		{"it had prepared", []LogLine{acts("b", 60*ms, "1", "2", "false", ms), acts("b", 600*ms, "2", "0", "false", ms)}, 0},
		{"it was killed late", []LogLine{{At: 300 * ms, Process: "b", Message: "killed"}}, 200 * ms},
	} {
		r := &Fleet{recorder: &recorder{requests: map[string]*request{}, startedAt: Now() - time.Second, logs: append(append([]LogLine{}, common...), c.more...)}}
		if got := r.LongestConflict(); got.LongestUS != c.want.Microseconds() || (c.want > 0) != (got.Trace != "") {
			t.Errorf("%s: %+v, want %v", c.name, got, c.want)
		}
	}
}

// A hundred changes a second are offered while requests are asked for: each is taken or refused, those that were taken make one history, and
// no request is lost by it.
func TestManyChanges(t *testing.T) {
	rig, ctx, _ := startAgreeing(t, Agreement{})
	ends := make(chan map[string]int, 4)
	for from := range 4 {
		go func() {
			count := map[string]int{}
			for i := range 25 {
				s, err := rig.AwaitStatus(ctx, from, func(agreement.Status) bool { return true })
				if err != nil {
					break
				}
				_, kind := rig.propose(t, 3+from, s.Version, "plan.basico.limit", fmt.Sprint(1000+100*from+i))
				count[kind]++
			}
			ends <- count
		}()
	}
	rig.expectServed(t, 30, false)
	taken, refused := 0, 0
	for range 4 {
		count := <-ends
		taken, refused = taken+count[""], refused+count["expected"]
		if count["invalid"]+count["unknown"]+count["none"] > 0 {
			t.Errorf("%v", count)
		}
	}
	if taken < 5 || taken+refused != 100 {
		t.Errorf("%d taken, %d refused", taken, refused)
	}
	rig.awaitAll(t, ctx, versionAtLeast(uint64(1+taken)))
	var history []struct{ Version uint64 }
	text, err := rig.AgreementCall(1, "history 1000")
	if err != nil || json.Unmarshal([]byte(text), &history) != nil || len(history) != 1+taken {
		t.Errorf("%d versions, %d taken: %v", len(history), taken, err)
	}
}

// Settings files that say other things are read again at brokers in turn: each becomes a version, one class vanishes from them, and requests
// that were taken under the old version end.
func TestSettingsFileBecomesProposal(t *testing.T) {
	rig, ctx, _ := startAgreeing(t, Agreement{})
	done := make(chan map[string]int, 1)
	go func() { done <- rig.SendRequests(100, false) }()
	text, err := os.ReadFile(rig.brokers[5].configPath)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), `"ceilingRate":5000`, `"ceilingRate":4000`, 1)
	if changed == string(text) {
		t.Fatal("nothing to change")
	}
	if err := os.WriteFile(rig.brokers[5].configPath, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := rig.Signal(5, syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	rig.awaitAll(t, ctx, versionAtLeast(2))
	if text, err := rig.AgreementCall(2, "diff 1"); err != nil || text != `[{"key":"plan.basico.limit","then":"5000","now":"4000"}]` {
		t.Errorf("%s, %v", text, err)
	}
	if v := <-done; v["served"] != 700 {
		t.Errorf("%v", v)
	}
	if v, kind := rig.propose(t, 0, 2, "class.record-write.repeat", ""); v != 3 { // a class vanishes from the document
		t.Errorf("version %d, %q", v, kind)
	}
	rig.awaitAll(t, ctx, versionAtLeast(3))
	rig.expectServed(t, 10, true)
	rig.expectServed(t, 10, false)
}

// Control by machines set aside: brokers feed nobody, the voters take no clients. The leader dies in the middle of a change: it is in force at
// all or at none, and the next one is in force at all. Requests go on all the while.
func TestControlDiesInAChange(t *testing.T) {
	rig, ctx, leader := startAgreeing(t, Agreement{DedicatedVoters: true})
	for b := 3; b < len(rig.brokers); b++ {
		s, err := rig.agreementStatus(b)
		if err != nil || s.Role != "follower" || len(s.Children) > 0 || len(s.Path) != 1 {
			t.Errorf("broker-%d: %+v, %v", b, s, err)
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rig.propose(t, 4, 1, "plan.basico.limit", "2000")
	}()
	if _, err := rig.AwaitStatus(ctx, 4, func(s agreement.Status) bool { return s.PendingVersion == 2 || s.Version >= 2 }); err != nil {
		t.Fatal(err)
	}
	rig.terminate(rig.brokers[leader], syscall.SIGKILL)
	rig.expectServed(t, 10, false)
	<-ended
	left := slices.DeleteFunc([]int{0, 1, 2}, func(b int) bool { return b == leader })
	s, err := rig.AwaitStatus(ctx, left[0], func(s agreement.Status) bool { return !s.Restricted && s.PendingVersion == 0 })
	if err != nil {
		t.Fatal(err)
	}
	for version := uint64(0); version == 0; {
		if ctx.Err() != nil {
			t.Fatal("no change was taken")
		}
		if s, err = rig.agreementStatus(5); err != nil {
			t.Fatal(err)
		}
		if version, _ = rig.propose(t, 5, s.Version, "plan.basico.limit", "3000"); version > 0 {
			rig.awaitAll(t, ctx, versionAtLeast(version), leader)
		}
	}
	rig.expectServed(t, 10, false)
}

// All machines of control are gone: brokers serve on, restricted, and say so. When they are back, with nothing kept, the brokers have what was
// in force again, and a change is in force at all.
func TestControlIsGone(t *testing.T) {
	rig, ctx, _ := startAgreeing(t, Agreement{DedicatedVoters: true})
	v, kind := rig.propose(t, 3, 1, "plan.basico.limit", "2000")
	if v != 2 {
		t.Fatalf("%d, %q", v, kind)
	}
	rig.awaitAll(t, ctx, versionAtLeast(2))
	for b := range 3 {
		rig.terminate(rig.brokers[b], syscall.SIGKILL)
	}
	rig.awaitAll(t, ctx, func(s agreement.Status) bool { return s.Restricted }, 0, 1, 2)
	rig.expectServed(t, 20, false)
	if v, _ := rig.propose(t, 3, 2, "plan.basico.limit", "3000"); v > 0 {
		t.Error("a change was taken by nobody")
	}
	for b := range 3 {
		if err := rig.startBroker(rig.brokers[b], rig.discovery.currentList()); err != nil {
			t.Fatal(err)
		}
	}
	for b := range 3 {
		if err := rig.awaitReady(ctx, rig.brokers[b]); err != nil {
			t.Fatal(err)
		}
		rig.brokers[b].setDown(false)
	}
	rig.awaitAll(t, ctx, versionAtLeast(2))
	if text, err := rig.AgreementCall(4, "export"); err != nil || !strings.Contains(text, "2000") {
		t.Errorf("%s, %v", text, err)
	}
	s, err := rig.agreementStatus(4)
	if err != nil {
		t.Fatal(err)
	}
	if v, kind := rig.propose(t, 4, s.Version, "plan.basico.limit", "3000"); v <= s.Version {
		t.Errorf("version %d, %q", v, kind)
	} else {
		rig.awaitAll(t, ctx, versionAtLeast(v))
	}
	rig.expectServed(t, 10, false)
}
