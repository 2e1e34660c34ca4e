package fleetharness

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"junctionwharf/internal/fakes"
)

// fault is what is wrong between a broker and a node. The zero value is nothing.
type linkFault struct {
	silent         bool        // what the node would say is not sent, nor is more read
	answersLost    bool        // what it would say is not sent, but it reads and works
	answers        linkQuality // answers
	requests       linkQuality // requests
	bytesPerSecond float64     // bytes a second of answers, 0 for no bound
	cutAt          int         // the connection is reset behind so many bytes of an answer, 0 for never
}

// way is one direction of a link.
type linkQuality struct {
	delay  time.Duration
	jitter time.Duration // drawn on top of it
	loss   float64       // part of what is sent that TCP sends again
}

func (w linkQuality) combine(v linkQuality) linkQuality {
	return linkQuality{w.delay + v.delay, w.jitter + v.jitter, max(w.loss, v.loss)}
}

// retransmit is when TCP first sends again what was lost; each further time takes twice as long.
const retransmit = 200 * time.Millisecond

// takes is how long something is on the way.
func (w linkQuality) transitTime(random *rand.Rand) time.Duration {
	span := w.delay + time.Duration(random.Float64()*float64(w.jitter))
	for again := retransmit; random.Float64() < w.loss && again <= 8*retransmit; again *= 2 {
		span += again
	}
	return span
}

// and is what holds where two things are wrong.
func (f linkFault) combine(g linkFault) linkFault {
	return linkFault{f.silent || g.silent, f.answersLost || g.answersLost, f.answers.combine(g.answers), f.requests.combine(g.requests), max(f.bytesPerSecond, g.bytesPerSecond), max(f.cutAt, g.cutAt)}
}

// node is a stand-in: so many slots, a queue, a speed, a cold start.
type fakeNode struct {
	rig     *Fleet
	number  int
	shard   int
	name    string
	address string // address

	mu             sync.Mutex
	changed        *sync.Cond // told when faults or slots change
	ln             net.Listener
	conns          map[*nodeConn]bool
	dials          int
	peak           int
	slotsInUse     int // slots taken
	inFlight       int // commands in hand
	speed          float64
	startedAt      time.Duration // 0: long ago
	reportsIdle    bool
	faults         map[int]linkFault // by broker, -1 for all
	random         *rand.Rand
	servedBySecond []int // by second
	rejected       int
	recentUnits    []arrival // lately, of a cold node
	slowStart      []SlowStartSecond
	closed         bool
}

type arrival struct {
	at    time.Duration
	units float64
}

// The cold start, as the settings of the rig tell brokers.
const (
	slowStartDuration = 17 * time.Second
	slowStartShare    = 0.18
	slowStartWindow   = 3 * time.Second
	slowStartMultiple = 4.0
	slowStartMinUnits = 41.0
)

func newNode(r *Fleet, number, shard int, name string) (*fakeNode, error) {
	n := &fakeNode{rig: r, number: number, shard: shard, name: name, address: r.address(100, number, 6379), conns: map[*nodeConn]bool{}, speed: 1, faults: map[int]linkFault{},
		random: rand.New(rand.NewPCG(r.scenario.Seed, uint64(number)))}
	n.changed = sync.NewCond(&n.mu)
	return n, n.listen()
}

func (n *fakeNode) listen() error {
	ln, err := net.Listen("tcp4", n.address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.ln, n.closed = ln, false
	n.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c := &nodeConn{Conn: conn, node: n, broker: n.rig.brokerAt(conn.RemoteAddr())}
			n.mu.Lock()
			n.conns[c] = true
			n.dials++
			n.peak = max(n.peak, len(n.conns))
			n.mu.Unlock()
			go c.serve()
		}
	}()
	return nil
}

// close ends it: connections are reset, new ones refused.
func (n *fakeNode) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.closed = true
	_ = n.ln.Close()
	n.reset()
	n.changed.Broadcast()
}

