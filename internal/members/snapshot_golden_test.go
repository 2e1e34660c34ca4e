package members

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// goldenSnapshot holds one node with every field set and one without any. It was written by the program before the names of the
// snapshot were given by tags, so that files of earlier releases stay readable.
const goldenSnapshot = "testdata/nodes.snapshot"

// A broker is upgraded and starts from the snapshot that its predecessor wrote. If a field were read or written under another
// name, the list would come back without it, and nodes would be taken for ready, unweighted or of shard 0.
func TestGoldenSnapshotIsReadAndWrittenBack(t *testing.T) {
	body, err := readSnapshot(goldenSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	var nodes []savedNode
	if err := json.Unmarshal(body, &nodes); err != nil {
		t.Fatal(err)
	}
	if len(nodes) != 2 || nodes[0] == (savedNode{}) || nodes[1] != (savedNode{}) {
		t.Fatalf("%+v", nodes)
	}
	again, err := json.Marshal(nodes)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "nodes.snapshot")
	if err := writeSnapshot(path, again); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(goldenSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("the snapshot is written as\n%s\nwant\n%s", got, want)
	}
}

// The console's answer and the series of a source are read by people and dashboards: their names stay.
func TestConsoleNames(t *testing.T) {
	m := New(broker.NewClock(), func(broker.Event) {}, logging.ToFunc(func(line string) { t.Log(line) }))
	t.Cleanup(m.Close)
	if text := string(m.Table()); text != "discovery alone is followed\n" {
		t.Errorf("without settings: %q", text)
	}
	if err := m.ApplySettings(config.Membership{Sources: []config.EndpointSource{{Name: "list", Kind: "discovery"}}}); err != nil {
		t.Fatal(err)
	}
	m.HandleDiscovery(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{{Endpoint: scheduler.Endpoint{Name: "n1", Zone: "z"}, Address: "192.0.2.1:1"}}})
	lines := strings.Split(string(m.Table()), "\n")
	for i, want := range map[int]string{
		0: "node address shard zone state priority part up s held by why",
		1: "n1 192.0.2.1:1 0 z ready 0 0 long list list",
		3: "source holds suspect last answer answers failures not believed last fault",
	} {
		if got := strings.Join(strings.Fields(lines[i]), " "); got != want {
			t.Errorf("line %d: %q, want %q", i, got, want)
		}
	}
	var names []string
	for _, f := range m.Metrics() {
		names = append(names, f.Name)
	}
	want := "source.list.held source.list.suspect source.list.answers source.list.failures source.list.refused source.list.age_s"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("figures %s, want %s", got, want)
	}
}
