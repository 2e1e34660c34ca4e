package fleetharness

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"junctionwharf/internal/load"
)

// client sends one broker's requests, open loop: a new connection whenever all are busy.
type client struct {
	rig    *Rig
	broker *process
	random *rand.Rand
	rate   float64
	wait   sync.WaitGroup

	mu   sync.Mutex
	idle []*clientConn
	sent int
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

const (
	readDeadline  = 750 * time.Millisecond
	writeDeadline = 1200 * time.Millisecond
)

func (c *client) run(ctx context.Context, until time.Duration) {
	for at := Now(); ; {
		at += time.Duration(c.random.ExpFloat64() / (c.rate * c.broker.busier()) * float64(time.Second))
		if at >= until {
			break
		}
		timer := time.NewTimer(at - Now())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		s := c.story(c.random.Float64() < c.rig.scenario.Writes)
		shard, volume, key := c.random.IntN(c.rig.scenario.Shards), c.random.IntN(200), c.random.Uint64()
		c.wait.Go(func() { c.ask(s, shard, volume, key) })
	}
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
}

// story begins a request.
func (c *client) story(write bool) *story {
	s := &story{broker: c.broker.number, write: write, units: float64(1 + c.random.IntN(3)), deadline: readDeadline}
	if s.write {
		s.deadline = writeDeadline
	}
	c.sent++
	s.id = fmt.Sprintf("%08x%08x", c.broker.number, c.sent)
	s.sent, s.brokerEnd = Now(), c.broker.isDown()
	c.rig.journal.send(s)
	return s
}

func (c *client) take() (*clientConn, error) {
	c.mu.Lock()
	if last := len(c.idle) - 1; last >= 0 {
		conn := c.idle[last]
		c.idle = c.idle[:last]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", c.broker.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *client) ask(s *story, shard, volume int, key uint64) {
	command, class, body := "BLK.READ", "lesson-read", []string(nil)
	if s.write {
		command, class, body = "BLK.WRITE", "record-write", []string{"BODY"}
	}
	list := fmt.Sprintf("c=%s,t=basico,d=%d,volume=%016x,units=%g,shard=%d,hosts=%d", class, s.deadline.Milliseconds(), volume, s.units, shard, c.rig.scenario.total())
	text := string(load.AppendCommand(nil, append([]string{command, fmt.Sprintf("%016x", key), s.id, list}, body...)...))
	for {
		conn, err := c.take()
		if err != nil {
			c.rig.journal.answer(s, "lost", false)
			return
		}
		_ = conn.SetDeadline(time.Now().Add(s.deadline + 2*time.Second))
		c.broker.mu.Lock()
		link := c.broker.clients
		c.broker.mu.Unlock()
		if link.cutAt > 0 && link.cutAt < len(text) {
			_, _ = io.WriteString(conn, text[:link.cutAt])
			_ = conn.Conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			c.rig.journal.answer(s, cut, false)
			return
		}
		err = link.send(conn, text, key)
		verdict := "lost"
		if err == nil {
			verdict, err = readAnswer(conn.in)
		}
		if err == nil {
			conn.used = true
			c.rig.journal.answer(s, verdict, false)
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
			return
		}
		_ = conn.Close()
		if conn.used && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) && Now() < s.sent+s.deadline {
			continue // it crossed the end of its connection: once more on a new one
		}
		c.rig.journal.answer(s, "lost", !errors.Is(err, context.DeadlineExceeded))
		return
	}
}

// cut is the verdict on a request that its client did not send whole: it is owed nothing.
const cut = "cut"

// clientLink is the way from a broker's clients to it.
type clientLink struct {
	way
	pace  float64 // bytes a second, 0 for no bound
	cutAt int     // clients reset behind so many bytes, 0 for never
	burst float64 // they ask so many times as often, 0 for as usual
}

// busier tells how many times as often as usual clients ask now.
func (p *process) busier() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(p.clients.burst, 1)
}

func (l clientLink) send(to io.Writer, text string, seed uint64) error {
	if l.delay > 0 || l.jitter > 0 {
		time.Sleep(l.takes(rand.New(rand.NewPCG(seed, 1))))
	}
	return paced(to, text, l.pace)
}

