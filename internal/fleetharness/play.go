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
type trafficClient struct {
	rig    *Fleet
	broker *broker
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

func (c *trafficClient) run(ctx context.Context, until time.Duration) {
	for at := Now(); ; {
		at += time.Duration(c.random.ExpFloat64() / (c.rate * c.broker.burstFactor()) * float64(time.Second))
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
		s := c.newRequest(c.random.Float64() < c.rig.scenario.WriteFraction)
		shard, volume, key := c.random.IntN(c.rig.scenario.Shards), c.random.IntN(200), c.random.Uint64()
		c.wait.Go(func() { c.send(s, shard, volume, key) })
	}
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
}

// story begins a request.
func (c *trafficClient) newRequest(write bool) *request {
	s := &request{broker: c.broker.number, write: write, units: float64(1 + c.random.IntN(3)), deadline: readDeadline}
	if s.write {
		s.deadline = writeDeadline
	}
	c.sent++
	s.id = fmt.Sprintf("%08x%08x", c.broker.number, c.sent)
	s.sentAt, s.excused = Now(), c.broker.isDown()
	c.rig.recorder.addRequest(s)
	return s
}

func (c *trafficClient) acquire() (*clientConn, error) {
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

func (c *trafficClient) send(s *request, shard, volume int, key uint64) {
	command, class, body := "BLK.READ", "lesson-read", []string(nil)
	if s.write {
		command, class, body = "BLK.WRITE", "record-write", []string{"BODY"}
	}
	list := fmt.Sprintf("c=%s,t=basico,d=%d,volume=%016x,units=%g,shard=%d,hosts=%d", class, s.deadline.Milliseconds(), volume, s.units, shard, c.rig.scenario.total())
	text := string(load.AppendCommand(nil, append([]string{command, fmt.Sprintf("%016x", key), s.id, list}, body...)...))
	for {
		conn, err := c.acquire()
		if err != nil {
			c.rig.recorder.requestEnded(s, "lost", false)
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
			c.rig.recorder.requestEnded(s, outcomeCut, false)
			return
		}
		err = link.send(conn, text, key)
		verdict := "lost"
		if err == nil {
			verdict, err = readAnswer(conn.in)
		}
		if err == nil {
			conn.used = true
			c.rig.recorder.requestEnded(s, verdict, false)
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
			return
		}
		_ = conn.Close()
		if conn.used && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) && Now() < s.sentAt+s.deadline {
			continue // it crossed the end of its connection: once more on a new one
		}
		c.rig.recorder.requestEnded(s, "lost", !errors.Is(err, context.DeadlineExceeded))
		return
	}
}

// cut is the verdict on a request that its client did not send whole: it is owed nothing.
const outcomeCut = "cut"

// clientLink is the way from a broker's clients to it.
type clientLink struct {
	linkQuality
	pace  float64 // bytes a second, 0 for no bound
	cutAt int     // clients reset behind so many bytes, 0 for never
	burst float64 // they ask so many times as often, 0 for as usual
}

// busier tells how many times as often as usual clients ask now.
func (p *broker) burstFactor() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(p.clients.burst, 1)
}

