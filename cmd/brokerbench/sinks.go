package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/console"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/load"
	"junctionwharf/internal/logging"
)

func sinksCommand() *cli.Command {
	return &cli.Command{
		Name: "sinks",
		Usage: "measure in paired runs whether sinks of figures that are healthy, stalled or dead change what clients see, and check that " +
			"the counts received are the broker's",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "broker", Value: "bin/junctionwharf", Usage: "the broker's program"},
			&cli.IntFlag{Name: "rounds", Value: 10},
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "length of a run"},
			&cli.FloatFlag{Name: "rate", Value: 1500},
			&cli.IntFlag{Name: "interval", Value: 1, Usage: "of the sinks in the compared runs, s; the default of a site file is 10"},
			&cli.IntFlag{Name: "nodes", Value: 16},
			&cli.IntFlag{Name: "volumes", Value: 2000},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write all figures to `FILE`"},
		},
		Action: measureSinks,
	}
}

// variants are what a round plays, in an order that is drawn anew. Off stands twice: its difference from itself is the noise.
var variants = []string{"off", "off again", "healthy", "stalled", "dead"}

// fleet is what a broker stands among, in this process.
type fleet struct {
	dir       string
	program   string
	nodes     []*fakes.Node
	discovery *fakes.Discovery
	carbon    *fakes.Carbon
	collectd  *fakes.Collectd
	dead      string // an address where nothing listens
	site      string // a site file, instead of one that names sinks
	cores     int    // of the broker, as are its sockets and memory
	sockets   int
	memory    float64 // MB
}

// newFleet starts nodes whose commands take so long for each unit.
func newFleet(program string, nodes int, unit time.Duration) (f *fleet, err error) {
	f = &fleet{program: program, cores: 1, sockets: 4096, memory: 256}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "brokerbench"); err != nil {
		return nil, err
	}
	var hosts []fakes.Endpoint
	for i := range nodes {
		n, err := fakes.NewNode("127.0.0.1:0", fmt.Sprintf("node-%d", i), i, 8, 64, func(units float64) time.Duration {
			return time.Duration(units * float64(unit))
		})
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		hosts = append(hosts, n.Endpoint())
	}
	if f.discovery, err = fakes.NewDiscovery("127.0.0.1:0", hosts...); err != nil {
		return nil, err
	}
	if err = f.receivers(); err != nil {
		return nil, err
	}
	f.dead, err = freeAddress()
	return f, err
}

// receivers starts stand-ins for Graphite and collectd anew.
func (f *fleet) receivers() (err error) {
	if f.carbon, err = fakes.NewCarbon("127.0.0.1:0", false, fakes.NewPointStore(nil)); err != nil {
		return err
	}
	f.collectd, err = fakes.NewCollectd("127.0.0.1:0", nil, fakes.NewPointStore(nil))
	return err
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	if f.carbon != nil {
		f.carbon.Close()
	}
	if f.collectd != nil {
		f.collectd.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// running is a broker in a process of its own.
type running struct {
	address string
	console string
	command *exec.Cmd
	ended   chan error
}

// start starts a broker that tells its figures to the addresses at intervals in seconds; empty ones are off.
func (f *fleet) start(ctx context.Context, graphite, collectd string, interval int) (*running, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	settings := strings.NewReplacer(`"nominal":6.7`, `"nominal":67`, `"nominal":13`, `"nominal":130`, `"nominal":27`, `"nominal":270`,
		`"floorRate":3.4`, `"floorRate":34`, `"floorRate":13`, `"floorRate":130`, `"floorRate":32`, `"floorRate":320`).Replace(fmt.Sprintf(demoSettings, len(f.nodes)))
	console, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": address, "console": console, "discovery": f.discovery.Address(),
		"limits": map[string]any{"cores": f.cores, "memory_mb": f.memory, "sockets": f.sockets}, "settings": json.RawMessage(settings)})
	if err != nil {
		return nil, err
	}
	config, site := filepath.Join(f.dir, "config.json"), filepath.Join(f.dir, "site.toml")
	sinks := fmt.Sprintf("[graphite]\naddress = %q\nprefix = \"wharf\"\ninterval_s = %d\n[collectd]\naddress = %q\ninterval_s = %d\n", graphite, interval, collectd, interval)
	if err := errors.Join(os.WriteFile(config, text, 0o600), os.WriteFile(site, []byte(sinks), 0o600)); err != nil {
		return nil, err
	}
	args := []string{"serve"}
	if f.site != "" {
		args = append(args, "--site", f.site)
	} else if graphite != "" || collectd != "" {
		args = append(args, "--site", site)
	}
	r := &running{address: address, console: console, command: exec.Command(f.program, args...), ended: make(chan error, 1)}
	r.command.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "TMPDIR="+f.dir)
	r.command.Stderr = &quiet{} // earlier versions have no flag for it
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	go func() { r.ended <- r.command.Wait() }()
	return r, awaitPong(ctx, address, r.ended)
}

