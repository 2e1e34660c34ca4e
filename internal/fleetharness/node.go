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
type fault struct {
	silent bool    // what the node would say is not sent, nor is more read
	oneway bool    // what it would say is not sent, but it reads and works
	out    way     // answers
	in     way     // requests
	pace   float64 // bytes a second of answers, 0 for no bound
	cutAt  int     // the connection is reset behind so many bytes of an answer, 0 for never
}

// way is one direction of a link.
type way struct {
	delay  time.Duration
	jitter time.Duration // drawn on top of it
	loss   float64       // part of what is sent that TCP sends again
}

func (w way) and(v way) way {
	return way{w.delay + v.delay, w.jitter + v.jitter, max(w.loss, v.loss)}
}

// retransmit is when TCP first sends again what was lost; each further time takes twice as long.
const retransmit = 200 * time.Millisecond

// takes is how long something is on the way.
func (w way) takes(random *rand.Rand) time.Duration {
	span := w.delay + time.Duration(random.Float64()*float64(w.jitter))
	for again := retransmit; random.Float64() < w.loss && again <= 8*retransmit; again *= 2 {
		span += again
	}
	return span
}

// and is what holds where two things are wrong.
func (f fault) and(g fault) fault {
	return fault{f.silent || g.silent, f.oneway || g.oneway, f.out.and(g.out), f.in.and(g.in), max(f.pace, g.pace), max(f.cutAt, g.cutAt)}
}

// node is a stand-in: so many slots, a queue, a speed, a cold start.
type node struct {
	rig    *Rig
	number int
	shard  int
	name   string
	at     string // address

	mu      sync.Mutex
	heal    *sync.Cond // told when faults or slots change
	ln      net.Listener
	conns   map[*nodeConn]bool
	dials   int
	peak    int
	busy    int // slots taken
	holding int // commands in hand
	speed   float64
	born    time.Duration // 0: long ago
	lie     bool
	faults  map[int]fault // by broker, -1 for all
	random  *rand.Rand
	served  []int // by second
	turned  int
	units   []arrival // lately, of a cold node
	cold    []ColdSecond
	down    bool
}

type arrival struct {
	at    time.Duration
	units float64
}

// The cold start, as the settings of the rig tell brokers.
const (
	coldTime     = 17 * time.Second
	coldShare    = 0.18
	fallTime     = 3 * time.Second
	fallMultiple = 4.0
	youngLimit   = 41.0
)

func newNode(r *Rig, number, shard int, name string) (*node, error) {
	n := &node{rig: r, number: number, shard: shard, name: name, at: r.address(100, number, 6379), conns: map[*nodeConn]bool{}, speed: 1, faults: map[int]fault{},
		random: rand.New(rand.NewPCG(r.scenario.Seed, uint64(number)))}
	n.heal = sync.NewCond(&n.mu)
	return n, n.listen()
}

func (n *node) listen() error {
	ln, err := net.Listen("tcp4", n.at)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.ln, n.down = ln, false
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
func (n *node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return
	}
	n.down = true
	_ = n.ln.Close()
	n.reset()
	n.heal.Broadcast()
}