func (n *fakeNode) reset() {
	for c := range n.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// set changes what is wrong with the node, seen by one broker or by all (-1).
func (n *fakeNode) setFault(broker int, change func(*linkFault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[broker]
	change(&f)
	n.faults[broker] = f
	n.changed.Broadcast()
}

func (n *fakeNode) faultOf(broker int) linkFault {
	return n.faults[-1].combine(n.faults[broker])
}

// capacity is the part of its speed that it has: it grows evenly from its cold start on.
func (n *fakeNode) currentSpeed(now time.Duration) float64 {
	if n.startedAt == 0 || now-n.startedAt >= slowStartDuration {
		return n.speed
	}
	return n.speed * (slowStartShare + (1-slowStartShare)*float64(now-n.startedAt)/float64(slowStartDuration))
}

// full is what it serves a second when warm, in units.
func (n *fakeNode) nominalRate() float64 {
	return float64(n.rig.scenario.Node.Slots) * 1000 / n.rig.scenario.Node.UnitMS
}

// weigh notes work at a node that has just started and tells whether it is more than the rule allows.
func (n *fakeNode) addUnits(now time.Duration, units float64) bool {
	if n.startedAt == 0 || now-n.startedAt > slowStartDuration {
		return true
	}
	n.recentUnits = append(n.recentUnits, arrival{now, units})
	for len(n.recentUnits) > 0 && now-n.recentUnits[0].at > slowStartWindow {
		n.recentUnits = n.recentUnits[1:]
	}
	sum := 0.0
	for _, a := range n.recentUnits {
		sum += a.units
	}
	bears := max(slowStartMinUnits, slowStartMultiple*n.currentSpeed(now)*n.nominalRate()*slowStartWindow.Seconds())
	age := int((now - n.startedAt) / time.Second)
	if last := len(n.slowStart) - 1; last < 0 || n.slowStart[last].born != n.startedAt || n.slowStart[last].AgeS != age {
		n.slowStart = append(n.slowStart, SlowStartSecond{Node: n.name, AgeS: age, born: n.startedAt})
	}
	if c := &n.slowStart[len(n.slowStart)-1]; sum/bears >= c.part() {
		c.Units, c.Limit = sum, bears
	}
	return sum <= bears
}

// SlowStartSecond is the most that a cold node was sent by all brokers in any window of the rule's length that ended in one second of its
// age, and what it bore then.
type SlowStartSecond struct {
	Node  string  `json:"node"`
	AgeS  int     `json:"age_s"`
	Units float64 `json:"units"`
	Limit float64 `json:"bears"`

	born time.Duration
}

func (c *SlowStartSecond) part() float64 { return c.Units / max(c.Limit, 1) }

// nodeConn is a connection of a broker to a node.
type nodeConn struct {
	net.Conn
	node   *fakeNode
	broker int
}

// over tells whether the broker has ended the connection, as the kernel knows it: what this process has read may lag.
func (c *nodeConn) ended() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return c.Conn == nil // of tests
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	over := true
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		over = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return over
}

func (c *nodeConn) serve() {
	n := c.node
	defer func() {
		_ = c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	in := redcon.NewReader(c.Conn)
	for {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		text := c.serveCommand(cmd)
		if text == "" {
			return
		}
		if !c.writeAnswer(text) {
			return
		}
	}
}

// say writes an answer as the link lets it through, and tells whether the connection stands.
func (c *nodeConn) writeAnswer(text string) bool {
	c.node.mu.Lock()
	f := c.node.faultOf(c.broker)
	c.node.mu.Unlock()
	if f.cutAt > 0 && f.cutAt < len(text) {
		_, _ = io.WriteString(c.Conn, text[:f.cutAt])
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	return paced(c.Conn, text, f.bytesPerSecond) == nil
}

// answer does one command, empty if its connection is over.
func (c *nodeConn) serveCommand(cmd redcon.Command) string {
	if len(cmd.Args) < 4 {
		return "+OK\r\n"
	}
	n, id, list := c.node, string(cmd.Args[2]), string(cmd.Args[3])
	units := fakes.NumberField(list, "units")
	n.mu.Lock()
	f := n.faultOf(c.broker)
	blocked, late := f.silent, f.requests.transitTime(n.random)
	n.mu.Unlock()
	if late > 0 {
		if time.Sleep(late); c.ended() {
			return "" // called off before the node saw it
		}
	}
	now := Now()
	if blocked { // it never sees the command while the link is silent, and what it then reads is over
		n.mu.Lock()
		for n.faultOf(c.broker).silent && !n.closed && !n.rig.ended() {
			n.changed.Wait()
		}
		n.mu.Unlock()
		return ""
	}
	s := n.rig.recorder.attemptArrived(id, attempt{node: n.number, broker: c.broker, arrivedAt: now, conn: c})
	if s == nil {
		return "-SYNTAX\r\n"
	}
	if shard := int(fakes.NumberField(list, "shard")); shard != n.shard && shard >= 0 {
		n.rig.recorder.attemptEnded(s, n.number, false)
		return "-ERR another shard\r\n"
	}
	n.rig.checkDrain(n, c.broker, s, now)
	n.mu.Lock()
	if !n.addUnits(now, units) {
		n.rig.recorder.mu.Lock()
		n.rig.recorder.addViolation(fmt.Sprintf("%s is cold and gets more than it bears", n.name), s)
		n.rig.recorder.mu.Unlock()
	}
	if n.inFlight >= n.rig.scenario.Node.Slots+n.rig.scenario.Node.Queue {
		n.rejected++
		n.mu.Unlock()
		n.rig.recorder.attemptEnded(s, n.number, false)
		return "-BUSY\r\n"
	}
	n.inFlight++
	for n.slotsInUse >= n.rig.scenario.Node.Slots && !n.closed {
		n.changed.Wait()
	}
	n.slotsInUse++
	span := units * n.rig.scenario.Node.UnitMS / n.currentSpeed(Now()) * n.random.ExpFloat64()
	n.mu.Unlock()
	time.Sleep(time.Duration(span * float64(time.Millisecond)))
	n.mu.Lock()
	n.slotsInUse--
	n.inFlight--
	n.changed.Signal()
	if at := int((Now() - n.rig.recorder.startedAt) / time.Second); at >= 0 {
		for len(n.servedBySecond) <= at {
			n.servedBySecond = append(n.servedBySecond, 0)
		}
		n.servedBySecond[at]++
	}
	f = n.faultOf(c.broker)
	held, lie, wait := n.inFlight, n.reportsIdle, f.answers.transitTime(n.random)
	n.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	if f.silent || f.answersLost {
		n.mu.Lock()
		for f := n.faultOf(c.broker); (f.silent || f.answersLost) && !n.closed && !n.rig.ended(); f = n.faultOf(c.broker) {
			n.changed.Wait()
		}
		n.mu.Unlock()
		return ""
	}
	if lie {
		held = 0
	}
	n.rig.recorder.attemptEnded(s, n.number, true)
	report := fmt.Sprintf("inflight=%d", held)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(id), id, len(report), report)
}