// quiet passes on what a broker logs of errors.
type quiet struct{}

func (q *quiet) Write(p []byte) (int, error) {
	for line := range strings.Lines(string(p)) {
		if strings.Contains(line, "ERR") || strings.Contains(line, "panic") {
			_, _ = os.Stderr.WriteString(line)
		}
	}
	return len(p), nil
}

// figures reads the console's figures.
func (r *running) figures() map[string]float64 {
	figures := map[string]float64{}
	all, _ := console.Call(r.console, "vars", 2*time.Second) // of a broker that is gone there are none
	for line := range strings.Lines(string(all)) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		text, _, _ := strings.Cut(rest, "|")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			figures[strings.TrimPrefix(name, "edge_balancer.")] = value
		}
	}
	return figures
}

// kill ends the process at once.
func (r *running) kill() {
	_ = r.command.Process.Kill()
	<-r.ended //nolint:errcheck // killed on purpose: how it ended says nothing
}

// stop ends it as the platform does, so that it tells its last interval.
func (r *running) stop() error {
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return <-r.ended
}

// peak is the most memory the process held, in KiB; it must have ended.
func (r *running) peak() int64 {
	if usage, ok := r.command.ProcessState.SysUsage().(*syscall.Rusage); ok {
		return usage.Maxrss
	}
	return 0
}

func (f *fleet) traffic(cmd *cli.Command, rate float64, seed uint64) (load.Traffic, error) {
	kinds := []load.RequestClass{{Name: "lesson-read", Share: 55, Deadline: 750 * time.Millisecond}, {Name: "record-write", Share: 30, Write: true, Deadline: 1200 * time.Millisecond},
		{Name: "bulk-export", Share: 15, Deadline: 2500 * time.Millisecond}}
	t := load.Traffic{Classes: kinds, Plans: []string{"basico", "padrao", "completo"}, Volumes: cmd.Int("volumes"), Skew: 1.1, Shards: len(f.nodes), MaxUnits: 3, Brokers: 1,
		Rate: rate, Duration: cmd.Duration("for"), Seed: seed}
	return t, t.Validate()
}

// run is what clients saw in one run.
type run struct {
	Round   int     `json:"round"`
	Variant string  `json:"variant"`
	P50     float64 `json:"p50_us"`
	P99     float64 `json:"p99_us"`
	P999    float64 `json:"p99_9_us"`
	Served  int     `json:"served"`
	Busy    int     `json:"busy"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"`
	PeakKB  int64   `json:"peak_kib"`
}

