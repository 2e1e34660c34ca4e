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

// runCommand runs an agree command of the daemon with a broker's configuration.
func runCommand(fleet *Fleet, broker int, arguments ...string) (output string, exitCode int, err error) {
	command := exec.Command(daemonProgram, append([]string{"agree"}, arguments...)...)
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+fleet.brokers[broker].configPath)
	text, err := command.CombinedOutput()
	return string(text), command.ProcessState.ExitCode(), err
}

// A change reaches all brokers. A second change with the same expected version is rejected. A proposal with several
// faults is rejected as a whole. A rollback restores the values of the first version. Requests are served meanwhile.
func TestChangesAndRollback(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{})
	fleet.expectProposed(t, 5, 1, limitKey, "2000")
	fleet.awaitAll(t, ctx, versionAtLeast(2))
	if _, kind := fleet.propose(t, 1, 1, limitKey, "3000"); kind != kindExpected {
		t.Errorf("second proposal that expects version 1: error kind %q", kind)
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
			t.Errorf("%q is not in the answer %s", want, text)
		}
	}
	fleet.expectServed(t, 10, false)
	text, err = fleet.AgreementCall(4, "rollback 1 operator again")
	if err != nil || !strings.Contains(text, `"version":3`) {
		t.Errorf("rollback to version 1: %s, %v", text, err)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(3))
	expectHistory(t, fleet)
}

// expectHistory expects commands and calls to report that the rollback to version 1 became version 3.
func expectHistory(t *testing.T, fleet *Fleet) {
	t.Helper()
	output, exitCode, err := runCommand(fleet, 2, "propose", "--author", "operator", "--reason", "late",
		"--expected", "1",
		"plan.basico.limit=1500")
	if exitCode != 3 || !strings.Contains(output, "proposal is not based on the active version") {
		t.Errorf("propose with an outdated version: %q, %v", output, err)
	}
	output, _, err = runCommand(fleet, 2, "history")
	if err != nil || !strings.Contains(output, "operator") {
		t.Errorf("history command: %q, %v", output, err)
	}
	if text, err := fleet.AgreementCall(6, "diff 1"); err != nil || text != "null" {
		t.Errorf("diff with version 1: %s, %v", text, err)
	}
	text, err := fleet.AgreementCall(0, "history 2")
	if err != nil || strings.Count(text, `"author":"operator"`) != 2 {
		t.Errorf("history of 2 versions: %s, %v", text, err)
	}
}

// A hundred changes are proposed while requests are sent. Each change is accepted or rejected, the accepted changes
// form one history, and no request is lost.
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
			t.Errorf("proposals by error kind: %v", kinds)
		}
	}
	if accepted < 5 || accepted+rejected != 100 {
		t.Errorf("%d proposals accepted, %d rejected", accepted, rejected)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(uint64(1+accepted)))
	var history []struct{ Version uint64 }
	text, err := fleet.AgreementCall(1, "history 1000")
	if err != nil || json.Unmarshal([]byte(text), &history) != nil || len(history) != 1+accepted {
		t.Errorf("%d versions in the history, %d proposals accepted: %v", len(history), accepted, err)
	}
}

// proposeMany makes proposals one after another and counts them by the kind of their error. It reads the expected
// version from one broker and proposes the change at another.
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

// A broker reloads a changed settings file, and the change becomes a version. A key of a class is then removed from the
// document, and requests of both classes are still served.
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
		t.Fatal("the configuration file does not contain the limit to change")
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
		t.Errorf("diff with version 1: %s, %v", diff, err)
	}
	if outcomes := <-done; outcomes[OutcomeServed] != 700 {
		t.Errorf("outcomes of 700 requests: %v", outcomes)
	}
	if version, kind := fleet.propose(t, 0, 2, "class.record-write.repeat", ""); version != 3 {
		t.Errorf("proposal to remove a key: version %d, error kind %q", version, kind)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(3))
	fleet.expectServed(t, 10, true)
	fleet.expectServed(t, 10, false)
}

// Discovery lists a node as draining to only one broker. All brokers stop sending to the node, although discovery lists
// it as serving to the others. They use the node again when discovery no longer lists it as draining.
func TestDrainReportedToOneBroker(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{})
	fleet.inject(t, ctx, Event{Kind: ViewContradicts, Brokers: []int{4}, Nodes: []int{1}})
	fleet.awaitAll(t, ctx, versionAtLeast(2))
	fleet.expectServed(t, 1, false) // completes requests that were pending
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 20, false)
	if counts := fleet.TakeAttemptCounts(); counts[1] > 0 {
		t.Errorf("%d attempts at the draining node: %v", counts[1], counts)
	}
	fleet.discovery.setView(4, discoveryView{})
	fleet.awaitAll(t, ctx, versionAtLeast(3))
	fleet.expectServed(t, 20, false)
	if counts := fleet.TakeAttemptCounts(); counts[1] == 0 {
		t.Errorf("the node is not used after the drain: %v", counts)
	}
}
