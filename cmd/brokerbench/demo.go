package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/config"
	"junctionwharf/internal/daemon"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/load"
	"junctionwharf/internal/logging"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start stand-ins and a broker on loopback, send a mixed load and say what became of it",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "length of the load"},
			&cli.FloatFlag{Name: "rate", Value: 120, Usage: "requests a second"},
			&cli.IntFlag{Name: "nodes", Value: 4},
			&cli.UintFlag{Name: "seed", Value: 1},
		},
		Action: demo,
	}
}

// demoSettings are like the platform's.
const demoSettings = `{"bounds":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxAttempts":3,"maxRetryAfter":1000000,"retryAfter":true},
"classes":[{"name":"lesson-read","aim":150000,"deadline":750000,"effect":"safe","importance":3,"lateWorth":0.1},
 {"name":"record-write","aim":200000,"deadline":1200000,"effect":"unsafe","importance":2,"lateWorth":0.1},
 {"name":"bulk-export","aim":750000,"deadline":2500000,"effect":"safe","importance":1,"lateWorth":0.2}],
"serviceLevels":[{"name":"basico","nominal":6.7,"floorRate":3.4,"parts":1,"price":0.72},{"name":"padrao","nominal":13,"floorRate":13,"parts":3,"price":0.9},
 {"name":"completo","nominal":27,"floorRate":32,"parts":4,"price":1.5}],
"invariants":{"answerSlack":8000,"cold":17000000,"coldShare":0.18,"drainGrace":2000000,"fall":3000000,"fallMultiple":4},
"specifics":{"usualUnits":2.13,"maxUnits":8,"nShards":%d,"youngLimit":41,"withinShare":0.4,"idleWorth":0.05},"nInstances":1,"ordinal":0}`

func demo(ctx context.Context, cmd *cli.Command) error {
	nodes := cmd.Int("nodes")
	if nodes < 1 || nodes > 100 {
		return fmt.Errorf("--nodes: %d is not within 1 to 100", nodes)
	}
	points := fakes.NewPointStore(nil)
	carbon, err := fakes.NewCarbon("127.0.0.1:0", false, points)
	if err != nil {
		return err
	}
	defer carbon.Close()
	var hosts []fakes.Endpoint
	for i := range nodes {
		random := rand.New(rand.NewPCG(uint64(cmd.Uint("seed")), uint64(i)))
		n, err := fakes.NewNode("127.0.0.1:0", fmt.Sprintf("node-%d", i), i, 2, 30, func(units float64) time.Duration {
			return time.Duration((4 + 6*units) * float64(time.Millisecond)) // of a node's core
		})
		if err != nil {
			return err
		}
		defer n.Close()
		hosts = append(hosts, n.Endpoint())
		stall := time.AfterFunc(time.Duration(2000+random.IntN(3000))*time.Millisecond, func() { n.Stall(150 * time.Millisecond) })
		defer stall.Stop()
	}
	discovery, err := fakes.NewDiscovery("127.0.0.1:0", hosts...)
	if err != nil {
		return err
	}
	defer discovery.Close()
	address, err := freeAddress()
	if err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{"name": "demo", "listen": address, "discovery": discovery.Address(),
		"limits": map[string]any{"cores": 8, "memory_mb": 256, "sockets": 1024}, "settings": json.RawMessage(fmt.Sprintf(demoSettings, nodes))})
	if err != nil {
		return err
	}
	c, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		return err
	}
	c.Site.Graphite = config.Graphite{Receiver: config.Receiver{Address: carbon.Address(), IntervalS: 1, QueueBytes: 1 << 20}, Prefix: "wharf", Transport: "tcp"}
	kinds, err := kindsOf(c.Settings.Scheduler.Classes, "lesson-read=55,record-write=30,bulk-export=15")
	if err != nil {
		return err
	}

	log, err := logging.New(os.Stderr, logging.Options{Name: c.Name, Color: logging.IsTerminal(os.Stderr)})
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Serve(running, c, log, nil, nil) }()
	defer stop()
	if err := awaitPong(ctx, address, ended); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%d nodes and a broker on loopback; %.0f requests a second for %v\n", nodes, cmd.Float("rate"), cmd.Duration("for"))
	t := load.Traffic{Classes: kinds, Plans: []string{"basico", "padrao", "completo"}, Volumes: 6 * nodes, Skew: 1.2, Shards: nodes, MaxUnits: 3, Brokers: 1,
		Rate: cmd.Float("rate"), Duration: cmd.Duration("for"), Seed: uint64(cmd.Uint("seed"))}
	result, err := load.Run(ctx, t, load.Options{Addresses: []string{address}, MaxConnections: 256, WaitForConnection: true, Progress: progress(t.Duration)})
	clearProgress()
	if err != nil {
		return err
	}
	stop()
	if err := <-ended; err != nil {
		return err
	}
	if err := printResult(os.Stdout, result); err != nil {
		return err
	}
	return printNodes(os.Stdout, carbon, result)
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// awaitPong waits until the broker takes clients.
func awaitPong(ctx context.Context, address string, ended <-chan error) error {
	for {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
			b := make([]byte, 7)
			_, err := io.ReadFull(conn, b)
			_ = conn.Close()
			if err == nil && string(b) == "+PONG\r\n" {
				return nil
			}
		}
		select {
		case err := <-ended:
			return fmt.Errorf("the broker ended: %s", fmt.Sprint(err)) // nil where it ended by itself
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// printNodes prints what the broker told its Carbon stand-in of each node, and whether that adds up to what clients saw.
func printNodes(w io.Writer, carbon *fakes.Carbon, result *load.Result) error {
	latest := carbon.Latest()
	value := func(path string) float64 { return latest["wharf.demo."+path].Value }
	var names []string
	for series := range latest {
		if name, is := strings.CutPrefix(series, "wharf.demo.node."); is {
			if name, is := strings.CutSuffix(name, ".attempts"); is {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	_, _ = fmt.Fprintln(w, "\nby node, as the broker told its stand-in of Graphite:")
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "\tattempts\tsuccess\ttimed out\tturned away\tserved\tp99 ms at the node, last second\t")
	sum := 0.0
	for _, name := range names {
		at := "node." + name + "."
		sum += value(at + "served")
		_, _ = fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t\n", name, value(at+"attempts"), value(at+"attempts_success"), value(at+"attempts_timed_out"),
			value(at+"attempts_overloaded"), value(at+"served"), value(at+"at_node_us.p99")/1000)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if faults := carbon.Errors(); len(faults) > 0 {
		return fmt.Errorf("the stand-in could not read: %s", faults[0])
	}
	verdict := "as many as clients got"
	if served := result.All.Counts[load.Served]; sum != float64(served) {
		verdict = fmt.Sprintf("but clients got %d", served)
	}
	_, err := fmt.Fprintf(w, "%.0f served over all nodes, %s\n", sum, verdict)
	return err
}
