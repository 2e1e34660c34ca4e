package fleetharness

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"junctionwharf/internal/agreement"
)

// Hollow brokers and full brokers replicate the configuration together. A change that a hollow broker proposes becomes
// active at all brokers, also after a process of hollow brokers was killed. Costs are counted by role.
func TestHollowBrokers(t *testing.T) {
	program := filepath.Join(filepath.Dir(daemonProgram), hollowProgram)
	build := exec.Command("go", "build", "-o", program, "junctionwharf/cmd/brokerbench")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build brokerbench: %v: %s", err, text)
	}
	fleet, ctx := startFleet(t, Scenario{
		Brokers:   3,
		Peers:     true,
		Node:      NodeSpec{Count: 2},
		Agreement: Agreement{Voters: 3, BoundMS: 1000},
		Hollow:    Hollow{Brokers: 6, PerProcess: 3, Rate: 50, Volumes: 3},
	})
	before := fleet.readMeters()
	expectChange(t, ctx, fleet, 8, "no", 0, 1, 2, 3, 4, 5, 6, 7, 8)
	fleet.expectServed(t, 10, false)
	fleet.KillHollowProcess(0)
	expectChange(t, ctx, fleet, 7, "yes", 0, 1, 2, 6, 7, 8)
	costs := fleet.costs(before, fleet.readMeters())
	roles := map[string]int{}
	for _, c := range costs {
		roles[c.Role]++
		if c.Hollow != (c.Broker >= 3) || c.Sent <= 0 || c.Received <= 0 || c.MemoryMB <= 0 {
			t.Errorf("cost of a broker: %+v", c)
		}
	}
	if roles["leader"] != 1 || roles["voter"] != 2 || roles[roleLeaf]+roles[roleParent] != 3 {
		t.Errorf("brokers by role: %v", roles)
	}
	if c := fleet.LongestConflict(); c.LongestUS > 0 || c.Versions < 2 {
		t.Errorf("longest conflict: %+v", c)
	}
}

// expectChange proposes a change at one broker and waits until the change is active at the brokers in at.
func expectChange(t *testing.T, ctx context.Context, fleet *Fleet, broker int, value string, at ...int) {
	t.Helper()
	before, err := fleet.agreementStatus(broker)
	if err != nil {
		t.Fatal(err)
	}
	text, err := fleet.proposeChange(broker, before.Version, "operator", "test", repeatKey, value)
	if err != nil || strings.Contains(text, "error") {
		t.Fatalf("proposal at broker %d: %s, %v", broker, text, err)
	}
	isActive := func(now agreement.Status) bool { return now.Version > before.Version && !now.Restricted }
	for _, b := range at {
		if _, err := fleet.AwaitStatus(ctx, b, isActive); err != nil {
			t.Fatal(err)
		}
	}
}
