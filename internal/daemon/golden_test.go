package daemon

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/console"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

var record = flag.Bool("record", false, "write the golden files anew")

// checkGolden compares an answer with a golden file.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *record {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("%s:\n%s\nwant:\n%s", name, got, want)
	}
}

// Operators' programs read the console's answers: those of a broker that has just started have the same bytes in each version.
func TestConsoleAnswers(t *testing.T) {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":"127.0.0.1:1","console":%q,"settings":%s}`, free(t), free(t), settingsText)
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	k, err := newControl(c, nowhere{}, nil, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer k.close()
	taking := errors.New("no clients are taken")
	more := func() []broker.Metric {
		return []broker.Metric{{Name: "connections_turned_away", Value: 3, Counter: true}}
	}
	if err := k.open(func() error { return taking }, more); err != nil {
		t.Fatal(err)
	}
	ask := func(name, call string) {
		t.Helper()
		checkGolden(t, name, callConsole(t, c.Console, call))
	}
	ask("check-failure.txt", "check")
	taking = nil
	ask("check-success.txt", "check")
	ask("vars.txt", "vars")
	ask("nodes-discovery.txt", "nodes")
	ask("agree-off.txt", "agree status")
	ask("unknown.txt", "drop all")
}

// callConsole makes one call.
func callConsole(t *testing.T, address, call string) []byte {
	t.Helper()
	got, err := console.Call(address, call, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// age is the only part of the list of nodes that depends on time.
var age = regexp.MustCompile(`[0-9.]+m?s ago *`)

// The same for a broker that merges lists of several sources.
func TestMergedNodesAnswer(t *testing.T) {
	list := filepath.Join(t.TempDir(), "nodes.toml")
	const nodes = "[[node]]\nname = \"a\"\naddress = \"127.0.0.1:7001\"\nzone = \"z1\"\nshare = 1.0\n\n" +
		"[[node]]\nname = \"b\"\naddress = \"127.0.0.1:7002\"\nshard = 3\nshare = 0.5\npriority = 2\ndraining = true\n"
	if err := os.WriteFile(list, []byte(nodes), 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":"127.0.0.1:1","console":%q,"settings":%s}`, free(t), free(t), settingsText)
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	k, err := newControl(c, nowhere{}, nil, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer k.close()
	if err := k.open(func() error { return nil }, func() []broker.Metric { return nil }); err != nil {
		t.Fatal(err)
	}
	if err := k.members.ApplySettings(config.Membership{Sources: []config.EndpointSource{{Name: "file", Kind: "file", Path: list}}}); err != nil {
		t.Fatal(err)
	}
	var answer []byte
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if answer = callConsole(t, c.Console, "nodes"); bytes.Contains(answer, []byte("127.0.0.1:7002")) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%s", answer)
		}
	}
	checkGolden(t, "nodes-merged.txt", age.ReplaceAll(answer, []byte("(age) ")))
}

// The same for what the console tells of spreading.
func TestSpreadAnswers(t *testing.T) {
	parts := []scheduler.NodeShare{{Node: "a", Shard: 1, Weight: 0.5, Factor: 1, Share: 0.75, Reason: ""}, {Node: "b", Shard: 1, Weight: 2, Factor: 0.25, Share: 0.25, Reason: "slow"}}
	checkGolden(t, "nodes-spread.txt", spreadText(parts))
	checkGolden(t, "vars-spread.txt", fmt.Appendf(nil, "%v\n", spreadFigures(parts)))
}
