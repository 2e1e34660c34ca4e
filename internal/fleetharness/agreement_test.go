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

const bound = time.Second

// agreeing starts 3 voters and 4 followers, waits until all act on the first version, and checks at the end that nobody ever acted on
// what contradicts a version that another acted on, for longer than the bound.
func agreeing(t *testing.T, a Agreement) (*Rig, context.Context, int) {
	a.Voters, a.Floor, a.BoundMS = 3, 1000, 1000
	rig, ctx := started(t, Scenario{Brokers: 7, Agreement: a, Node: Node{Count: 3},
		Plans: `[{"name":"basico","nominal":1000,"floorRate":500,"ceilingRate":5000,"capDepth":5000,"parts":1,"price":1}]`})
	leader, err := rig.Leader(ctx)
	if err != nil {
		t.Fatal(err)
	}
	rig.all(t, ctx, func(s agreement.Status) bool { return s.Version >= 1 && !s.Restricted && s.PendingVersion == 0 })
	t.Cleanup(func() {
		c := rig.Contradictions()
		if c.LongestUS > bound.Microseconds() || c.Versions == 0 || c.Spans < 2*len(rig.brokers) {
			t.Errorf("%+v", c)
		}
		t.Logf("%d versions, longest contradiction %d us", c.Versions, c.LongestUS)
	})
	return rig, ctx, leader
}

func (r *Rig) all(t *testing.T, ctx context.Context, is func(agreement.Status) bool, but ...int) {
	t.Helper()
	for b := range r.brokers {
		skip := false
		for _, x := range but {
			skip = skip || x == b
		}
		if skip {
			continue
		}
		if _, err := r.AgreeUntil(ctx, b, is); err != nil {
			t.Fatal(err)
		}
	}
}

// change proposes a limit, and returns the version that it made or the kind of its refusal.
func (r *Rig) change(t *testing.T, broker int, expected uint64, key, value string) (version uint64, kind string) {
	t.Helper()
	text, err := r.Agree(broker, fmt.Sprintf(`propose {"expected":%d,"author":"operator","reason":"test","changes":[{"key":%q,"value":%q}]}`, expected, key, value))
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

func at(version uint64) func(agreement.Status) bool {
	return func(s agreement.Status) bool { return s.Version >= version && !s.Restricted }
}

// A change reaches all; a second one with the same expected version, and one with faults, are refused whole; a rollback brings the
// values of the first version again. Meanwhile requests are served.
func TestAgreeOnChanges(t *testing.T) {
	rig, ctx, _ := agreeing(t, Agreement{})
	v, kind := rig.change(t, 5, 1, "plan.basico.limit", "2000")
	if v != 2 || kind != "" {
		t.Fatalf("version %d, %q", v, kind)
	}
	rig.all(t, ctx, at(2))
	if _, kind := rig.change(t, 1, 1, "plan.basico.limit", "3000"); kind != "expected" {
		t.Errorf("a second change of version 1: %q", kind)
	}
	text, err := rig.Agree(3, `propose {"expected":2,"author":"operator","reason":"test","changes":[{"key":"class.lesson-read.repeat","value":"no"},{"key":"plan.basico.limit","value":"1"},{"key":"plan.gold.limit","value":"9"}]}`)
	if err != nil || !strings.Contains(text, "invalid") || !strings.Contains(text, "plan.basico.limit") || !strings.Contains(text, "plan.gold.limit: unknown key") {
		t.Errorf("%s, %v", text, err)
	}
	rig.served(t, 10, false)
	if text, err := rig.Agree(4, "rollback 1 operator again"); err != nil || !strings.Contains(text, `"version":3`) {
		t.Errorf("%s, %v", text, err)
	}
	rig.all(t, ctx, at(3))
	command := exec.Command(program, "agree", "propose", "--author", "operator", "--reason", "late", "--expected", "1", "plan.basico.limit=1500")
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+rig.brokers[2].config)
	if text, err := command.CombinedOutput(); command.ProcessState.ExitCode() != 3 || !strings.Contains(string(text), "another version is in force") {
		t.Errorf("%q, %v", text, err)
	}
	command = exec.Command(program, "agree", "history")
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+rig.brokers[2].config)
	if text, err := command.CombinedOutput(); err != nil || !strings.Contains(string(text), "operator") {
		t.Errorf("%q, %v", text, err)
	}
	if text, err := rig.Agree(6, "diff 1"); err != nil || text != "null" {
		t.Errorf("%s, %v", text, err)
	}
	if text, err := rig.Agree(0, "history 2"); err != nil || strings.Count(text, `"author":"operator"`) != 2 {
		t.Errorf("%s, %v", text, err)
	}
}

