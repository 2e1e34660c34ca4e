package fleetharness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"junctionwharf/internal/agreement"
)

// runCommand runs one of the daemon's commands about the configuration, at a broker.
func runCommand(fleet *Fleet, broker int, arguments ...string) (output string, exitCode int, err error) {
	command := exec.Command(daemonProgram, append([]string{"agree"}, arguments...)...)
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+fleet.brokers[broker].configPath)
	text, err := command.CombinedOutput()
	return string(text), command.ProcessState.ExitCode(), err
}

// A change reaches all; a second one with the same expected version, and one with faults, are rejected as a whole; a
// rollback brings the values of the first version again. Meanwhile requests are served.
func TestChangesAndRollback(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{})
	fleet.expectProposed(t, 5, 1, limitKey, "2000")
	fleet.awaitAll(t, ctx, versionAtLeast(2))
	if _, kind := fleet.propose(t, 1, 1, limitKey, "3000"); kind != kindExpected {
		t.Errorf("a second change of version 1: %q", kind)
	}
	text, err := fleet.AgreementCall(3, `propose {"expected":2,"author":"operator","reason":"test","changes":[`+
		`{"key":"class.lesson-read.repeat","value":"no"},`+
		`{"key":"plan.basico.limit","value":"1"},`+
		`{"key":"plan.gold.limit","value":"9"}]}`)
	if err != nil {
		t.Error(err)
	}
	for _, want := range []string{kindInvalid, limitKey, "plan.gold.limit: unknown key"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in %s", want, text)
		}
	}
	fleet.expectServed(t, 10, false)
	text, err = fleet.AgreementCall(4, "rollback 1 operator again")
	if err != nil || !strings.Contains(text, `"version":3`) {
		t.Errorf("%s, %v", text, err)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(3))
	expectHistory(t, fleet)
}

// expectHistory wants the commands and calls about history to tell of a rollback to version 1 as version 3.
func expectHistory(t *testing.T, fleet *Fleet) {
	t.Helper()
	output, exitCode, err := runCommand(fleet, 2, "propose", "--author", "operator", "--reason", "late",
		"--expected", "1",
		"plan.basico.limit=1500")
	if exitCode != 3 || !strings.Contains(output, "proposal is not based on the active version") {
		t.Errorf("%q, %v", output, err)
	}
	output, _, err = runCommand(fleet, 2, "history")
	if err != nil || !strings.Contains(output, "operator") {
		t.Errorf("%q, %v", output, err)
	}
	if text, err := fleet.AgreementCall(6, "diff 1"); err != nil || text != "null" {
		t.Errorf("%s, %v", text, err)
	}
	text, err := fleet.AgreementCall(0, "history 2")
	if err != nil || strings.Count(text, `"author":"operator"`) != 2 {
		t.Errorf("%s, %v", text, err)
	}
}

// A hundred changes are offered while requests are asked for: each is accepted or rejected, those that were accepted
// make one history, and no request is lost by it.
func TestManyChanges(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{})
	proposers := make(chan map[string]int, 4)
	for i := range cap(proposers) {
		go func() { proposers <- fleet.proposeMany(t, ctx, i, 25) }()
	}
	fleet.expectServed(t, 30, false)
	accepted, rejected := 0, 0
	for range cap(proposers) {
		kinds := <-proposers
		accepted += kinds[""]
		rejected += kinds[kindExpected]
		if kinds[kindInvalid]+kinds[kindUnknown]+kinds[kindNoLeader] > 0 {
			t.Errorf("%v", kinds)
		}
	}
	if accepted < 5 || accepted+rejected != 100 {
		t.Errorf("%d accepted, %d rejected", accepted, rejected)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(uint64(1+accepted)))
	var history []struct{ Version uint64 }
	text, err := fleet.AgreementCall(1, "history 1000")
	if err != nil || json.Unmarshal([]byte(text), &history) != nil || len(history) != 1+accepted {
		t.Errorf("%d versions, %d accepted: %v", len(history), accepted, err)
	}
}

// proposeMany proposes changes one after another, and counts them by the kind of their error. The versions that they
// expect are read at one broker, and proposed at another.
func (f *Fleet) proposeMany(t *testing.T, ctx context.Context, proposer, count int) map[string]int {
	kinds := map[string]int{}
	for i := range count {
		status, err := f.AwaitStatus(ctx, proposer, func(agreement.Status) bool { return true })
		if err != nil {
			break
		}
		value := fmt.Sprint(1000 + 100*proposer + i)
		_, kind := f.propose(t, 3+proposer, status.Version, limitKey, value)
		kinds[kind]++
	}
	return kinds
}

// A settings file that says other things is read again at one broker and becomes a version; then a class vanishes from
// the document, and requests that were accepted under the old version end.
func TestSettingsFileBecomesProposal(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{})
	done := make(chan map[Outcome]int, 1)
	go func() { done <- fleet.SendRequests(100, false) }()
	path := fleet.brokers[5].configPath
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), `"ceilingRate":5000`, `"ceilingRate":4000`, 1)
	if changed == string(text) {
		t.Fatal("nothing to change")
	}
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := fleet.Signal(5, syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(2))
	diff, err := fleet.AgreementCall(2, "diff 1")
	if err != nil || diff != `[{"key":"plan.basico.limit","then":"5000","now":"4000"}]` {
		t.Errorf("%s, %v", diff, err)
	}
	if outcomes := <-done; outcomes[OutcomeServed] != 700 {
		t.Errorf("%v", outcomes)
	}
	if version, kind := fleet.propose(t, 0, 2, "class.record-write.repeat", ""); version != 3 {
		t.Errorf("version %d, %q", version, kind)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(3))
	fleet.expectServed(t, 10, true)
	fleet.expectServed(t, 10, false)
}

// Discovery notifies one broker that a node drains: all stop to send there, though it lists the node as
// serving to them. It is taken back when discovery does.
func TestDrainReportedToOneBroker(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{})
	fleet.inject(t, ctx, Event{Kind: ViewContradicts, Brokers: []int{4}, Nodes: []int{1}})
	fleet.awaitAll(t, ctx, versionAtLeast(2))
	fleet.expectServed(t, 1, false) // what was under way
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 20, false)
	if counts := fleet.TakeAttemptCounts(); counts[1] > 0 {
		t.Errorf("%d went to it: %v", counts[1], counts)
	}
	fleet.discovery.setView(4, discoveryView{})
	fleet.awaitAll(t, ctx, versionAtLeast(3))
	fleet.expectServed(t, 20, false)
	if counts := fleet.TakeAttemptCounts(); counts[1] == 0 {
		t.Errorf("it is not used again: %v", counts)
	}
}
