package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

// Endpoint is an entry of discovery's list, in its wire form.
type Endpoint struct {
	Name      string  `json:"host"`
	Address   string  `json:"dial"`
	Zone      string  `json:"site"`
	Class     string  `json:"class"`
	Shard     int     `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	StartedMS int64   `json:"born_ms"`
}

// Discovery is a stand-in for the service that lists storage nodes, by HTTP long poll.
type Discovery struct {
	ln     net.Listener
	server *http.Server

	mu      sync.Mutex
	seq     uint64
	hosts   []Endpoint
	changes []change
	news    chan struct{} // closed at each change
}

type change struct {
	seq  uint64
	host Endpoint
}

// keptChanges bounds the changes that a watch may ask for; one that is further behind gets the whole list.
const keptChanges = 1000

// NewDiscovery listens at an address.
func NewDiscovery(address string, hosts ...Endpoint) (*Discovery, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln, seq: 1, hosts: hosts, news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.answer)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(ln) }()
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// Close ends it and all calls that wait.
func (d *Discovery) Close() { _ = d.server.Close() }

// Change lists entries anew: a host that is DELETED leaves the list.
func (d *Discovery) Change(hosts ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		d.seq++
		d.hosts = slices.DeleteFunc(d.hosts, func(old Endpoint) bool { return old.Name == h.Name })
		if h.Health != "DELETED" {
			d.hosts = append(d.hosts, h)
		}
		d.changes = append(d.changes, change{d.seq, h})
	}
	if over := len(d.changes) - keptChanges; over > 0 {
		d.changes = slices.Delete(d.changes, 0, over)
	}
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Discovery) answer(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	late := time.NewTimer(time.Duration(min(wait, 60_000)) * time.Millisecond)
	defer late.Stop()
	for over := !watch; ; {
		d.mu.Lock()
		seq, news := d.seq, d.news
		text := d.text(index, watch)
		d.mu.Unlock()
		if over || seq > index {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(text)
			return
		}
		select {
		case <-news:
		case <-late.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// text is the whole list, or what has changed since a version.
func (d *Discovery) text(since uint64, watch bool) []byte {
	list := struct {
		Seq   uint64     `json:"seq"`
		Whole bool       `json:"whole"`
		Hosts []Endpoint `json:"hosts"`
	}{d.seq, true, append([]Endpoint{}, d.hosts...)}
	if watch && (since == d.seq || len(d.changes) > 0 && d.changes[0].seq <= since+1) {
		list.Whole, list.Hosts = false, []Endpoint{}
		for _, c := range d.changes {
			if c.seq > since {
				list.Hosts = append(list.Hosts, c.host)
			}
		}
	}
	text, _ := json.Marshal(list)
	return text
}

// Node is a stand-in for a storage node that speaks RESP2: it serves so many commands at once, lets others wait, and answers
// -BUSY when the waiting room is full.
type Node struct {
	Name  string
	Shard int

	ln      net.Listener
	work    func(units float64) time.Duration
	slots   chan struct{}
	room    int64
	holding atomic.Int64
	served  atomic.Int64
	stall   atomic.Int64 // Unix ns until which it stands still

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// NewNode listens at an address. work tells how long a command of so many units takes.
func NewNode(address, name string, shard, slots, room int, work func(units float64) time.Duration) (*Node, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Shard: shard, ln: ln, work: work, slots: make(chan struct{}, slots), room: int64(slots + room), conns: map[net.Conn]bool{}}
	go n.accept()
	return n, nil
}

// Endpoint is the node's entry in discovery's list.
func (n *Node) Endpoint() Endpoint {
	return Endpoint{Name: n.Name, Address: n.ln.Addr().String(), Zone: "a", Class: "m1", Shard: n.Shard, Health: "SERVING", Share: 1}
}

// Served tells how many commands it has served.
func (n *Node) Served() int { return int(n.served.Load()) }

// Stall has the node stand still for a while.
func (n *Node) Stall(d time.Duration) { n.stall.Store(time.Now().Add(d).UnixNano()) }

// Close kills the node: its connections are reset.
func (n *Node) Close() {
	_ = n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	for conn := range n.conns {
		reset(conn)
	}
}

func (n *Node) accept() {
	for {
		conn, err := n.ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[conn] = true
		ended := n.ended
		n.mu.Unlock()
		if ended {
			reset(conn)
			return
		}
		go n.serve(conn)
	}
}

func (n *Node) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
	}()
	in := redcon.NewReader(conn)
	for {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, n.answer(cmd)); err != nil {
			return
		}
	}
}

func (n *Node) answer(cmd redcon.Command) string {
	if len(cmd.Args) < 4 {
		return "-ERR unknown command\r\n"
	}
	holding := n.holding.Add(1)
	defer n.holding.Add(-1)
	if holding > n.room {
		return "-BUSY\r\n"
	}
	n.slots <- struct{}{}
	defer func() { <-n.slots }()
	if wait := time.Until(time.Unix(0, n.stall.Load())); wait > 0 {
		time.Sleep(wait)
	}
	time.Sleep(n.work(NumberField(string(cmd.Args[3]), "units")))
	n.served.Add(1)
	id := cmd.Args[2]
	load := fmt.Sprintf("inflight=%d", n.holding.Load())
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(id), id, len(load), load)
}

// NumberField reads a number from a command's list of names and values; 1 if it has none.
func NumberField(list, name string) float64 {
	for pair := range strings.SplitSeq(list, ",") {
		if key, value, found := strings.Cut(pair, "="); found && key == name {
			if n, err := strconv.ParseFloat(value, 64); err == nil {
				return n
			}
		}
	}
	return 1
}
