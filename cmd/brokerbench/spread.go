package main

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/balancer"
)

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "weigh ways to spread load over the nodes of a shard, in a model of brokers that each see little; docs/spread.md",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "brokers", Value: 300},
			&cli.IntFlag{Name: "nodes", Value: 200},
			&cli.FloatFlag{Name: "rate", Value: 5, Usage: "requests a second and broker"},
			&cli.FloatFlag{Name: "uneven", Value: 1, Usage: "one broker in twenty has so many times the mean"},
			&cli.FloatFlag{Name: "slow", Value: 0, Usage: "part of the nodes at half speed"},
			&cli.FloatFlag{Name: "load", Value: 0.5, Usage: "of what the nodes can do"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "of model time"},
			&cli.IntFlag{Name: "rounds", Value: 5, Usage: "with seeds that follow each other; the same arrivals for each way"},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write all figures to `FILE`"},
		},
		Action: weighSpreads,
	}
}

// A way chooses a node for a broker's request.
type way interface {
	choose(now time.Duration) int
	sent(now time.Duration, node int)
	answered(now time.Duration, node int, took time.Duration, inflight int)
}

// table is what a broker sees of nodes.
type table struct {
	random *rand.Rand
	out    []int
	report []float64       // what the node last said it holds
	at     []time.Duration // when
	since  []int           // own sends since
}

func (t *table) sent(_ time.Duration, n int) { t.out[n]++; t.since[n]++ }
func (t *table) answered(now time.Duration, n int, _ time.Duration, inflight int) {
	t.out[n]--
	t.report[n], t.at[n], t.since[n] = float64(inflight), now, 0
}

type uniform struct{ *table }

func (w uniform) choose(time.Duration) int { return w.random.IntN(len(w.out)) }

// listed takes the fewest out, the first listed of equals: what the broker did before there was a choice.
type listed struct{ *table }

func (w listed) choose(time.Duration) int {
	best := 0
	for i := range w.out {
		if w.out[i] < w.out[best] {
			best = i
		}
	}
	return best
}

type leastOut struct{ *table }

