package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/load"
)

const (
	// loopback lets the system choose a port, so that measurements can run concurrently.
	loopback = "127.0.0.1:0"
	// testbedSlots and testbedQueue are the numbers of commands that a fake node executes and queues. They are large
	// enough that the broker under test is the limit, not the nodes.
	testbedSlots = 8
	testbedQueue = 64
)

// platformSettings resembles the settings of the platform. The format argument is the number of shards.
const platformSettings = `{"bounds":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxAttempts":3,` +
	`"maxRetryAfter":1000000,"retryAfter":true},
"classes":[{"name":"lesson-read","aim":150000,"deadline":750000,"effect":"safe","importance":3,"lateWorth":0.1},
 {"name":"record-write","aim":200000,"deadline":1200000,"effect":"unsafe","importance":2,"lateWorth":0.1},
 {"name":"bulk-export","aim":750000,"deadline":2500000,"effect":"safe","importance":1,"lateWorth":0.2}],
"serviceLevels":[{"name":"basico","nominal":6.7,"floorRate":3.4,"parts":1,"price":0.72},` +
	`{"name":"padrao","nominal":13,"floorRate":13,"parts":3,"price":0.9},
 {"name":"completo","nominal":27,"floorRate":32,"parts":4,"price":1.5}],
"invariants":{"answerSlack":8000,"cold":17000000,"coldShare":0.18,"drainGrace":2000000,"fall":3000000,"fallMultiple":4},
"specifics":{"usualUnits":2.13,"maxUnits":8,"nShards":%d,"youngLimit":41,"withinShare":0.4,"idleWorth":0.05},` +
	`"nInstances":1,"ordinal":0}`

// tenfoldRates multiplies the rates of the plans by ten, so that the rates of measurements stay below them.
var tenfoldRates = strings.NewReplacer(
	`"nominal":6.7`, `"nominal":67`,
	`"nominal":13`, `"nominal":130`,
	`"nominal":27`, `"nominal":270`,
	`"floorRate":3.4`, `"floorRate":34`,
	`"floorRate":13`, `"floorRate":130`,
	`"floorRate":32`, `"floorRate":320`,
)

// platformPlans are the plans of platformSettings.
var platformPlans = []string{"basico", "padrao", "completo"}

