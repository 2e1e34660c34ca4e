package members

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
)

// goldenSnapshot holds one node with every field set and one without any. It was written by the program before the
// names of the snapshot were given by tags, so that files of earlier releases stay readable.
const goldenSnapshot = "testdata/nodes.snapshot"

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A broker is upgraded and starts from the snapshot that its predecessor wrote. If a field were read or written under
// another name, the list would come back without it, and nodes would be taken for ready, unweighted or of shard 0.
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
	if got, want := readFile(t, path), readFile(t, goldenSnapshot); got != want {
		t.Errorf("the snapshot is written as\n%s\nwant\n%s", got, want)
	}
}

// A broker restarts while its name server is silent. It starts from the list that it held, which the sources' word
// replaces.
func TestSnapshotOutlivesRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	d := newDNS(t)
	d.Set(service, 1, records("a", "b")...)
	settings := config.Membership{Snapshot: path, Sources: []config.EndpointSource{dnsSource(d)}}
	c := newCore(t)
	c.apply(settings)
	c.awaitList("a b")
	c.members.Close()
	d.SetFault(fakes.NoAnswer)
	c = newCore(t)
	c.apply(settings)
	c.awaitList("a b")
	d.Set(service, 1, records("b", "c")...)
	d.SetFault(fakes.NoDNSFault)
	c.awaitList("b c")
	c.members.Close()
	if _, err := readSnapshot(path); err != nil {
		t.Error(err)
	}
}

// A snapshot was cut, or spoilt on the disk. It is not taken: half a list would overload the nodes on it.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	text := readFile(t, goldenSnapshot)
	path := filepath.Join(t.TempDir(), "nodes")
	for name, damaged := range map[string]string{
		"empty":           "",
		"another kind":    "x",
		"cut":             text[:len(text)-1],
		"spoilt":          strings.Replace(text, "192.0.2.7", "192.0.2.8", 1),
		"another version": strings.Replace(text, "nodes 1", "nodes 2", 1),
	} {
		t.Run(name, func(t *testing.T) {
			writeFile(t, path, damaged)
			var damage *SnapshotError
			if _, err := readSnapshot(path); !errors.As(err, &damage) || damage.Path != path {
				t.Errorf("%v", err)
			}
		})
	}
}

// A broker starts for the first time, without a snapshot; or the snapshot's directory is missing. Both are errors, and
// the first can be told from the others.
func TestSnapshotErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	if _, err := readSnapshot(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
	if err := writeSnapshot(filepath.Join(path, "below", "a", "file"), nil); err == nil {
		t.Error("a path that can't be written is no error")
	}
}