// The leader is killed while a change is under way, held up by a follower that is stopped: the change comes into force, once.
func TestLeaderKilledInAChange(t *testing.T) {
	rig, ctx, leader := agreeing(t, Agreement{})
	if err := rig.Signal(6, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	rig.brokers[6].setDown(true)
	asked := make(chan string, 1)
	go func() {
		_, kind := rig.change(t, 3, 1, "class.lesson-read.repeat", "no")
		asked <- kind
	}()
	preparing := func(s agreement.Status) bool { return s.PendingVersion == 2 || s.Version == 2 }
	if _, err := rig.AgreeUntil(ctx, 4, preparing); err != nil {
		t.Fatal(err)
	}
	if err := rig.Kill(ctx, leader); err != nil {
		t.Fatal(err)
	}
	rig.all(t, ctx, at(2), 6)
	if err := rig.Signal(6, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	rig.brokers[6].setDown(false)
	rig.all(t, ctx, at(2))
	if kind := <-asked; kind != "" && kind != "unknown" {
		t.Errorf("its proposer was told %q", kind)
	}
	rig.served(t, 5, false)
}

// The leader is stopped, another leads meanwhile, and it wakes: it neither grants nor acts by what it knew.
func TestLeaderStoppedAndWoken(t *testing.T) {
	rig, ctx, leader := agreeing(t, Agreement{})
	if err := rig.Signal(leader, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	rig.brokers[leader].setDown(true)
	via := (leader + 1) % 3
	v, kind := rig.change(t, via, 1, "class.lesson-read.repeat", "no")
	for ; kind == "none" || kind == "unknown"; v, kind = rig.change(t, via, 1, "class.lesson-read.repeat", "no") {
		if ctx.Err() != nil {
			t.Fatal("nobody leads without it")
		}
	}
	if v != 2 && kind != "expected" { // an earlier one may have come into force, though nobody said so
		t.Fatalf("version %d, %q", v, kind)
	}
	rig.all(t, ctx, at(2), leader)
	if err := rig.Signal(leader, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	rig.brokers[leader].setDown(false)
	rig.all(t, ctx, at(2))
}

// A follower is cut off during a change: it is restricted in time, serves on, and catches up. So do links that carry one way only.
func TestFollowerCutOff(t *testing.T) {
	rig, ctx, _ := agreeing(t, Agreement{})
	for i, mend := range []func(){rig.Part(true, true, 5), rig.Part(true, false, 5), rig.Part(false, true, 5)} {
		if i > 0 { // all three hold to begin with: the last to go is one way only
			mend()
			continue
		}
		v, kind := rig.change(t, 3, 1, "plan.basico.limit", "1500")
		if v != 2 || kind != "" {
			t.Fatalf("version %d, %q", v, kind)
		}
		s, err := rig.AgreeUntil(ctx, 5, func(s agreement.Status) bool { return s.Restricted })
		if err != nil || s.Version != 1 {
			t.Fatalf("%+v, %v", s, err)
		}
		rig.served(t, 10, false)
		rig.served(t, 5, true)
		mend()
	}
	rig.all(t, ctx, at(2))
}

// A majority is lost: changes stop, service goes on, restricted; once it is back, so are changes.
func TestMajorityLost(t *testing.T) {
	rig, ctx, leader := agreeing(t, Agreement{})
	mends := []func(){rig.Part(true, true, (leader+1)%3), rig.Part(true, true, (leader+2)%3)}
	rig.all(t, ctx, func(s agreement.Status) bool { return s.Restricted })
	rig.served(t, 10, false)
	rig.served(t, 10, true)
	for _, mend := range mends {
		mend()
	}
	rig.all(t, ctx, at(1))
	var kind string
	for v := uint64(0); v != 2; v, kind = rig.change(t, 4, 1, "plan.basico.limit", "1500") {
		if ctx.Err() != nil {
			t.Fatalf("no change: %q", kind)
		}
	}
	rig.all(t, ctx, at(2))
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
			rig, ctx, _ := agreeing(t, Agreement{Disk: c.disk})
			before, err := rig.AgreeUntil(ctx, 0, at(1))
			if err != nil {
				t.Fatal(err)
			}
			for v := uint64(1); v < 3; v++ {
				if got, kind := rig.change(t, 6, v, "plan.basico.limit", fmt.Sprint(1000+v)); got != v+1 {
					t.Fatalf("version %d, %q", got, kind)
				}
			}
			rig.all(t, ctx, at(3))
			if err := rig.Kill(ctx, c.some...); err != nil {
				t.Fatal(err)
			}
			rig.all(t, ctx, func(s agreement.Status) bool {
				return !s.Restricted && s.Version == c.want && (s.Epoch == before.Epoch) == c.disk
			})
			rig.served(t, 5, false)
			if got, kind := rig.change(t, 6, c.want, "plan.basico.limit", "1500"); got != c.want+1 {
				t.Errorf("version %d, %q", got, kind)
			}
			rig.all(t, ctx, at(c.want+1))
		})
	}
}

// A voter without a disk is restarted: it is taken in as another, and the two others may then be lost one by one.
func TestVotersReplacedOneByOne(t *testing.T) {
	rig, ctx, _ := agreeing(t, Agreement{})
	for v := range 3 {
		if err := rig.Kill(ctx, v); err != nil {
			t.Fatal(err)
		}
		if _, err := rig.AgreeUntil(ctx, v, func(s agreement.Status) bool { return s.Leader != "" && s.Version == uint64(v)+1 && !s.Restricted }); err != nil {
			t.Fatal(err)
		}
		var kind string
		for got := uint64(0); got != uint64(v)+2 && kind != "expected"; got, kind = rig.change(t, 5, uint64(v)+1, "plan.basico.limit", fmt.Sprint(1000+v)) {
			if ctx.Err() != nil {
				t.Fatalf("no change: %q", kind)
			}
		}
		rig.all(t, ctx, at(uint64(v)+2))
	}
	if n := len(rig.Lines("formed")); n != 3 {
		t.Errorf("%d voters formed, 3 did at the start", n)
	}
}

// Discovery tells one broker that a node drains: all stop to send there, though discovery tells them that it serves; and it is taken
// back when discovery does.
func TestDrainToldToOne(t *testing.T) {
	rig, ctx, _ := agreeing(t, Agreement{})
	if err := rig.Strike(ctx, Event{What: "contradict", Brokers: []int{4}, Nodes: []int{1}}); err != nil {
		t.Fatal(err)
	}
	rig.all(t, ctx, at(2))
	rig.served(t, 1, false) // what was under way
	rig.Counts()
	rig.served(t, 20, false)
	if c := rig.Counts(); c[1] > 0 {
		t.Errorf("%d went to it: %v", c[1], c)
	}
	rig.registry.view(4, view{})
	rig.all(t, ctx, at(3))
	rig.served(t, 20, false)
	if c := rig.Counts(); c[1] == 0 {
		t.Errorf("it is not used again: %v", c)
	}
}

// The checker finds a broker that acts on the old version once another acts on the new one, and excuses one that was stopped, or
// restricted, or prepared.
func TestCheckerFindsContradictions(t *testing.T) {
	ms := time.Millisecond
	acts := func(who string, at time.Duration, version, preparing, restricted string, before time.Duration) Line {
		return Line{At: at, Process: who, Text: "acts", Keys: map[string]string{"epoch": "7", "version": version, "preparing": preparing, "restricted": restricted,
			"before_us": fmt.Sprint(before.Microseconds())}}
	}
	common := []Line{acts("a", 0, "1", "0", "false", 0), acts("b", 0, "1", "0", "false", 0), acts("a", 100*ms, "2", "0", "false", ms)}
	for _, c := range []struct {
		name string
		more []Line
		want time.Duration
	}{
		{"it goes on", []Line{acts("b", 600*ms, "2", "0", "false", 10*ms)}, 490 * ms},
		{"it was stopped", []Line{acts("b", 600*ms, "0", "0", "true", 550*ms)}, 0},
		{"it was restricted", []Line{acts("b", 60*ms, "1", "0", "true", ms), acts("b", 600*ms, "2", "0", "false", ms)}, 0},
		{"it had prepared", []Line{acts("b", 60*ms, "1", "2", "false", ms), acts("b", 600*ms, "2", "0", "false", ms)}, 0},
		{"it was killed late", []Line{{At: 300 * ms, Process: "b", Text: "killed"}}, 200 * ms},
	} {
		r := &Rig{journal: &journal{stories: map[string]*story{}, began: Now() - time.Second, lines: append(append([]Line{}, common...), c.more...)}}
		if got := r.Contradictions(); got.LongestUS != c.want.Microseconds() || (c.want > 0) != (got.Story != "") {
			t.Errorf("%s: %+v, want %v", c.name, got, c.want)
		}
	}
}

// A hundred changes a second are offered while requests are asked for: each is taken or refused, those that were taken make one history, and
// no request is lost by it.
func TestManyChanges(t *testing.T) {
	rig, ctx, _ := agreeing(t, Agreement{})
	ends := make(chan map[string]int, 4)
	for from := range 4 {
		go func() {
			count := map[string]int{}
			for i := range 25 {
				s, err := rig.AgreeUntil(ctx, from, func(agreement.Status) bool { return true })
				if err != nil {
					break
				}
				_, kind := rig.change(t, 3+from, s.Version, "plan.basico.limit", fmt.Sprint(1000+100*from+i))
				count[kind]++
			}
			ends <- count
		}()
	}
	rig.served(t, 30, false)
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
	rig.all(t, ctx, at(uint64(1+taken)))
	var history []struct{ Version uint64 }
	text, err := rig.Agree(1, "history 1000")
	if err != nil || json.Unmarshal([]byte(text), &history) != nil || len(history) != 1+taken {
		t.Errorf("%d versions, %d taken: %v", len(history), taken, err)
	}
}

// Settings files that say other things are read again at brokers in turn: each becomes a version, one class vanishes from them, and requests
// that were taken under the old version end.
func TestSettingsFileBecomesProposal(t *testing.T) {
	rig, ctx, _ := agreeing(t, Agreement{})
	done := make(chan map[string]int, 1)
	go func() { done <- rig.Do(100, false) }()
	text, err := os.ReadFile(rig.brokers[5].config)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), `"ceilingRate":5000`, `"ceilingRate":4000`, 1)
	if changed == string(text) {
		t.Fatal("nothing to change")
	}
	if err := os.WriteFile(rig.brokers[5].config, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := rig.Signal(5, syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	rig.all(t, ctx, at(2))
	if text, err := rig.Agree(2, "diff 1"); err != nil || text != `[{"key":"plan.basico.limit","then":"5000","now":"4000"}]` {
		t.Errorf("%s, %v", text, err)
	}
	if v := <-done; v["served"] != 700 {
		t.Errorf("%v", v)
	}
	if v, kind := rig.change(t, 0, 2, "class.record-write.repeat", ""); v != 3 { // a class vanishes from the document
		t.Errorf("version %d, %q", v, kind)
	}
	rig.all(t, ctx, at(3))
	rig.served(t, 10, true)
	rig.served(t, 10, false)
}

// Control by machines set aside: brokers feed nobody, the voters take no clients. The leader dies in the middle of a change: it is in force at
// all or at none, and the next one is in force at all. Requests go on all the while.
func TestControlDiesInAChange(t *testing.T) {
	rig, ctx, leader := agreeing(t, Agreement{Control: true})
	for b := 3; b < len(rig.brokers); b++ {
		s, err := rig.agreeStatus(b)
		if err != nil || s.Role != "follower" || len(s.Children) > 0 || len(s.Path) != 1 {
			t.Errorf("broker-%d: %+v, %v", b, s, err)
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rig.change(t, 4, 1, "plan.basico.limit", "2000")
	}()
	if _, err := rig.AgreeUntil(ctx, 4, func(s agreement.Status) bool { return s.PendingVersion == 2 || s.Version >= 2 }); err != nil {
		t.Fatal(err)
	}
	rig.end(rig.brokers[leader], syscall.SIGKILL)
	rig.served(t, 10, false)
	<-ended
	left := slices.DeleteFunc([]int{0, 1, 2}, func(b int) bool { return b == leader })
	s, err := rig.AgreeUntil(ctx, left[0], func(s agreement.Status) bool { return !s.Restricted && s.PendingVersion == 0 })
	if err != nil {
		t.Fatal(err)
	}
	for version := uint64(0); version == 0; {
		if ctx.Err() != nil {
			t.Fatal("no change was taken")
		}
		if s, err = rig.agreeStatus(5); err != nil {
			t.Fatal(err)
		}
		if version, _ = rig.change(t, 5, s.Version, "plan.basico.limit", "3000"); version > 0 {
			rig.all(t, ctx, at(version), leader)
		}
	}
	rig.served(t, 10, false)
}

// All machines of control are gone: brokers serve on, restricted, and say so. When they are back, with nothing kept, the brokers have what was
// in force again, and a change is in force at all.
func TestControlIsGone(t *testing.T) {
	rig, ctx, _ := agreeing(t, Agreement{Control: true})
	v, kind := rig.change(t, 3, 1, "plan.basico.limit", "2000")
	if v != 2 {
		t.Fatalf("%d, %q", v, kind)
	}
	rig.all(t, ctx, at(2))
	for b := range 3 {
		rig.end(rig.brokers[b], syscall.SIGKILL)
	}
	rig.all(t, ctx, func(s agreement.Status) bool { return s.Restricted }, 0, 1, 2)
	rig.served(t, 20, false)
	if v, _ := rig.change(t, 3, 2, "plan.basico.limit", "3000"); v > 0 {
		t.Error("a change was taken by nobody")
	}
	for b := range 3 {
		if err := rig.launch(rig.brokers[b], rig.registry.known()); err != nil {
			t.Fatal(err)
		}
	}
	for b := range 3 {
		if err := rig.ready(ctx, rig.brokers[b]); err != nil {
			t.Fatal(err)
		}
		rig.brokers[b].setDown(false)
	}
	rig.all(t, ctx, at(2))
	if text, err := rig.Agree(4, "export"); err != nil || !strings.Contains(text, "2000") {
		t.Errorf("%s, %v", text, err)
	}
	s, err := rig.agreeStatus(4)
	if err != nil {
		t.Fatal(err)
	}
	if v, kind := rig.change(t, 4, s.Version, "plan.basico.limit", "3000"); v <= s.Version {
		t.Errorf("version %d, %q", v, kind)
	} else {
		rig.all(t, ctx, at(v))
	}
	rig.served(t, 10, false)
}