func (w leastOut) choose(time.Duration) int {
	best, ties := 0, 0
	for i := range w.out {
		switch {
		case w.out[i] < w.out[best] || i == 0:
			best, ties = i, 1
		case w.out[i] == w.out[best]:
			if ties++; w.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

type twoChoices struct{ *table }

func (w twoChoices) choose(time.Duration) int {
	a, b := w.random.IntN(len(w.out)), w.random.IntN(len(w.out))
	if w.out[b] < w.out[a] {
		return b
	}
	return a
}

// reported is two choices by what nodes report, which fades towards nothing known, and by own sends since.
type reported struct{ *table }

func (w reported) choose(now time.Duration) int {
	value := func(n int) float64 {
		return w.report[n]*math.Exp(-(now-w.at[n]).Seconds()) + float64(w.since[n])
	}
	a, b := w.random.IntN(len(w.out)), w.random.IntN(len(w.out))
	if value(b) < value(a) {
		return b
	}
	return a
}

// reportedBest takes the least reported of all: what a herd does.
type reportedBest struct{ *table }

func (w reportedBest) choose(now time.Duration) int {
	best, least := 0, math.Inf(1)
	for n := range w.out {
		if v := w.report[n]*math.Exp(-(now-w.at[n]).Seconds()) + float64(w.since[n]); v < least {
			best, least = n, v
		}
	}
	return best
}

// subset is least out among the nodes of a deterministic subset: rounds of brokers deal the shuffled nodes out among them.
type subset struct {
	*table
	mine []int
}

func newSubset(t *table, ordinal, nodes, size int) subset {
	size = min(size, nodes)
	each := max(1, nodes/size)
	order := rand.New(rand.NewPCG(uint64(ordinal/each), 5)).Perm(nodes)
	at := ordinal % each * size
	return subset{t, order[at : at+size]}
}

func (w subset) choose(time.Duration) int {
	best, ties := w.mine[0], 0
	for _, i := range w.mine {
		switch {
		case w.out[i] < w.out[best]:
			best, ties = i, 1
		case w.out[i] == w.out[best]:
			if ties++; w.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// rendezvous is a draw among a broker's first nodes by weighted rendezvous.
type rendezvous struct {
	*table
	mine []int
}

func newRendezvous(t *table, ordinal, nodes, size int) rendezvous {
	score := make([]float64, nodes)
	for n := range score {
		score[n] = rand.New(rand.NewPCG(uint64(ordinal), uint64(n))).Float64()
	}
	mine := make([]int, nodes)
	for i := range mine {
		mine[i] = i
	}
	slices.SortFunc(mine, func(a, b int) int { return cmp.Compare(score[a], score[b]) })
	return rendezvous{t, mine[:min(size, nodes)]}
}

func (w rendezvous) choose(time.Duration) int { return w.mine[w.random.IntN(len(w.mine))] }

// turns is package balancer.
type turns struct {
	group   *balancer.Balancer
	members []*balancer.Replica
}

func newTurns(ordinal, brokers, nodes, size int) *turns {
	w := &turns{group: balancer.New(balancer.Options{Name: fmt.Sprint("broker-", ordinal), Ordinal: ordinal, Brokers: brokers, SubsetSize: size, NoGossip: true})}
	for n := range nodes {
		w.members = append(w.members, &balancer.Replica{Name: fmt.Sprint("node-", n), Ref: n})
	}
	w.group.SetReplicas(0, w.members)
	return w
}

func (w *turns) choose(now time.Duration) int {
	for m := range w.group.Candidates(now, false) {
		return m.Ref.(int)
	}
	return 0
}

func (w *turns) sent(now time.Duration, n int) {
	w.members[n].InFlight++
	w.group.RecordSent(now, w.members[n])
}

func (w *turns) answered(now time.Duration, n int, took time.Duration, _ int) {
	w.members[n].InFlight--
	w.group.RecordAnswer(now, w.members[n], took)
}

// ways are those that are weighed; "oracle" sees all nodes as they are.
var ways = []string{"listed", "uniform", "least out", "two choices", "two by report", "least report", "subset", "rendezvous", "turns of all", "turns", "oracle"}

const coverSize = balancer.DefaultSubsetSize

func newWay(name string, ordinal, brokers, nodes int, seed uint64) way {
	t := &table{random: rand.New(rand.NewPCG(seed, uint64(ordinal))), out: make([]int, nodes), report: make([]float64, nodes), at: make([]time.Duration, nodes), since: make([]int, nodes)}
	switch name {
	case "listed":
		return listed{t}
	case "uniform":
		return uniform{t}
	case "two choices":
		return twoChoices{t}
	case "two by report":
		return reported{t}
	case "least report":
		return reportedBest{t}
	case "subset":
		return newSubset(t, ordinal, nodes, coverSize)
	case "rendezvous":
		return newRendezvous(t, ordinal, nodes, coverSize)
	case "turns of all":
		return newTurns(ordinal, brokers, nodes, nodes)
	case "turns":
		return newTurns(ordinal, brokers, nodes, coverSize)
	}
	return leastOut{t}
}

// spreadRun is what one way made of one round.
type spreadRun struct {
	Way    string  `json:"way"`
	Round  int     `json:"round"`
	Full   float64 `json:"fullest_over_mean"`
	Worst  float64 `json:"worst_second"`
	Idle   int     `json:"idle_nodes"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	Pairs  int     `json:"connections"` // pairs of broker and node that met
	Most   int     `json:"most_at_a_node"`
	Slower float64 `json:"slow_nodes_part"` // what a slow node got of what another got
}

type spreadEvent struct {
	at     time.Duration
	broker int
	node   int // -1: an arrival
	sent   time.Duration
	work   time.Duration
}

type spreadQueue []spreadEvent

func (q spreadQueue) Len() int           { return len(q) }
func (q spreadQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q spreadQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *spreadQueue) Push(x any)        { *q = append(*q, x.(spreadEvent)) }
func (q *spreadQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const modelSlots = 4 // of a node

// playSpread runs the model: brokers' Poisson arrivals, nodes with slots and a queue in order of arrival.
func playSpread(cmd *cli.Command, name string, seed uint64) spreadRun {
	brokers, nodes, rate := cmd.Int("brokers"), cmd.Int("nodes"), cmd.Float("rate")
	length := cmd.Duration("for")
	service := time.Duration(cmd.Float("load") * float64(nodes*modelSlots) / (rate * float64(brokers)) * float64(time.Second))
	random := rand.New(rand.NewPCG(seed, 0x5b)) // the same draws for each way
	all := make([]way, brokers)
	for b := range all {
		all[b] = newWay(name, b, brokers, nodes, seed)
	}
	hot := 0
	if cmd.Float("uneven") > 1 {
		hot = max(1, brokers/20)
	}
	rateOf := func(b int) float64 {
		if b < hot {
			return rate * cmd.Float("uneven")
		}
		return max(rate/10, rate*(float64(brokers)-float64(hot)*cmd.Float("uneven"))/float64(brokers-hot))
	}
	slow := int(cmd.Float("slow") * float64(nodes))
	var q spreadQueue
	for b := range all {
		for at := 0.0; ; {
			if at += random.ExpFloat64() / rateOf(b); at >= length.Seconds() {
				break
			}
			q = append(q, spreadEvent{at: time.Duration(at * float64(time.Second)), broker: b, node: -1, work: time.Duration(random.ExpFloat64() * float64(service))})
		}
	}
	heap.Init(&q)
	busy, waiting := make([]int, nodes), make([][]spreadEvent, nodes)
	counts, pairs := make([]int, nodes), map[[2]int]bool{}
	seconds := make([][]int, int(length/time.Second))
	for i := range seconds {
		seconds[i] = make([]int, nodes)
	}
	var times []time.Duration
	begin := func(now time.Duration, e spreadEvent) {
		busy[e.node]++
		work := e.work
		if e.node < slow {
			work *= 2
		}
		e.at = now + work
		heap.Push(&q, e)
	}
	for len(q) > 0 {
		e := heap.Pop(&q).(spreadEvent)
		if e.node < 0 {
			if name == "oracle" {
				e.node = 0
				for n := range busy {
					if busy[n]+len(waiting[n]) < busy[e.node]+len(waiting[e.node]) {
						e.node = n
					}
				}
			} else {
				e.node = all[e.broker].choose(e.at)
				all[e.broker].sent(e.at, e.node)
			}
			e.sent = e.at
			counts[e.node]++
			seconds[int(e.at/time.Second)][e.node]++
			pairs[[2]int{e.broker, e.node}] = true
			if busy[e.node] < modelSlots {
				begin(e.at, e)
			} else {
				waiting[e.node] = append(waiting[e.node], e)
			}
			continue
		}
		busy[e.node]--
		times = append(times, e.at-e.sent)
		if len(waiting[e.node]) > 0 {
			next := waiting[e.node][0]
			waiting[e.node] = waiting[e.node][1:]
			begin(e.at, next)
		}
		if name != "oracle" {
			all[e.broker].answered(e.at, e.node, e.at-e.sent, busy[e.node]+len(waiting[e.node]))
		}
	}
	slices.Sort(times)
	run := spreadRun{Way: name, P50: times[len(times)/2].Seconds() * 1000, P99: times[len(times)*99/100].Seconds() * 1000, Pairs: len(pairs)}
	perNode := make([]int, nodes)
	for p := range pairs {
		perNode[p[1]]++
	}
	run.Most = slices.Max(perNode)
	full := func(counts []int) float64 {
		sum := 0
		for _, c := range counts {
			sum += c
		}
		return float64(slices.Max(counts)) * float64(len(counts)) / max(1, float64(sum))
	}
	run.Full = full(counts[slow:])
	for _, s := range seconds {
		run.Worst = max(run.Worst, full(s[slow:]))
	}
	for _, c := range counts {
		if c == 0 {
			run.Idle++
		}
	}
	if slow > 0 {
		low, high := 0, 0
		for n, c := range counts {
			if n < slow {
				low += c
			} else {
				high += c
			}
		}
		run.Slower = float64(low) / float64(slow) / max(1, float64(high)/float64(nodes-slow))
	}
	return run
}

func weighSpreads(_ context.Context, cmd *cli.Command) error {
	for key, ok := range map[string]bool{"brokers": cmd.Int("brokers") >= 1 && cmd.Int("brokers") <= 2000, "nodes": cmd.Int("nodes") >= 2 && cmd.Int("nodes") <= 2000,
		"rate": cmd.Float("rate") > 0, "load": cmd.Float("load") > 0 && cmd.Float("load") < 1, "slow": cmd.Float("slow") >= 0 && cmd.Float("slow") < 0.5,
		"for": cmd.Duration("for") >= time.Second && cmd.Duration("for") <= time.Hour, "rounds": cmd.Int("rounds") >= 1 && cmd.Int("rounds") <= 100} {
		if !ok {
			return fmt.Errorf("--%s is out of range", key)
		}
	}
	runs := make([]spreadRun, cmd.Int("rounds")*len(ways))
	var wait sync.WaitGroup
	cores := make(chan struct{}, 6)
	for round := range cmd.Int("rounds") {
		for i, name := range ways {
			cores <- struct{}{}
			wait.Go(func() {
				run := playSpread(cmd, name, uint64(cmd.Uint("seed"))+uint64(round))
				run.Round = round
				runs[round*len(ways)+i] = run
				<-cores
			})
		}
	}
	wait.Wait()
	if err := saveJSON(cmd, runs); err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "way\tfullest/mean\tworst second\tidle\tp50 ms\tp99 ms\tp99 to the oracle's\tconnections\tmost at a node\tslow node's part\t")
	mean := func(name string, of func(spreadRun) float64) float64 {
		sum := 0.0
		for _, r := range runs {
			if r.Way == name {
				sum += of(r)
			}
		}
		return sum / float64(cmd.Int("rounds"))
	}
	for _, name := range ways {
		p99 := mean(name, func(r spreadRun) float64 { return r.P99 })
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.0f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t%.2f\t\n", name, mean(name, func(r spreadRun) float64 { return r.Full }),
			mean(name, func(r spreadRun) float64 { return r.Worst }), mean(name, func(r spreadRun) float64 { return float64(r.Idle) }),
			mean(name, func(r spreadRun) float64 { return r.P50 }), p99, p99/mean("oracle", func(r spreadRun) float64 { return r.P99 }),
			mean(name, func(r spreadRun) float64 { return float64(r.Pairs) }), mean(name, func(r spreadRun) float64 { return float64(r.Most) }),
			mean(name, func(r spreadRun) float64 { return r.Slower }))
	}
	return table.Flush()
}