func (n *node) reset() {
	for c := range n.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// set changes what is wrong with the node, seen by one broker or by all (-1).
func (n *node) set(broker int, change func(*fault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[broker]
	change(&f)
	n.faults[broker] = f
	n.heal.Broadcast()
}

func (n *node) fault(broker int) fault {
	return n.faults[-1].and(n.faults[broker])
}

// capacity is the part of its speed that it has: it grows evenly from its cold start on.
func (n *node) capacity(now time.Duration) float64 {
	if n.born == 0 || now-n.born >= coldTime {
		return n.speed
	}
	return n.speed * (coldShare + (1-coldShare)*float64(now-n.born)/float64(coldTime))
}

// full is what it serves a second when warm, in units.
func (n *node) full() float64 {
	return float64(n.rig.scenario.Node.Slots) * 1000 / n.rig.scenario.Node.UnitMS
}

// weigh notes work at a node that has just started and tells whether it is more than the rule allows.
func (n *node) weigh(now time.Duration, units float64) bool {
	if n.born == 0 || now-n.born > coldTime {
		return true
	}
	n.units = append(n.units, arrival{now, units})
	for len(n.units) > 0 && now-n.units[0].at > fallTime {
		n.units = n.units[1:]
	}
	sum := 0.0
	for _, a := range n.units {
		sum += a.units
	}
	bears := max(youngLimit, fallMultiple*n.capacity(now)*n.full()*fallTime.Seconds())
	age := int((now - n.born) / time.Second)
	if last := len(n.cold) - 1; last < 0 || n.cold[last].born != n.born || n.cold[last].AgeS != age {
		n.cold = append(n.cold, ColdSecond{Node: n.name, AgeS: age, born: n.born})
	}
	if c := &n.cold[len(n.cold)-1]; sum/bears >= c.part() {
		c.Units, c.Bears = sum, bears
	}
	return sum <= bears
}

// ColdSecond is the most that a cold node was sent by all brokers in any window of the rule's length that ended in one second of its
// age, and what it bore then.
type ColdSecond struct {
	Node  string  `json:"node"`
	AgeS  int     `json:"age_s"`
	Units float64 `json:"units"`
	Bears float64 `json:"bears"`

	born time.Duration
}

func (c *ColdSecond) part() float64 { return c.Units / max(c.Bears, 1) }

// nodeConn is a connection of a broker to a node.
type nodeConn struct {
	net.Conn
	node   *node
	broker int
}

// over tells whether the broker has ended the connection, as the kernel knows it: what this process has read may lag.
func (c *nodeConn) over() bool {
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
		text := c.answer(cmd)
		if text == "" {
			return
		}
		if !c.say(text) {
			return
		}
	}
}

// say writes an answer as the link lets it through, and tells whether the connection stands.
func (c *nodeConn) say(text string) bool {
	c.node.mu.Lock()
	f := c.node.fault(c.broker)
	c.node.mu.Unlock()
	if f.cutAt > 0 && f.cutAt < len(text) {
		_, _ = io.WriteString(c.Conn, text[:f.cutAt])
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	return paced(c.Conn, text, f.pace) == nil
}

// answer does one command, empty if its connection is over.
func (c *nodeConn) answer(cmd redcon.Command) string {
	if len(cmd.Args) < 4 {
		return "+OK\r\n"
	}
	n, id, list := c.node, string(cmd.Args[2]), string(cmd.Args[3])
	units := fakes.NumberField(list, "units")
	n.mu.Lock()
	f := n.fault(c.broker)
	blocked, late := f.silent, f.in.takes(n.random)
	n.mu.Unlock()
	if late > 0 {
		if time.Sleep(late); c.over() {
			return "" // called off before the node saw it
		}
	}
	now := Now()
	if blocked { // it never sees the command while the link is silent, and what it then reads is over
		n.mu.Lock()
		for n.fault(c.broker).silent && !n.down && !n.rig.ended() {
			n.heal.Wait()
		}
		n.mu.Unlock()
		return ""
	}
	s := n.rig.journal.arrive(id, attempt{node: n.number, broker: c.broker, at: now, conn: c})
	if s == nil {
		return "-SYNTAX\r\n"
	}
	if shard := int(fakes.NumberField(list, "shard")); shard != n.shard && shard >= 0 {
		n.rig.journal.leave(s, n.number, false)
		return "-ERR another shard\r\n"
	}
	n.rig.judgeDrain(n, c.broker, s, now)
	n.mu.Lock()
	if !n.weigh(now, units) {
		n.rig.journal.mu.Lock()
		n.rig.journal.breach(fmt.Sprintf("%s is cold and gets more than it bears", n.name), s)
		n.rig.journal.mu.Unlock()
	}
	if n.holding >= n.rig.scenario.Node.Slots+n.rig.scenario.Node.Room {
		n.turned++
		n.mu.Unlock()
		n.rig.journal.leave(s, n.number, false)
		return "-BUSY\r\n"
	}
	n.holding++
	for n.busy >= n.rig.scenario.Node.Slots && !n.down {
		n.heal.Wait()
	}
	n.busy++
	span := units * n.rig.scenario.Node.UnitMS / n.capacity(Now()) * n.random.ExpFloat64()
	n.mu.Unlock()
	time.Sleep(time.Duration(span * float64(time.Millisecond)))
	n.mu.Lock()
	n.busy--
	n.holding--
	n.heal.Signal()
	if at := int((Now() - n.rig.journal.began) / time.Second); at >= 0 {
		for len(n.served) <= at {
			n.served = append(n.served, 0)
		}
		n.served[at]++
	}
	f = n.fault(c.broker)
	held, lie, wait := n.holding, n.lie, f.out.takes(n.random)
	n.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	if f.silent || f.oneway {
		n.mu.Lock()
		for f := n.fault(c.broker); (f.silent || f.oneway) && !n.down && !n.rig.ended(); f = n.fault(c.broker) {
			n.heal.Wait()
		}
		n.mu.Unlock()
		return ""
	}
	if lie {
		held = 0
	}
	n.rig.journal.leave(s, n.number, true)
	report := fmt.Sprintf("inflight=%d", held)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(id), id, len(report), report)
}