// paced writes so many bytes a second, or all at once.
func paced(to io.Writer, text string, pace float64) error {
	const piece = 16
	for pace > 0 && len(text) > piece {
		if _, err := io.WriteString(to, text[:piece]); err != nil {
			return err
		}
		text = text[piece:]
		time.Sleep(time.Duration(piece / pace * float64(time.Second)))
	}
	_, err := io.WriteString(to, text)
	return err
}

func readAnswer(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "lost", err
	}
	switch {
	case strings.HasPrefix(line, "$"):
		size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
		if err != nil || size < 0 || size > 1<<20 {
			return "failed", nil
		}
		_, err = in.Discard(size + 2)
		return "served", err
	case strings.HasPrefix(line, "-BUSY"):
		return "busy", nil
	}
	return "failed", nil
}

// Play has the traffic flow, the events happen, and returns what came of it.
func (r *Rig) Play(ctx context.Context) (*Report, error) {
	s := r.scenario
	before := r.readMeters()
	r.journal.begin(Now())
	until := r.journal.began + seconds(s.ForS)
	var wait sync.WaitGroup
	hot := 0
	if s.Uneven > 1 {
		hot = max(1, s.Brokers/20)
	}
	usual := s.Rate
	if hot > 0 { // the mean stays
		usual = s.Rate * (float64(s.Brokers) - float64(hot)*s.Uneven) / float64(s.Brokers-hot)
	}
	for i, p := range r.brokers[:s.Brokers] {
		if r.controls(i) {
			continue
		}
		c := &client{rig: r, broker: p, random: rand.New(rand.NewPCG(s.Seed, 5000+uint64(i))), rate: max(usual, s.Rate/10)}
		if i < hot {
			c.rate = s.Rate * s.Uneven
		}
		wait.Go(func() { c.run(ctx, until) })
	}
	var ends map[string]int
	if s.Agreement.ChangeS > 0 {
		wait.Go(func() { ends = r.changes(ctx, until) })
	}
	faults := make(chan error, len(s.Events)+1)
	for i := range s.Events {
		wait.Go(func() {
			if err := r.happen(ctx, s.Events[i]); err != nil {
				faults <- fmt.Errorf("event[%d]: %w", i, err)
			}
		})
	}
	wait.Wait()
	r.journal.finish()
	select {
	case err := <-faults:
		return nil, err
	default:
	}
	after := r.readMeters()
	rep := r.report()
	rep.Hollow, rep.Costs = s.Hollow.Brokers, r.costs(before, after)
	if s.Agreement.Voters > 0 {
		rep.Agreement = &AgreementReport{Contradiction: r.Contradictions(), Ends: ends}
		rep.Agreement.spent(rep.Costs)
	}
	return rep, ctx.Err()
}

