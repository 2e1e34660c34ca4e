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

// startTimeout bounds the whole run of a test on a machine that also does other work.
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

// startFleet starts a fleet and checks for violations at the end of the test.
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
			t.Errorf("violation at %s: %s: %s", v.At, v.Rule, v.Trace)
		}
	})
	return fleet, ctx
}

// expectServed sends requests to the given brokers, or to all that serve clients, and expects all to be served.
func (f *Fleet) expectServed(t *testing.T, requests int, write bool, brokers ...int) {
	t.Helper()
	if len(brokers) == 0 {
		brokers = f.servingBrokers()
	}
	want := requests * len(brokers)
	if outcomes := f.SendRequests(requests, write, brokers...); outcomes[OutcomeServed] != want {
		t.Errorf("outcomes of %d requests: %v", want, outcomes)
	}
}

// inject applies an event now.
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

// expectBalanced expects each node to have between a fifth of and twice the mean count. Round-robin alone would keep
// each count within one per broker of the mean, but a busy machine sometimes makes a node seem slow, which lowers its
// count.
func expectBalanced(t *testing.T, counts []int) {
	t.Helper()
	sum := 0
	for _, count := range counts {
		sum += count
	}
	mean := float64(sum) / float64(len(counts))
	for i, count := range counts {
		if float64(count) < mean/5 || float64(count) > 2*mean {
			t.Errorf("node %d has count %d, the mean is %.1f: %v", i, count, mean, counts)
			return
		}
	}
}

// awaitAll waits until wanted returns true for the status of each broker that is not in except.
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

// versionAtLeast returns a condition that a broker has a lease and at least the given version.
func versionAtLeast(version uint64) func(agreement.Status) bool {
	return func(s agreement.Status) bool { return s.Version >= version && !s.Restricted }
}
