package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/config"
	"junctionwharf/internal/daemon"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/load"
	"junctionwharf/internal/logging"
)

const (
	// demoSlots and demoQueue are the numbers of commands that a node of the demo executes and queues. They are small,
	// so that nodes reject some requests.
	demoSlots = 2
	demoQueue = 30
	// demoStall is how long each node stalls, once. The stalls cause timeouts and retries.
	demoStall = 150 * time.Millisecond
	// demoConnections is the maximum number of client connections, more than the default rate needs at a time.
	demoConnections = 256
	// demoSeries is the prefix of the series of the demo's broker.
	demoSeries = "wharf.demo."
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start fakes and a broker on loopback, send a mixed load and print its result",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "length of the load"},
			&cli.FloatFlag{Name: "rate", Value: 120, Usage: "requests a second"},
			&cli.IntFlag{Name: "nodes", Value: 4},
			&cli.UintFlag{Name: "seed", Value: 1},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	nodes := cmd.Int("nodes")
	if nodes < 1 || nodes > 100 {
		return fmt.Errorf("--nodes: %d is not within 1 to 100", nodes)
	}
	d, err := newDemo(nodes, uint64(cmd.Uint("seed")))
	if err != nil {
		return err
	}
	defer d.close()
	c, err := d.brokerConfig()
	if err != nil {
		return err
	}
	traffic, err := d.traffic(c, cmd)
	if err != nil {
		return err
	}
	result, err := serveLoad(ctx, c, traffic)
	if err != nil {
		return err
	}
	if err := printResult(os.Stdout, result); err != nil {
		return err
	}
	return printNodes(os.Stdout, d.carbon, result)
}

// demo owns the fakes that the demo's broker connects to. close ends them.
type demo struct {
	carbon    *fakes.Carbon
	nodes     []*fakes.Node
	stalls    []*time.Timer
	discovery *fakes.Discovery
}

func newDemo(nodes int, seed uint64) (_ *demo, err error) {
	d := &demo{}
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	if d.carbon, err = fakes.NewCarbon(loopback, false, fakes.NewPointStore(nil)); err != nil {
		return nil, err
	}
	var hosts []fakes.Endpoint
	for i := range nodes {
		node, err := fakes.NewNode(loopback, fmt.Sprintf("node-%d", i), i, demoSlots, demoQueue, demoCost)
		if err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, node)
		hosts = append(hosts, node.Endpoint())
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		delay := time.Duration(2000+random.IntN(3000)) * time.Millisecond
		d.stalls = append(d.stalls, time.AfterFunc(delay, func() { node.Stall(demoStall) }))
	}
	d.discovery, err = fakes.NewDiscovery(loopback, hosts...)
	return d, err
}

// demoCost returns how long a command occupies a slot of a node.
func demoCost(units float64) time.Duration {
	return time.Duration((4 + 6*units) * float64(time.Millisecond))
}

func (d *demo) close() {
	for _, stall := range d.stalls {
		stall.Stop()
	}
	if d.discovery != nil {
		d.discovery.Close()
	}
	for _, node := range d.nodes {
		node.Close()
	}
	if d.carbon != nil {
		d.carbon.Close()
	}
}

// brokerConfig returns the configuration of a broker that uses the fakes.
func (d *demo) brokerConfig() (*config.Config, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text, err := encodeConfig(brokerConfig{
		Name:      "demo",
		Listen:    address,
		Discovery: d.discovery.Address(),
		Limits:    brokerLimits{Cores: 8, MemoryMB: 256, Sockets: 1024},
		Settings:  json.RawMessage(fmt.Sprintf(platformSettings, len(d.nodes))),
	})
	if err != nil {
		return nil, err
	}
	c, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	c.Site.Graphite = config.Graphite{
		Receiver:  config.Receiver{Address: d.carbon.Address(), IntervalS: 1, QueueBytes: 1 << 20},
		Prefix:    "wharf",
		Transport: "tcp",
	}
	return c, nil
}

func (d *demo) traffic(c *config.Config, cmd *cli.Command) (load.Traffic, error) {
	kinds, err := mixClasses(c.Settings.Scheduler.Classes, "lesson-read=55,record-write=30,bulk-export=15")
	if err != nil {
		return load.Traffic{}, err
	}
	return load.Traffic{
		Classes:  kinds,
		Plans:    platformPlans,
		Volumes:  6 * len(d.nodes),
		Skew:     1.2,
		Shards:   len(d.nodes),
		MaxUnits: 3,
		Brokers:  1,
		Rate:     cmd.Float("rate"),
		Duration: cmd.Duration("for"),
		Seed:     uint64(cmd.Uint("seed")),
	}, nil
}

// serveLoad runs a broker in this process and sends it a load. When it returns without an error, the broker has ended
// and has exported its last interval.
func serveLoad(ctx context.Context, c *config.Config, traffic load.Traffic) (*load.Result, error) {
	log, err := logging.New(os.Stderr, logging.Options{Name: c.Name, Color: logging.IsTerminal(os.Stderr)})
	if err != nil {
		return nil, err
	}
	// not derived from ctx: the broker ends after the load, even if ctx ends first
	running, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- daemon.Serve(running, c, log, nil, nil) }()
	if err := awaitServing(ctx, c.Listen, ended); err != nil {
		return nil, err
	}
	fmt.Fprintf(os.Stderr, "%d nodes and a broker on loopback; %.0f requests a second for %v\n",
		traffic.Shards, traffic.Rate, traffic.Duration)
	result, err := load.Run(ctx, traffic, load.Options{
		Addresses:         []string{c.Listen},
		MaxConnections:    demoConnections,
		WaitForConnection: true,
		Progress:          progress(traffic.Duration),
	})
	clearProgress()
	if err != nil {
		return nil, err
	}
	stop()
	if err := <-ended; err != nil {
		return nil, err
	}
	return result, nil
}

// printNodes prints the metrics that the broker exported for each node, and whether the sum of the nodes' served
// requests equals the number of served requests that clients counted.
func printNodes(w io.Writer, carbon *fakes.Carbon, result *load.Result) error {
	latest := carbon.Latest()
	_, _ = fmt.Fprintln(w, "\nby node, as the broker exported it to the fake Graphite:")
	table := newTable(w)
	_, _ = fmt.Fprintln(table, "\tattempts\tsuccess\ttimed out\tturned away\tserved\tp99 ms at the node, last second\t")
	served := 0.0
	for _, name := range exportedNodes(latest) {
		value := func(figure string) float64 { return latest[demoSeries+"node."+name+"."+figure].Value }
		served += value("served")
		_, _ = fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t\n", name,
			value("attempts"), value("attempts_success"), value("attempts_timed_out"), value("attempts_overloaded"),
			value("served"), value("at_node_us.p99")/1000)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if faults := carbon.Errors(); len(faults) > 0 {
		return fmt.Errorf("fake Graphite could not parse its input: %s", faults[0])
	}
	verdict := "as many as clients received"
	if got := result.All.Counts[load.Served]; served != float64(got) {
		verdict = fmt.Sprintf("but clients received %d", got)
	}
	_, err := fmt.Fprintf(w, "%.0f requests served by all nodes, %s\n", served, verdict)
	return err
}

// exportedNodes returns the sorted names of the nodes that have a series of attempts.
func exportedNodes(latest map[string]fakes.Point) []string {
	var names []string
	for series := range latest {
		rest, isNode := strings.CutPrefix(series, demoSeries+"node.")
		if !isNode {
			continue
		}
		if name, isAttempts := strings.CutSuffix(rest, ".attempts"); isAttempts {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