func (r *Rig) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// happen carries out one event, and undoes it when its time is over.
func (r *Rig) happen(ctx context.Context, e Event) error {
	r.sleep(ctx, r.journal.began+seconds(e.AtS)-Now())
	if ctx.Err() != nil {
		return nil
	}
	if slices.Contains(brokerEvents, e.What) {
		all := e.Brokers
		for waves := max(1, e.Waves); len(all) > 0; waves-- {
			some := (len(all) + waves - 1) / waves
			if e.Brokers, all = all[:some], all[some:]; ctx.Err() == nil {
				if err := r.strike(ctx, e); err != nil {
					return err
				}
			}
		}
		return nil
	}
	from := e.Brokers
	if len(from) == 0 {
		from = []int{-1}
	}
	all := func(change func(*fault)) {
		for _, i := range e.Nodes {
			for _, b := range from {
				r.nodes[i].set(b, change)
			}
		}
	}
	undo := func() {}
	switch e.What {
	case "silent":
		all(func(f *fault) { f.silent = true })
		undo = func() { all(func(f *fault) { f.silent = false }) }
	case "oneway":
		all(func(f *fault) { f.oneway = true })
		undo = func() { all(func(f *fault) { f.oneway = false }) }
	case "delay", "loss", "pace", "cut":
		w, pace, cutAt := way{delay: milliseconds(e.MS), jitter: milliseconds(e.JitterMS)}, 0.0, 0
		switch e.What {
		case "loss":
			w.loss = e.By
		case "pace":
			pace = e.By
		case "cut":
			cutAt = int(e.By)
		}
		by := func(sign int) func(*fault) {
			add := func(to *way) {
				to.delay, to.jitter, to.loss = to.delay+time.Duration(sign)*w.delay, to.jitter+time.Duration(sign)*w.jitter, to.loss+float64(sign)*w.loss
			}
			return func(f *fault) {
				if e.Way != "requests" {
					add(&f.out)
				}
				if e.Way == "requests" || e.Way == "both" {
					add(&f.in)
				}
				f.pace, f.cutAt = f.pace+float64(sign)*pace, f.cutAt+sign*cutAt
			}
		}
		all(by(1))
		undo = func() { all(by(-1)) }
	case "slow", "lie":
		each := func(speed float64, lie bool) {
			for _, i := range e.Nodes {
				n := r.nodes[i]
				n.mu.Lock()
				if n.lie = lie; !lie || e.What == "slow" {
					n.speed = speed
				}
				n.mu.Unlock()
			}
		}
		each(e.By, e.What == "lie")
		undo = func() { each(1, false) }
		if e.What == "lie" {
			each(1, true)
		}
	case "reset":
		for _, i := range e.Nodes {
			r.nodes[i].mu.Lock()
			r.nodes[i].reset()
			r.nodes[i].mu.Unlock()
		}
	case "crash":
		for _, i := range e.Nodes {
			r.nodes[i].close()
		}
		undo = func() {
			for _, i := range e.Nodes {
				n := r.nodes[i]
				n.mu.Lock()
				n.born = Now()
				n.mu.Unlock()
				if n.listen() == nil {
					r.registry.change(r.registry.entry(n, "SERVING", 0))
				}
			}
		}
	case "drain":
		for _, i := range e.Nodes {
			r.registry.change(r.registry.entry(r.nodes[i], "DRAINING", 0))
		}
		undo = func() {
			for _, i := range e.Nodes {
				r.registry.change(r.registry.entry(r.nodes[i], "SERVING", 0))
			}
		}
	case "join":
		for _, i := range e.Nodes {
			n, err := newNode(r, s0(r, i), r.nodes[i].shard, fmt.Sprintf("node-%d-new", i))
			if err != nil {
				return err
			}
			n.born = Now()
			r.journal.mu.Lock()
			r.nodes = append(r.nodes, n)
			r.journal.mu.Unlock()
			r.registry.change(r.registry.entry(n, "SERVING", 0))
		}
	}
	if e.ForS > 0 {
		r.sleep(ctx, seconds(e.ForS))
		undo()
	}
	return nil
}

// s0 is the number of the node that joins beside node i.
func s0(r *Rig, i int) int { return r.scenario.Node.Count + i }

// strike carries out an event of brokers.
func (r *Rig) strike(ctx context.Context, e Event) error {
	var wait sync.WaitGroup
	known := r.registry.known()
	faults := make(chan error, len(e.Brokers))
	for _, b := range e.Brokers {
		p := r.brokers[b]
		wait.Go(func() {
			switch e.What {
			case "kill", "term":
				with := syscall.SIGKILL
				if e.What == "term" {
					with = syscall.SIGTERM
				}
				r.end(p, with)
				<-p.done
				r.excuse(b)
				if e.ForS > 0 {
					r.sleep(ctx, seconds(e.ForS))
					if ctx.Err() == nil {
						began := Now()
						err := r.launch(p, known)
						if err == nil {
							if err = r.ready(ctx, p); err == nil {
								r.mu.Lock()
								r.restarts = append(r.restarts, Now()-began)
								r.mu.Unlock()
							}
						}
						r.excuse(b)
						p.setDown(false)
						if err != nil && ctx.Err() == nil {
							faults <- err
						}
					}
				}
			case "stop":
				p.setDown(true)
				_ = p.command.Process.Signal(syscall.SIGSTOP)
				r.excuse(b) // of a long stop clients give up before its end
				r.sleep(ctx, seconds(e.ForS))
				r.excuse(b)
				_ = p.command.Process.Signal(syscall.SIGCONT)
				p.setDown(false)
			case "agree_cut", "agree_mute", "agree_deaf": // of all of them together, below
			default:
				r.spoil(p, e, true)
				if e.ForS > 0 {
					r.sleep(ctx, seconds(e.ForS))
					r.spoil(p, e, false)
				}
			}
		})
	}
	wait.Wait()
	if strings.HasPrefix(e.What, "agree_") {
		mend := r.Part(e.What != "agree_deaf", e.What != "agree_mute", e.Brokers...)
		if e.ForS > 0 {
			r.sleep(ctx, seconds(e.ForS))
			mend()
		}
	}
	select {
	case err := <-faults:
		return err
	default:
		return nil
	}
}

