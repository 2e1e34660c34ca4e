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

// goldenSnapshot contains one node with all fields set and one with none set. It was written before the fields had
// tags, like the files of earlier releases, which must stay readable.
const goldenSnapshot = "testdata/nodes.snapshot"

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A broker is upgraded and starts from the snapshot of its predecessor. The recorded file must be read and written back
// byte for byte. If a field had another name, its value would be lost: nodes would appear to be ready, without a weight
// or in shard 0.
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
		t.Fatalf("read nodes %+v, want one with all fields and one without any", nodes)
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
		t.Errorf("snapshot written as\n%s\nwant\n%s", got, want)
	}
}

// A broker restarts while its name server does not answer. It must start from its earlier list, and replace this list
// when the name server answers.
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
		t.Errorf("the snapshot that Close has written cannot be read: %v", err)
	}
}

// A snapshot was truncated, or damaged on the disk. It must be rejected, because the nodes of an incomplete list would
// be overloaded.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	text := readFile(t, goldenSnapshot)
	path := filepath.Join(t.TempDir(), "nodes")
	for name, damaged := range map[string]string{
		"empty":           "",
		"another kind":    "x",
		"truncated":       text[:len(text)-1],
		"altered":         strings.Replace(text, "192.0.2.7", "192.0.2.8", 1),
		"another version": strings.Replace(text, "nodes 1", "nodes 2", 1),
	} {
		t.Run(name, func(t *testing.T) {
			writeFile(t, path, damaged)
			var damage *SnapshotError
			if _, err := readSnapshot(path); !errors.As(err, &damage) || damage.Path != path {
				t.Errorf("error %v, want a SnapshotError for %s", err, path)
			}
		})
	}
}

// A broker starts for the first time, without a snapshot, or the directory of the snapshot is missing. Both must be
// errors. That of a missing file must be os.ErrNotExist, so that it is not logged.
func TestSnapshotErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	if _, err := readSnapshot(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("reading a missing file: error %v, want %v", err, os.ErrNotExist)
	}
	if err := writeSnapshot(filepath.Join(path, "below", "a", "file"), nil); err == nil {
		t.Error("writing into a missing directory returned no error")
	}
}
