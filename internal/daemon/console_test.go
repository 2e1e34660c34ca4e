package daemon

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/golden"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// startConsoleOnly builds a control and starts only its console.
func startConsoleOnly(t *testing.T, check func() error, more func() []broker.Metric) *control {
	t.Helper()
	c := parseConfig(t, fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":"127.0.0.1:1","console":%q,"settings":%s}`,
		unusedAddress(t), unusedAddress(t), settingsText))
	ctl, err := newControl(c, noTransport{}, nil, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctl.parts = ctl.ports()
	t.Cleanup(func() { ctl.parts.stop() })
	if err := ctl.openConsole(check, more); err != nil {
		t.Fatal(err)
	}
	if err := ctl.parts.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return ctl
}

// Operators' programs parse the console's answers. The answers of a broker that has just started must have the same
// bytes in each version.
func TestConsoleAnswers(t *testing.T) {
	notAccepting := errors.New("no clients are taken")
	check := func() error { return notAccepting }
	more := func() []broker.Metric {
		return []broker.Metric{{Name: "connections_turned_away", Value: 3, Counter: true}}
	}
	ctl := startConsoleOnly(t, check, more)
	checkAnswer := func(name, call string) {
		t.Helper()
		golden.Check(t, name, []byte(callConsole(t, ctl.config.Console, call)))
	}
	checkAnswer("check-failure.txt", "check")
	notAccepting = nil
	checkAnswer("check-success.txt", "check")
	checkAnswer("vars.txt", "vars")
	checkAnswer("nodes-discovery.txt", "nodes")
	checkAnswer("agree-off.txt", "agree status")
	checkAnswer("unknown.txt", "drop all")
}

// age matches the only part of the list of nodes that depends on the time.
var age = regexp.MustCompile(`[0-9.]+m?s ago *`)

// The answer to the nodes call must have the same bytes in each version, also if the list is merged from several
// sources.
func TestMergedNodesAnswer(t *testing.T) {
	const nodes = "[[node]]\nname = \"a\"\naddress = \"127.0.0.1:7001\"\nzone = \"z1\"\nshare = 1.0\n\n" +
		"[[node]]\nname = \"b\"\naddress = \"127.0.0.1:7002\"\nshard = 3\nshare = 0.5\npriority = 2\ndraining = true\n"
	source := config.EndpointSource{Name: "file", Kind: "file", Path: writeFile(t, t.TempDir(), "nodes.toml", nodes)}
	ctl := startConsoleOnly(t, func() error { return nil }, func() []broker.Metric { return nil })
	if err := ctl.endpoints.ApplySettings(config.Membership{Sources: []config.EndpointSource{source}}); err != nil {
		t.Fatal(err)
	}
	var answer string
	await(t, "the file source's nodes are not listed", func() bool {
		answer = callConsole(t, ctl.config.Console, "nodes")
		return strings.Contains(answer, "127.0.0.1:7002")
	})
	golden.Check(t, "nodes-merged.txt", []byte(age.ReplaceAllString(answer, "(age) ")))
}

// The load balancing section and metrics of the console must have the same bytes in each version.
func TestNodeShareAnswers(t *testing.T) {
	shares := []scheduler.NodeShare{
		{Node: "a", Shard: 1, Weight: 0.5, Factor: 1, Share: 0.75},
		{Node: "b", Shard: 1, Weight: 2, Factor: 0.25, Share: 0.25, Reason: "slow"},
	}
	golden.Check(t, "nodes-spread.txt", formatShares(shares))
	golden.Check(t, "vars-spread.txt", []byte(fmt.Sprintf("%v\n", shareMetrics(shares))))
}