func (r *Rig) spoil(p *process, e Event, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := way{delay: milliseconds(e.MS), jitter: milliseconds(e.JitterMS)}
	if !on {
		w, e.By = way{}, 0
	}
	switch e.What {
	case "deaf":
		if p.datagrams.loss = 0; on {
			p.datagrams.loss = e.By
			if e.By == 0 {
				p.datagrams.loss = 1
			}
		}
	case "datagrams":
		p.datagrams.delay, p.datagrams.jitter = w.delay, w.jitter
	case "client_delay":
		p.clients.way = w
	case "client_pace":
		p.clients.pace = e.By
	case "client_cut":
		p.clients.cutAt = int(e.By)
	case "burst":
		p.clients.burst = e.By
	default:
		v := view{late: -1}
		if on {
			switch e.What {
			case "stale":
				v.stale = true
			case "late":
				v.late = w.delay
			case "blind":
				v.blind = true
			case "empty":
				v.empty = true
			case "contradict":
				for _, i := range e.Nodes {
					v.leaving = append(v.leaving, r.nodes[i].name)
				}
			}
		}
		r.registry.view(p.number, v)
	}
}

// Report is what a run came to.
type Report struct {
	Scenario  string           `json:"scenario"`
	Seed      uint64           `json:"seed"`
	Brokers   int              `json:"brokers"`
	Nodes     int              `json:"nodes"`
	Phases    []Phase          `json:"phases"`
	All       Phase            `json:"all"`
	PerNode   map[string]int   `json:"per_node"`
	Dials     int              `json:"dials"`      // connections to nodes
	Peak      int              `json:"peak_conns"` // the most at one node
	Calls     int              `json:"discovery_calls"`
	Sent      int64            `json:"datagrams"`
	Bytes     int64            `json:"datagram_bytes"`
	Breaches  []Breach         `json:"breaches"`
	Agreement *AgreementReport `json:"agreement,omitempty"`
	Hollow    int              `json:"hollow,omitempty"` // brokers beside
	Costs     []Cost           `json:"costs,omitempty"`
	Cold      []ColdSecond     `json:"cold,omitempty"`     // by node and second of its age
	ReadyMS   []float64        `json:"ready_ms,omitempty"` // of brokers that were started again, from the start to the first answer, in order
	// EvenAfter is, for each event, the seconds from its end until load is even, -1 for not within the run.
	EvenAfter []float64 `json:"even_after_s"`
}

// Phase is a stretch between two events, by the time at which requests were sent.
type Phase struct {
	FromS   float64 `json:"from_s"`
	ToS     float64 `json:"to_s"`
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	InAim   int     `json:"in_aim"`
	Busy    int     `json:"busy"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"`
	Down    int     `json:"broker_down"` // those whose broker was ended or stopped meanwhile, or whose client broke off; they count nowhere else
	Late    int     `json:"late"`        // answered after the deadline and the protocol's slack of 58 ms
	P50     int64   `json:"p50_us"`
	P99     int64   `json:"p99_us"`
	Full    float64 `json:"fullest_over_mean"`
	Worst   float64 `json:"worst_second"` // fullest over mean
	Idle    int     `json:"idle_nodes"`
	WorstAt string  `json:"worst_at"`
	Random  float64 `json:"random_worst_second"` // had each request gone to a node drawn evenly from those that could be used: the median of draws
}

const protocolSlack = 58 * time.Millisecond

