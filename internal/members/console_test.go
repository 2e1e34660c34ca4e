package members

import (
	"strings"
	"testing"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/scheduler"
)

// Operators' scripts and dashboards use the texts of the console's answer and the names of metrics. These must stay as
// they are.
func TestConsoleAndMetricNamesStay(t *testing.T) {
	c := newCore(t)
	if text := string(c.members.Table()); text != "discovery alone is followed\n" {
		t.Errorf("table without settings: %q, want that discovery alone is followed", text)
	}
	c.apply(config.Membership{Sources: []config.EndpointSource{{Name: "list", Kind: config.SourceDiscovery}}})
	c.members.HandleDiscovery(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{
		{Endpoint: scheduler.Endpoint{Name: "n1", Zone: "z"}, Address: "192.0.2.1:1"},
	}})
	lines := strings.Split(string(c.members.Table()), "\n")
	for i, want := range map[int]string{
		0: "node address shard zone state priority part up s held by why",
		1: "n1 192.0.2.1:1 0 z ready 0 0 long list list",
		3: "source holds suspect last answer answers failures not believed last fault",
	} {
		if got := strings.Join(strings.Fields(lines[i]), " "); got != want {
			t.Errorf("line %d of the table: %q, want %q", i, got, want)
		}
	}
	var names []string
	for _, m := range c.members.Metrics() {
		names = append(names, m.Name)
	}
	want := "source.list.held source.list.suspect source.list.answers source.list.failures source.list.refused" +
		" source.list.age_s"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("metrics %s, want %s", got, want)
	}
}
