package fleetharness

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"junctionwharf/internal/agreement"
)

// startTimeout bounds a test's whole run, on a machine that does other work beside it.
const startTimeout = time.Minute

// logNodeUnresponsive is the scheduler's message for a node that does not answer while others of its shard do.
const logNodeUnresponsive = "node unresponsive while others of its shard answer"

// daemonProgram is the daemon, built once for all tests.
var daemonProgram string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleetharness-test")
	if err != nil {
		panic(err)
	}
	daemonProgram = filepath.Join(dir, "junctionwharf")
	build := exec.Command("go", "build", "-o", daemonProgram, "junctionwharf/cmd/junctionwharf")
	if text, err := build.CombinedOutput(); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s", text)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startFleet starts a fleet and has its rules checked at the end.
func startFleet(t *testing.T, s Scenario) (*Fleet, context.Context) {
	t.Helper()
	s.Rate = 1
	s.DurationS = 1
	s.Seed = 7
	s.Node.UnitMS = cmp.Or(s.Node.UnitMS, 0.2)
	fleet, err := New(daemonProgram, &s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	t.Cleanup(cancel)
	if err := fleet.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, v := range fleet.Violations() {
			t.Errorf("%s: %s: %s", v.At, v.Rule, v.Trace)
		}
	})
	return fleet, ctx
}

// expectServed has brokers asked, all without a number, and wants each request served.
func (f *Fleet) expectServed(t *testing.T, requests int, write bool, brokers ...int) {
	t.Helper()
	if len(brokers) == 0 {
		brokers = f.servingBrokers()
	}
	want := requests * len(brokers)
	if outcomes := f.SendRequests(requests, write, brokers...); outcomes[OutcomeServed] != want {
		t.Errorf("of %d: %v", want, outcomes)
	}
}

// inject has an event happen.
func (f *Fleet) inject(t *testing.T, ctx context.Context, event Event) {
	t.Helper()
	if err := f.InjectFault(ctx, event); err != nil {
		t.Fatal(err)
	}
}

// awaitLog waits until a broker has logged a message.
func (f *Fleet) awaitLog(t *testing.T, ctx context.Context, broker int, message string) {
	t.Helper()
	if _, err := f.AwaitLog(ctx, brokerName(broker), message, 0); err != nil {
		t.Fatal(err)
	}
}

// expectBalanced wants no node idle and none flooded. Turns alone would give each the mean within one for each broker;
// a busy machine makes a node seem slow now and then, which lowers its part.
func expectBalanced(t *testing.T, counts []int) {
	t.Helper()
	sum := 0
	for _, count := range counts {
		sum += count
	}
	mean := float64(sum) / float64(len(counts))
	for i, count := range counts {
		if float64(count) < mean/5 || float64(count) > 2*mean {
			t.Errorf("node %d got %d, the mean is %.1f: %v", i, count, mean, counts)
			return
		}
	}
}

// awaitAll waits until all brokers but some have a status that is wanted.
func (f *Fleet) awaitAll(t *testing.T, ctx context.Context, wanted func(agreement.Status) bool, except ...int) {
	t.Helper()
	skipped := map[int]bool{}
	for _, b := range except {
		skipped[b] = true
	}
	for b := range f.brokers {
		if skipped[b] {
			continue
		}
		if _, err := f.AwaitStatus(ctx, b, wanted); err != nil {
			t.Fatal(err)
		}
	}
}

// versionAtLeast wants a lease, and a version or a later one.
func versionAtLeast(version uint64) func(agreement.Status) bool {
	return func(s agreement.Status) bool { return s.Version >= version && !s.Restricted }
}