func (r *Rig) report() *Report {
	s := r.scenario
	rep := &Report{Scenario: s.Name, Seed: s.Seed, Brokers: s.Brokers, Nodes: s.Node.Count, PerNode: map[string]int{}, Breaches: r.journal.breaches}
	cuts := []float64{0, s.ForS}
	for _, e := range s.Events {
		cuts = append(cuts, e.AtS)
		if e.ForS > 0 && e.AtS+e.ForS < s.ForS {
			cuts = append(cuts, e.AtS+e.ForS)
		}
	}
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	for i := 1; i < len(cuts); i++ {
		rep.Phases = append(rep.Phases, r.phase(cuts[i-1], cuts[i]))
	}
	rep.All = r.phase(0, s.ForS)
	for _, e := range s.Events {
		rep.EvenAfter = append(rep.EvenAfter, r.evenAfter(e))
	}
	for _, n := range r.nodes {
		n.mu.Lock()
		for _, c := range n.served {
			rep.PerNode[n.name] += c
		}
		rep.Cold = append(rep.Cold, n.cold...)
		rep.Dials += n.dials
		rep.Peak = max(rep.Peak, n.peak)
		n.mu.Unlock()
	}
	r.mu.Lock()
	for _, took := range r.restarts {
		rep.ReadyMS = append(rep.ReadyMS, took.Seconds()*1000)
	}
	r.mu.Unlock()
	slices.Sort(rep.ReadyMS)
	r.registry.mu.Lock()
	rep.Calls = r.registry.calls
	r.registry.mu.Unlock()
	for _, l := range r.relays {
		rep.Sent += l.sent.Load()
		rep.Bytes += l.bytes.Load()
	}
	return rep
}

func (r *Rig) phase(from, to float64) Phase {
	p := Phase{FromS: from, ToS: to}
	latency := hdrhistogram.New(1, 100_000_000, 3)
	r.journal.mu.Lock()
	began := r.journal.began
	counts := make([]int, len(r.nodes))
	span := max(1, int(to-from))
	bySecond := make([][]int, span)
	for i := range bySecond {
		bySecond[i] = make([]int, len(r.nodes))
	}
	index := r.index()
	for _, s := range r.journal.order {
		for _, a := range s.attempts {
			if at := (a.at - began).Seconds(); at >= from && at < to && a.ran {
				counts[index[a.node]]++
				if i := int(at - from); i < span {
					bySecond[i][index[a.node]]++
				}
			}
		}
		at := (s.sent - began).Seconds()
		if at < from || at >= to {
			continue
		}
		if s.brokerEnd || s.verdict == cut {
			p.Down++
			continue
		}
		p.Sent++
		took := s.answered - s.sent
		switch s.verdict {
		case "served":
			p.Served++
			if took <= 150*time.Millisecond {
				p.InAim++
			}
		case "busy":
			p.Busy++
		case "failed":
			p.Failed++
		default:
			p.Lost++
			continue
		}
		_ = latency.RecordValue(max(1, min(took.Microseconds(), 100_000_000)))
		if took > s.deadline+protocolSlack {
			p.Late++
		}
	}
	r.journal.mu.Unlock()
	p.P50, p.P99 = latency.ValueAtPercentile(50), latency.ValueAtPercentile(99)
	p.Full, p.Idle = fullest(counts)
	for _, n := range r.nodes {
		if (n.born - began).Seconds() >= to {
			p.Idle-- // it joined later
		}
	}
	p.Random = r.drawnWorst(from, bySecond)
	for i, second := range bySecond {
		if full, _ := fullest(second); full > p.Worst {
			p.Worst = full
			p.WorstAt = fmt.Sprintf("%s at %g s", r.nodes[slices.Index(second, slices.Max(second))].name, from+float64(i))
		}
	}
	return p
}

// evenWindow is over how long load is looked at for being even.
const evenWindow = 2.0