func (f *fleet) play(ctx context.Context, cmd *cli.Command, round int, variant string) (run, error) {
	graphite, collectd := "", ""
	f.carbon.SetMode(fakes.Reading)
	switch variant {
	case "healthy":
		graphite, collectd = f.carbon.Address(), f.collectd.Address()
	case "stalled":
		f.carbon.SetMode(fakes.NotReading)
		graphite, collectd = f.carbon.Address(), f.collectd.Address()
	case "dead":
		graphite, collectd = f.dead, f.dead
	}
	r, err := f.start(ctx, graphite, collectd, cmd.Int("interval"))
	if err != nil {
		return run{}, err
	}
	t, err := f.traffic(cmd, cmd.Float("rate"), uint64(cmd.Uint("seed"))+uint64(round))
	if err != nil {
		return run{}, err
	}
	result, err := load.Run(ctx, t, load.Options{Addresses: []string{r.address}, MaxConnections: 1024, WaitForConnection: true})
	r.kill()
	if err != nil {
		return run{}, err
	}
	h, c := result.All.Latency, result.All.Counts
	return run{round, variant, float64(h.ValueAtPercentile(50)), float64(h.ValueAtPercentile(99)), float64(h.ValueAtPercentile(99.9)),
		c[load.Served], c[load.Rejected], c[load.Failed], c[load.Lost] + c[load.Closed], r.peak()}, ctx.Err()
}

func measureSinks(ctx context.Context, cmd *cli.Command) error {
	rounds := cmd.Int("rounds")
	if rounds < 2 || rounds > 1000 {
		return fmt.Errorf("--rounds: %d is not within 2 to 1000", rounds)
	}
	f, err := newFleet(cmd.String("broker"), cmd.Int("nodes"), time.Millisecond)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.follow(ctx, cmd, os.Stdout); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(uint64(cmd.Uint("seed")), 9))
	var runs []run
	for round := range rounds {
		for i, v := range random.Perm(len(variants)) {
			if logging.IsTerminal(os.Stderr) {
				fmt.Fprintf(os.Stderr, "\rround %d of %d, run %d of %d ", round+1, rounds, i+1, len(variants))
			}
			r, err := f.play(ctx, cmd, round, variants[v])
			if err != nil {
				return err
			}
			runs = append(runs, r)
		}
	}
	clearProgress()
	if err := saveJSON(cmd, runs); err != nil {
		return err
	}
	return compareRuns(os.Stdout, runs, random)
}