func (l clientLink) send(to io.Writer, text string, seed uint64) error {
	if l.delay > 0 || l.jitter > 0 {
		time.Sleep(l.transitTime(rand.New(rand.NewPCG(seed, 1))))
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

// Run has the traffic flow, the events happen, and returns what came of it.
func (r *Fleet) Run(ctx context.Context) (*Report, error) {
	s := r.scenario
	before := r.readMeters()
	r.recorder.moveStart(Now())
	until := r.recorder.startedAt + seconds(s.DurationS)
	var wait sync.WaitGroup
	hot := 0
	if s.HotFactor > 1 {
		hot = max(1, s.Brokers/20)
	}
	usual := s.Rate
	if hot > 0 { // the mean stays
		usual = s.Rate * (float64(s.Brokers) - float64(hot)*s.HotFactor) / float64(s.Brokers-hot)
	}
	for i, p := range r.brokers[:s.Brokers] {
		if r.isDedicatedVoter(i) {
			continue
		}
		c := &trafficClient{rig: r, broker: p, random: rand.New(rand.NewPCG(s.Seed, 5000+uint64(i))), rate: max(usual, s.Rate/10)}
		if i < hot {
			c.rate = s.Rate * s.HotFactor
		}
		wait.Go(func() { c.run(ctx, until) })
	}
	var ends map[string]int
	if s.Agreement.ChangeIntervalS > 0 {
		wait.Go(func() { ends = r.proposeChanges(ctx, until) })
	}
	faults := make(chan error, len(s.Events)+1)
	for i := range s.Events {
		wait.Go(func() {
			if err := r.applyEvent(ctx, s.Events[i]); err != nil {
				faults <- fmt.Errorf("event[%d]: %w", i, err)
			}
		})
	}
	wait.Wait()
	r.recorder.checkAtEnd()
	select {
	case err := <-faults:
		return nil, err
	default:
	}
	after := r.readMeters()
	rep := r.buildReport()
	rep.HollowBrokers, rep.Costs = s.Hollow.Brokers, r.costs(before, after)
	if s.Agreement.Voters > 0 {
		rep.Agreement = &AgreementReport{Conflict: r.LongestConflict(), ProposalOutcomes: ends}
		rep.Agreement.addCosts(rep.Costs)
	}
	return rep, ctx.Err()
}

func (r *Fleet) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// happen carries out one event, and undoes it when its time is over.
func (r *Fleet) applyEvent(ctx context.Context, e Event) error {
	r.sleep(ctx, r.recorder.startedAt+seconds(e.AtS)-Now())
	if ctx.Err() != nil {
		return nil
	}
	if slices.Contains(brokerEvents, e.Kind) {
		all := e.Brokers
		for waves := max(1, e.Waves); len(all) > 0; waves-- {
			some := (len(all) + waves - 1) / waves
			if e.Brokers, all = all[:some], all[some:]; ctx.Err() == nil {
				if err := r.applyBrokerEvent(ctx, e); err != nil {
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
	all := func(change func(*linkFault)) {
		for _, i := range e.Nodes {
			for _, b := range from {
				r.nodes[i].setFault(b, change)
			}
		}
	}
	undo := func() {}
	switch e.Kind {
	case "silent":
		all(func(f *linkFault) { f.silent = true })
		undo = func() { all(func(f *linkFault) { f.silent = false }) }
	case "oneway":
		all(func(f *linkFault) { f.answersLost = true })
		undo = func() { all(func(f *linkFault) { f.answersLost = false }) }
	case "delay", "loss", "pace", "cut":
		w, pace, cutAt := linkQuality{delay: milliseconds(e.DelayMS), jitter: milliseconds(e.JitterMS)}, 0.0, 0
		switch e.Kind {
		case "loss":
			w.loss = e.Amount
		case "pace":
			pace = e.Amount
		case "cut":
			cutAt = int(e.Amount)
		}
		by := func(sign int) func(*linkFault) {
			add := func(to *linkQuality) {
				to.delay, to.jitter, to.loss = to.delay+time.Duration(sign)*w.delay, to.jitter+time.Duration(sign)*w.jitter, to.loss+float64(sign)*w.loss
			}
			return func(f *linkFault) {
				if e.Direction != "requests" {
					add(&f.answers)
				}
				if e.Direction == "requests" || e.Direction == "both" {
					add(&f.requests)
				}
				f.bytesPerSecond, f.cutAt = f.bytesPerSecond+float64(sign)*pace, f.cutAt+sign*cutAt
			}
		}
		all(by(1))
		undo = func() { all(by(-1)) }
	case "slow", "lie":
		each := func(speed float64, lie bool) {
			for _, i := range e.Nodes {
				n := r.nodes[i]
				n.mu.Lock()
				if n.reportsIdle = lie; !lie || e.Kind == "slow" {
					n.speed = speed
				}
				n.mu.Unlock()
			}
		}
		each(e.Amount, e.Kind == "lie")
		undo = func() { each(1, false) }
		if e.Kind == "lie" {
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
				n.startedAt = Now()
				n.mu.Unlock()
				if n.listen() == nil {
					r.discovery.publish(r.discovery.entry(n, "SERVING", 0))
				}
			}
		}
	case "drain":
		for _, i := range e.Nodes {
			r.discovery.publish(r.discovery.entry(r.nodes[i], "DRAINING", 0))
		}
		undo = func() {
			for _, i := range e.Nodes {
				r.discovery.publish(r.discovery.entry(r.nodes[i], "SERVING", 0))
			}
		}
	case "join":
		for _, i := range e.Nodes {
			n, err := newNode(r, s0(r, i), r.nodes[i].shard, fmt.Sprintf("node-%d-new", i))
			if err != nil {
				return err
			}
			n.startedAt = Now()
			r.recorder.mu.Lock()
			r.nodes = append(r.nodes, n)
			r.recorder.mu.Unlock()
			r.discovery.publish(r.discovery.entry(n, "SERVING", 0))
		}
	}
	if e.DurationS > 0 {
		r.sleep(ctx, seconds(e.DurationS))
		undo()
	}
	return nil
}

// s0 is the number of the node that joins beside node i.
func s0(r *Fleet, i int) int { return r.scenario.Node.Count + i }

// strike carries out an event of brokers.
func (r *Fleet) applyBrokerEvent(ctx context.Context, e Event) error {
	var wait sync.WaitGroup
	known := r.discovery.currentList()
	faults := make(chan error, len(e.Brokers))
	for _, b := range e.Brokers {
		p := r.brokers[b]
		wait.Go(func() {
			switch e.Kind {
			case "kill", "term":
				with := syscall.SIGKILL
				if e.Kind == "term" {
					with = syscall.SIGTERM
				}
				r.terminate(p, with)
				<-p.done
				r.excuseRequests(b)
				if e.DurationS > 0 {
					r.sleep(ctx, seconds(e.DurationS))
					if ctx.Err() == nil {
						began := Now()
						err := r.startBroker(p, known)
						if err == nil {
							if err = r.awaitReady(ctx, p); err == nil {
								r.mu.Lock()
								r.restartTimes = append(r.restartTimes, Now()-began)
								r.mu.Unlock()
							}
						}
						r.excuseRequests(b)
						p.setDown(false)
						if err != nil && ctx.Err() == nil {
							faults <- err
						}
					}
				}
			case "stop":
				p.setDown(true)
				_ = p.command.Process.Signal(syscall.SIGSTOP)
				r.excuseRequests(b) // of a long stop clients give up before its end
				r.sleep(ctx, seconds(e.DurationS))
				r.excuseRequests(b)
				_ = p.command.Process.Signal(syscall.SIGCONT)
				p.setDown(false)
			case "agree_cut", "agree_mute", "agree_deaf": // of all of them together, below
			default:
				r.setBrokerFault(p, e, true)
				if e.DurationS > 0 {
					r.sleep(ctx, seconds(e.DurationS))
					r.setBrokerFault(p, e, false)
				}
			}
		})
	}
	wait.Wait()
	if strings.HasPrefix(e.Kind, "agree_") {
		mend := r.Partition(e.Kind != "agree_deaf", e.Kind != "agree_mute", e.Brokers...)
		if e.DurationS > 0 {
			r.sleep(ctx, seconds(e.DurationS))
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

func (r *Fleet) setBrokerFault(p *broker, e Event, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := linkQuality{delay: milliseconds(e.DelayMS), jitter: milliseconds(e.JitterMS)}
	if !on {
		w, e.Amount = linkQuality{}, 0
	}
	switch e.Kind {
	case "deaf":
		if p.peerQuality.loss = 0; on {
			p.peerQuality.loss = e.Amount
			if e.Amount == 0 {
				p.peerQuality.loss = 1
			}
		}
	case "datagrams":
		p.peerQuality.delay, p.peerQuality.jitter = w.delay, w.jitter
	case "client_delay":
		p.clients.linkQuality = w
	case "client_pace":
		p.clients.pace = e.Amount
	case "client_cut":
		p.clients.cutAt = int(e.Amount)
	case "burst":
		p.clients.burst = e.Amount
	default:
		v := discoveryView{delay: -1}
		if on {
			switch e.Kind {
			case "stale":
				v.stale = true
			case "late":
				v.delay = w.delay
			case "blind":
				v.unavailable = true
			case "empty":
				v.empty = true
			case "contradict":
				for _, i := range e.Nodes {
					v.draining = append(v.draining, r.nodes[i].name)
				}
			}
		}
		r.discovery.setView(p.number, v)
	}
}

// Report is what a run came to.
type Report struct {
	Scenario       string            `json:"scenario"`
	Seed           uint64            `json:"seed"`
	Brokers        int               `json:"brokers"`
	Nodes          int               `json:"nodes"`
	Phases         []Phase           `json:"phases"`
	All            Phase             `json:"all"`
	PerNode        map[string]int    `json:"per_node"`
	Dials          int               `json:"dials"`      // connections to nodes
	PeakConns      int               `json:"peak_conns"` // the most at one node
	DiscoveryCalls int               `json:"discovery_calls"`
	Datagrams      int64             `json:"datagrams"`
	DatagramBytes  int64             `json:"datagram_bytes"`
	Violations     []Violation       `json:"breaches"`
	Agreement      *AgreementReport  `json:"agreement,omitempty"`
	HollowBrokers  int               `json:"hollow,omitempty"` // brokers beside
	Costs          []Cost            `json:"costs,omitempty"`
	SlowStart      []SlowStartSecond `json:"cold,omitempty"`     // by node and second of its age
	RestartMS      []float64         `json:"ready_ms,omitempty"` // of brokers that were started again, from the start to the first answer, in order
	// EvenAfter is, for each event, the seconds from its end until load is even, -1 for not within the run.
	BalancedAfterS []float64 `json:"even_after_s"`
}

// Phase is a stretch between two events, by the time at which requests were sent.
type Phase struct {
	FromS             float64 `json:"from_s"`
	ToS               float64 `json:"to_s"`
	Sent              int     `json:"sent"`
	Served            int     `json:"served"`
	InObjective       int     `json:"in_aim"`
	Rejected          int     `json:"busy"`
	Failed            int     `json:"failed"`
	Lost              int     `json:"lost"`
	Excluded          int     `json:"broker_down"` // those whose broker was ended or stopped meanwhile, or whose client broke off; they count nowhere else
	Late              int     `json:"late"`        // answered after the deadline and the protocol's slack of 58 ms
	P50               int64   `json:"p50_us"`
	P99               int64   `json:"p99_us"`
	MaxOverMean       float64 `json:"fullest_over_mean"`
	WorstSecond       float64 `json:"worst_second"` // fullest over mean
	IdleNodes         int     `json:"idle_nodes"`
	WorstSecondAt     string  `json:"worst_at"`
	RandomWorstSecond float64 `json:"random_worst_second"` // had each request gone to a node drawn evenly from those that could be used: the median of draws
}

const protocolSlack = 58 * time.Millisecond

func (r *Fleet) buildReport() *Report {
	s := r.scenario
	rep := &Report{Scenario: s.Name, Seed: s.Seed, Brokers: s.Brokers, Nodes: s.Node.Count, PerNode: map[string]int{}, Violations: r.recorder.violations}
	cuts := []float64{0, s.DurationS}
	for _, e := range s.Events {
		cuts = append(cuts, e.AtS)
		if e.DurationS > 0 && e.AtS+e.DurationS < s.DurationS {
			cuts = append(cuts, e.AtS+e.DurationS)
		}
	}
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	for i := 1; i < len(cuts); i++ {
		rep.Phases = append(rep.Phases, r.phaseReport(cuts[i-1], cuts[i]))
	}
	rep.All = r.phaseReport(0, s.DurationS)
	for _, e := range s.Events {
		rep.BalancedAfterS = append(rep.BalancedAfterS, r.balancedAfter(e))
	}
	for _, n := range r.nodes {
		n.mu.Lock()
		for _, c := range n.servedBySecond {
			rep.PerNode[n.name] += c
		}
		rep.SlowStart = append(rep.SlowStart, n.slowStart...)
		rep.Dials += n.dials
		rep.PeakConns = max(rep.PeakConns, n.peak)
		n.mu.Unlock()
	}
	r.mu.Lock()
	for _, took := range r.restartTimes {
		rep.RestartMS = append(rep.RestartMS, took.Seconds()*1000)
	}
	r.mu.Unlock()
	slices.Sort(rep.RestartMS)
	r.discovery.mu.Lock()
	rep.DiscoveryCalls = r.discovery.calls
	r.discovery.mu.Unlock()
	for _, l := range r.datagramRelays {
		rep.Datagrams += l.sent.Load()
		rep.DatagramBytes += l.bytes.Load()
	}
	return rep
}

func (r *Fleet) phaseReport(from, to float64) Phase {
	p := Phase{FromS: from, ToS: to}
	latency := hdrhistogram.New(1, 100_000_000, 3)
	r.recorder.mu.Lock()
	began := r.recorder.startedAt
	counts := make([]int, len(r.nodes))
	span := max(1, int(to-from))
	bySecond := make([][]int, span)
	for i := range bySecond {
		bySecond[i] = make([]int, len(r.nodes))
	}
	index := r.nodeIndexes()
	for _, s := range r.recorder.sequence {
		for _, a := range s.attempts {
			if at := (a.arrivedAt - began).Seconds(); at >= from && at < to && a.mayHaveRun {
				counts[index[a.node]]++
				if i := int(at - from); i < span {
					bySecond[i][index[a.node]]++
				}
			}
		}
		at := (s.sentAt - began).Seconds()
		if at < from || at >= to {
			continue
		}
		if s.excused || s.outcome == outcomeCut {
			p.Excluded++
			continue
		}
		p.Sent++
		took := s.answeredAt - s.sentAt
		switch s.outcome {
		case "served":
			p.Served++
			if took <= 150*time.Millisecond {
				p.InObjective++
			}
		case "busy":
			p.Rejected++
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
	r.recorder.mu.Unlock()
	p.P50, p.P99 = latency.ValueAtPercentile(50), latency.ValueAtPercentile(99)
	p.MaxOverMean, p.IdleNodes = maxOverMean(counts)
	for _, n := range r.nodes {
		if (n.startedAt - began).Seconds() >= to {
			p.IdleNodes-- // it joined later
		}
	}
	p.RandomWorstSecond = r.drawnWorst(from, bySecond)
	for i, second := range bySecond {
		if full, _ := maxOverMean(second); full > p.WorstSecond {
			p.WorstSecond = full
			p.WorstSecondAt = fmt.Sprintf("%s at %g s", r.nodes[slices.Index(second, slices.Max(second))].name, from+float64(i))
		}
	}
	return p
}

// evenWindow is over how long load is looked at for being even.
const evenWindow = 2.0

// evenAfter is how long after an event's end load is even again: the nodes that it hit get 0.8 of the mean or more, and the
// fullest no more than 1.2 times what an even draw would give it.
func (r *Fleet) balancedAfter(e Event) float64 {
	end := e.AtS + e.DurationS
	if e.DurationS == 0 {
		return 0
	}
	for t := end; t+evenWindow <= r.scenario.DurationS; t += 0.25 {
		counts := r.attemptsBetween(t, t+evenWindow)
		sum, hit := 0, 0
		for i, c := range counts {
			sum += c
			if slices.Contains(e.Nodes, i) {
				hit += c
			}
		}
		full, _ := maxOverMean(counts)
		of := randomMaxOverMean(rand.New(rand.NewPCG(r.scenario.Seed, 78)), counts, r.places())
		mean := float64(sum) / float64(len(counts))
		if sum > 0 && full <= 1.2*of && (len(e.Nodes) == 0 || float64(hit) >= 0.8*mean*float64(len(e.Nodes))) {
			return t - end
		}
	}
	return -1
}

// countsIn is what each node was sent in a stretch of the run.
func (r *Fleet) attemptsBetween(from, to float64) []int {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	counts, index := make([]int, len(r.nodes)), r.nodeIndexes()
	for _, s := range r.recorder.sequence {
		for _, a := range s.attempts {
			if at := (a.arrivedAt - r.recorder.startedAt).Seconds(); at >= from && at < to && a.mayHaveRun {
				counts[index[a.node]]++
			}
		}
	}
	return counts
}

// index finds nodes by their numbers: one that joined later has its own.
func (r *Fleet) nodeIndexes() map[int]int {
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
func (r *Fleet) drawnWorst(from float64, bySecond [][]int) float64 {
	random := rand.New(rand.NewPCG(r.scenario.Seed, 77))
	worst := make([]float64, draws)
	for i, second := range bySecond {
		usable := r.usable(from+float64(i), from+float64(i)+1)
		for k := range worst {
			worst[k] = max(worst[k], randomMaxOverMean(random, second, usable))
		}
	}
	slices.Sort(worst)
	return worst[draws/2]
}

// usable are the places of nodes that serve all brokers through a stretch of the run, or of all if there is none.
func (r *Fleet) usable(from, to float64) []int {
	var places []int
	for i, n := range r.nodes {
		out := n.startedAt > 0 && (n.startedAt-r.recorder.startedAt).Seconds() > from
		for _, e := range r.scenario.Events {
			ends := e.AtS + e.DurationS
			if e.DurationS == 0 {
				ends = r.scenario.DurationS
			}
			takesOut := slices.Contains([]string{"silent", "oneway", "crash", "drain"}, e.Kind) && len(e.Brokers) == 0
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
func (r *Fleet) places() []int {
	places := make([]int, len(r.nodes))
	for i := range places {
		places[i] = i
	}
	return places
}

// drawnFullest is what fullest would be, had each of these requests gone to a node drawn evenly from some places.
func randomMaxOverMean(random *rand.Rand, counts, places []int) float64 {
	drawn := make([]int, len(counts))
	for _, c := range counts {
		for range c {
			drawn[places[random.IntN(len(places))]]++
		}
	}
	full, _ := maxOverMean(drawn)
	return full
}

// fullest is the largest count over the mean, and how many are 0.
func maxOverMean(counts []int) (ratio float64, idle int) {
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

// DescribeUnserved tells what became of up to so many requests of each ending other than served.
func (r *Fleet) DescribeUnserved(most int) []string {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	var told []string
	count := map[string]int{}
	for _, s := range r.recorder.sequence {
		if s.outcome != "served" && !s.excused && count[s.outcome] < most {
			count[s.outcome]++
			told = append(told, s.outcome+": "+r.recorder.describe(s))
		}
	}
	return told
}
