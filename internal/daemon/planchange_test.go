package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A volume that had been served under a plan without a limit was held to no limit under its next plan. Over sockets: the
// requests under a plan without a limit are all answered, and those that follow under a limited one must keep to its
// limit at the node, also if the volume has changed its plan to and fro.
func TestVolumeMovesToLimitedPlan(t *testing.T) {
	const (
		rate, burst = 2.0, 6.0
		free        = 20 // requests before each change
		limited     = 60 // requests behind each change
		changes     = 3
	)
	t.Setenv("TMPDIR", t.TempDir())
	plans := fmt.Sprintf(`"serviceLevels":[{"name":"limited","nominal":100,"ceilingRate":%v,"capDepth":%v},`, rate, burst)
	settings := strings.Replace(quickSettings, `"serviceLevels":[`, plans, 1)
	node := startNode(t, func(id string) string { return id })
	discovery := startDiscovery(t, readyHost("a", node))
	address := unusedAddress(t)
	broker := startSimpleBroker(newConfig(t, address, discovery.Address(), settings))
	client := dialClient(t, address)
	start := time.Now()
	served := 0
	for change := range changes {
		for i := range free {
			id := fmt.Sprintf("free-%d-%d", change, i)
			if got := client.ask(t, testRequest{id: id, wait: 300}); got != id {
				t.Fatalf("under the plan without a limit: %q", got)
			}
		}
		for i := range limited {
			id := fmt.Sprintf("limited-%d-%d", change, i)
			client.write(t, testRequest{id: id, plan: "limited", wait: 300}.encode())
		}
		for range limited {
			first, _, err := client.answer()
			if err != nil {
				t.Fatal(err)
			}
			if first[0] == '$' {
				served++
			}
		}
	}
	allowed := burst + rate*time.Since(start).Seconds()
	if float64(served) > allowed {
		t.Errorf("%d requests were served under the limit, want %.1f at most", served, allowed)
	}
	broker.stop()
	broker.waitEnd(t)
}