// brokerConfig is the configuration document of a broker.
type brokerConfig struct {
	Console   string          `json:"console,omitempty"`
	Discovery string          `json:"discovery"`
	Limits    brokerLimits    `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Settings  json.RawMessage `json:"settings"`
}

// encodeConfig returns the configuration file of a broker, with all keys that the platform writes.
func encodeConfig(config brokerConfig) ([]byte, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	return fakes.CompleteConfig(text)
}

type brokerLimits struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// testbed contains the fakes that a broker under test connects to: nodes, discovery and metrics receivers. The fakes
// run in this process, and each broker runs in its own process. close ends the fakes. The caller of startBroker ends
// the broker.
type testbed struct {
	dir       string // directory of configuration files, removed by close
	program   string // path of the broker's program
	site      string // path of a site file that replaces the generated one; empty for none
	limits    brokerLimits
	nodes     []*fakes.Node
	discovery *fakes.Discovery
	carbon    *fakes.Carbon
	collectd  *fakes.Collectd
	closed    string // an address without a listener
}

// newTestbed starts the fakes. A command takes unitTime at a node for each of its units.
func newTestbed(program string, nodes int, unitTime time.Duration) (_ *testbed, err error) {
	b := &testbed{program: program, limits: brokerLimits{Cores: 1, MemoryMB: 256, Sockets: 4096}}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	if b.dir, err = os.MkdirTemp("", "brokerbench"); err != nil {
		return nil, err
	}
	var hosts []fakes.Endpoint
	for i := range nodes {
		node, err := fakes.NewNode(loopback, fmt.Sprintf("node-%d", i), i, testbedSlots, testbedQueue,
			func(units float64) time.Duration { return time.Duration(units * float64(unitTime)) })
		if err != nil {
			return nil, err
		}
		b.nodes = append(b.nodes, node)
		hosts = append(hosts, node.Endpoint())
	}
	if b.discovery, err = fakes.NewDiscovery(loopback, hosts...); err != nil {
		return nil, err
	}
	if err = b.startReceivers(loopback, loopback); err != nil {
		return nil, err
	}
	b.closed, err = freeAddress()
	return b, err
}

// startReceivers starts new fake receivers for Graphite and collectd.
func (b *testbed) startReceivers(carbonAddress, collectdAddress string) (err error) {
	if b.carbon, err = fakes.NewCarbon(carbonAddress, false, fakes.NewPointStore(nil)); err != nil {
		return err
	}
	b.collectd, err = fakes.NewCollectd(collectdAddress, nil, fakes.NewPointStore(nil))
	return err
}

func (b *testbed) close() {
	for _, node := range b.nodes {
		node.Close()
	}
	if b.discovery != nil {
		b.discovery.Close()
	}
	if b.carbon != nil {
		b.carbon.Close()
	}
	if b.collectd != nil {
		b.collectd.Close()
	}
	if b.dir != "" {
		_ = os.RemoveAll(b.dir) // remaining files are in the temporary directory
	}
}

// metricsTargets contains the addresses to which a broker sends its metrics. An empty address disables a target.
type metricsTargets struct {
	graphite string
	collectd string
	interval int // export interval in seconds
}

// siteFile returns the text of a site file with the targets.
func (t metricsTargets) siteFile() string {
	return fmt.Sprintf("[graphite]\naddress = %q\nprefix = \"wharf\"\ninterval_s = %d\n", t.graphite, t.interval) +
		fmt.Sprintf("[collectd]\naddress = %q\ninterval_s = %d\n", t.collectd, t.interval)
}

// noMetrics disables both targets.
var noMetrics = metricsTargets{interval: 10}

// startBroker starts a broker and waits until it serves clients.
func (b *testbed) startBroker(ctx context.Context, targets metricsTargets) (*brokerProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	consoleAddress, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text, err := encodeConfig(brokerConfig{
		Name:      "n1",
		Listen:    address,
		Console:   consoleAddress,
		Discovery: b.discovery.Address(),
		Limits:    b.limits,
		Settings:  json.RawMessage(tenfoldRates.Replace(fmt.Sprintf(platformSettings, len(b.nodes)))),
	})
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(b.dir, "config.json")
	sitePath := filepath.Join(b.dir, "site.toml")
	err = errors.Join(
		os.WriteFile(configPath, text, 0o600),
		os.WriteFile(sitePath, []byte(targets.siteFile()), 0o600))
	if err != nil {
		return nil, err
	}
	args := []string{"serve"}
	switch {
	case b.site != "":
		args = append(args, "--site", b.site)
	case targets.graphite != "" || targets.collectd != "":
		args = append(args, "--site", sitePath)
	}
	command := exec.Command(b.program, args...)
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+configPath, "TMPDIR="+b.dir)
	process, err := startProcess(command, address, consoleAddress)
	if err != nil {
		return nil, err
	}
	if err := awaitServing(ctx, address, process.ended); err != nil {
		_ = command.Process.Kill() // unless it has ended already
		return nil, err
	}
	return process, nil
}

// traffic returns the mixed load of measurements, with the classes and plans of the platform.
func (b *testbed) traffic(cmd *cli.Command, rate float64, seed uint64) (load.Traffic, error) {
	traffic := load.Traffic{
		Classes: []load.RequestClass{
			{Name: "lesson-read", Share: 55, Deadline: 750 * time.Millisecond},
			{Name: "record-write", Share: 30, Write: true, Deadline: 1200 * time.Millisecond},
			{Name: "bulk-export", Share: 15, Deadline: 2500 * time.Millisecond},
		},
		Plans:    platformPlans,
		Volumes:  cmd.Int("volumes"),
		Skew:     1.1,
		Shards:   len(b.nodes),
		MaxUnits: 3,
		Brokers:  1,
		Rate:     rate,
		Duration: cmd.Duration("for"),
		Seed:     seed,
	}
	return traffic, traffic.Validate()
}