// evenAfter is how long after an event's end load is even again: the nodes that it hit get 0.8 of the mean or more, and the
// fullest no more than 1.2 times what an even draw would give it.
func (r *Rig) evenAfter(e Event) float64 {
	end := e.AtS + e.ForS
	if e.ForS == 0 {
		return 0
	}
	for t := end; t+evenWindow <= r.scenario.ForS; t += 0.25 {
		counts := r.countsIn(t, t+evenWindow)
		sum, hit := 0, 0
		for i, c := range counts {
			sum += c
			if slices.Contains(e.Nodes, i) {
				hit += c
			}
		}
		full, _ := fullest(counts)
		of := drawnFullest(rand.New(rand.NewPCG(r.scenario.Seed, 78)), counts, r.places())
		mean := float64(sum) / float64(len(counts))
		if sum > 0 && full <= 1.2*of && (len(e.Nodes) == 0 || float64(hit) >= 0.8*mean*float64(len(e.Nodes))) {
			return t - end
		}
	}
	return -1
}

// countsIn is what each node was sent in a stretch of the run.
func (r *Rig) countsIn(from, to float64) []int {
	r.journal.mu.Lock()
	defer r.journal.mu.Unlock()
	counts, index := make([]int, len(r.nodes)), r.index()
	for _, s := range r.journal.order {
		for _, a := range s.attempts {
			if at := (a.at - r.journal.began).Seconds(); at >= from && at < to && a.ran {
				counts[index[a.node]]++
			}
		}
	}
	return counts
}

// index finds nodes by their numbers: one that joined later has its own.
func (r *Rig) index() map[int]int {
	index := map[int]int{}
	for i, n := range r.nodes {
		index[n.number] = i
	}
	return index
}

// draws is how often the phase is drawn anew for the comparison: a worst second of one draw scatters by a tenth.
const draws = 41

// drawnWorst is the median over draws of a phase's worst second, had each request gone to a node drawn evenly from those that
// no event kept from serving for any of that second.
func (r *Rig) drawnWorst(from float64, bySecond [][]int) float64 {
	random := rand.New(rand.NewPCG(r.scenario.Seed, 77))
	worst := make([]float64, draws)
	for i, second := range bySecond {
		usable := r.usable(from+float64(i), from+float64(i)+1)
		for k := range worst {
			worst[k] = max(worst[k], drawnFullest(random, second, usable))
		}
	}
	slices.Sort(worst)
	return worst[draws/2]
}

// usable are the places of nodes that serve all brokers through a stretch of the run, or of all if there is none.
func (r *Rig) usable(from, to float64) []int {
	var places []int
	for i, n := range r.nodes {
		out := n.born > 0 && (n.born-r.journal.began).Seconds() > from
		for _, e := range r.scenario.Events {
			ends := e.AtS + e.ForS
			if e.ForS == 0 {
				ends = r.scenario.ForS
			}
			takesOut := slices.Contains([]string{"silent", "oneway", "crash", "drain"}, e.What) && len(e.Brokers) == 0
			out = out || takesOut && slices.Contains(e.Nodes, n.number) && e.AtS < to && ends > from
		}
		if !out {
			places = append(places, i)
		}
	}
	if len(places) == 0 {
		return r.places()
	}
	return places
}

// places are those of all nodes.
func (r *Rig) places() []int {
	places := make([]int, len(r.nodes))
	for i := range places {
		places[i] = i
	}
	return places
}

// drawnFullest is what fullest would be, had each of these requests gone to a node drawn evenly from some places.
func drawnFullest(random *rand.Rand, counts, places []int) float64 {
	drawn := make([]int, len(counts))
	for _, c := range counts {
		for range c {
			drawn[places[random.IntN(len(places))]]++
		}
	}
	full, _ := fullest(drawn)
	return full
}

// fullest is the largest count over the mean, and how many are 0.
func fullest(counts []int) (ratio float64, idle int) {
	sum, most := 0, 0
	for _, c := range counts {
		sum += c
		most = max(most, c)
		if c == 0 {
			idle++
		}
	}
	if sum == 0 {
		return 0, idle
	}
	return float64(most) * float64(len(counts)) / float64(sum), idle
}

// Stories tells what became of up to so many requests of each ending other than served.
func (r *Rig) Stories(most int) []string {
	r.journal.mu.Lock()
	defer r.journal.mu.Unlock()
	var told []string
	count := map[string]int{}
	for _, s := range r.journal.order {
		if s.verdict != "served" && !s.brokerEnd && count[s.verdict] < most {
			count[s.verdict]++
			told = append(told, s.verdict+": "+r.journal.tell(s))
		}
	}
	return told
}