// compareRuns prints each variant's quantiles, and the mean difference from "off" of the same round with a 95% bootstrap interval.
func compareRuns(w io.Writer, runs []run, random *rand.Rand) error {
	figures := []struct {
		name string
		of   func(run) float64
	}{{"p50", func(r run) float64 { return r.P50 }}, {"p99", func(r run) float64 { return r.P99 }}, {"p99.9", func(r run) float64 { return r.P999 }}}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(table, "\truns\tserved\tbusy\tfailed\tlost\tpeak MiB\t")
	for _, f := range figures {
		_, _ = fmt.Fprintf(table, "%s ms, mean\tless off\t95%% interval\t", f.name)
	}
	_, _ = fmt.Fprintln(table)
	for _, v := range variants {
		var sum run
		n := 0
		differences, means := make([][]float64, len(figures)), make([]float64, len(figures))
		for _, r := range runs {
			if r.Variant != v {
				continue
			}
			n++
			sum.Served, sum.Busy, sum.Failed, sum.Lost, sum.PeakKB = sum.Served+r.Served, sum.Busy+r.Busy, sum.Failed+r.Failed, sum.Lost+r.Lost, max(sum.PeakKB, r.PeakKB)
			at := slices.IndexFunc(runs, func(o run) bool { return o.Round == r.Round && o.Variant == "off" })
			for i, f := range figures {
				means[i] += f.of(r) / 1000
				if at >= 0 {
					differences[i] = append(differences[i], (f.of(r)-f.of(runs[at]))/1000)
				}
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t", v, n, sum.Served, sum.Busy, sum.Failed, sum.Lost, sum.PeakKB>>10)
		for i := range figures {
			low, high := bootstrap(differences[i], random)
			_, _ = fmt.Fprintf(table, "%.2f\t%+.2f\t%+.2f to %+.2f\t", means[i]/float64(n), mean(differences[i]), low, high)
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(1, float64(len(values)))
}

// bootstrap is the 95% percentile interval of the mean.
func bootstrap(values []float64, random *rand.Rand) (low, high float64) {
	if len(values) == 0 {
		return 0, 0
	}
	means := make([]float64, 4000)
	for i := range means {
		sum := 0.0
		for range values {
			sum += values[random.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	return means[len(means)/40], means[len(means)-1-len(means)/40]
}

// follow has both receivers stall, die and return under load, and checks that what they got in the end is what the broker
// counted and clients saw, exactly.
func (f *fleet) follow(ctx context.Context, cmd *cli.Command, w io.Writer) error {
	carbonAt, collectdAt := f.carbon.Address(), f.collectd.Address()
	r, err := f.start(ctx, carbonAt, collectdAt, 1)
	if err != nil {
		return err
	}
	t, err := f.traffic(cmd, cmd.Float("rate"), uint64(cmd.Uint("seed")))
	if err != nil {
		r.kill()
		return err
	}
	t.Duration = max(t.Duration, 12*time.Second)
	part := t.Duration / 4
	steps := make(chan error, 1)
	go func() {
		time.Sleep(part)
		f.carbon.SetMode(fakes.NotReading)
		time.Sleep(part)
		f.carbon.Close()
		f.collectd.Close()
		time.Sleep(part)
		var err error
		if f.carbon, err = fakes.NewCarbon(carbonAt, false, fakes.NewPointStore(nil)); err == nil {
			f.collectd, err = fakes.NewCollectd(collectdAt, nil, fakes.NewPointStore(nil))
		}
		steps <- err
	}()
	result, err := load.Run(ctx, t, load.Options{Addresses: []string{r.address}, MaxConnections: 1024, WaitForConnection: true, Progress: progress(t.Duration)})
	clearProgress()
	if err := errors.Join(err, <-steps); err != nil {
		r.kill()
		return err
	}
	time.Sleep(3 * time.Second) // the queues are sent on
	if err := r.stop(); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond) // what the sockets hold is read
	carbon, collectd := f.carbon.Latest(), f.collectd.Latest()
	c := result.All.Counts
	_, _ = fmt.Fprintf(w, "sinks stalled, killed and returned under load: clients were served %d, refused %d, failed %d, lost %d\n", c[load.Served], c[load.Rejected], c[load.Failed], c[load.Lost])
	all := func(of string) float64 { return carbon["wharf.n1.all."+of].Value }
	stamp := carbon["wharf.n1.all.served"].Timestamp
	own := func(of string) (sum float64) {
		for _, k := range t.Classes {
			sum += carbon["wharf.n1."+of+"."+k.Name].Value
		}
		return sum
	}
	faults := append(f.carbon.Errors(), f.collectd.Errors()...)
	_, _ = fmt.Fprintf(w, "the broker counted %.0f, %.0f, %.0f; Graphite got %.0f, %.0f, %.0f; collectd %.0f, %.0f, %.0f; %d faults\n", own("success"), own("busy"), own("failure"),
		all("served"), all("busy"), all("failed"),
		collectd["n1/junctionwharf-all/junctionwharf_requests/0"].Value, collectd["n1/junctionwharf-all/junctionwharf_requests/1"].Value, collectd["n1/junctionwharf-all/junctionwharf_requests/2"].Value, len(faults))
	for _, d := range []string{"class", "plan", "node", "volume"} {
		sum, rows := 0.0, 0
		for series, p := range carbon {
			if strings.HasPrefix(series, "wharf.n1."+d+".") && strings.HasSuffix(series, ".served") && p.Timestamp == stamp {
				sum += p.Value
				rows++
			}
		}
		_, _ = fmt.Fprintf(w, "sum over %d rows of %s: %.0f\n", rows, d, sum)
		if sum != all("served") {
			return fmt.Errorf("the sum over %s is %.0f, not %.0f", d, sum, all("served"))
		}
	}
	if all("served") != own("success") || all("served") != float64(c[load.Served]) || all("busy") != own("busy") || all("busy") != float64(c[load.Rejected]) ||
		collectd["n1/junctionwharf-all/junctionwharf_requests/0"].Value != all("served") || len(faults) > 0 {
		return fmt.Errorf("the counts differ; faults %q", faults)
	}
	_, _ = fmt.Fprintln(w, "all counts are equal")
	return nil
}
