package agreement

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"junctionwharf/clusterconfig"
)

const (
	helloBytes = 4 << 10  // of the first frame of a connection
	mostFrame  = 16 << 20 // of any
	mostQueue  = 256      // frames that wait for a peer; beyond it they are dropped, and what they said is said again later
	quietSpan  = time.Second
	deadSpan   = 4 * time.Second // without any frame a connection is over
	writeSpan  = time.Second     // for a peer to take a frame
	dialSpan   = time.Second
)

// hello begins a connection.
type hello struct {
	Cluster string `msgpack:"Cluster"`
	Terms   string `msgpack:"Terms"` // what all must have set alike
	Name    string `msgpack:"Name"`
	Listen  string `msgpack:"Listen"` // where others may attach, empty for nowhere
	Voter   bool   `msgpack:"Voter"`
	ID      uint64 `msgpack:"ID"`    // of a voter
	Fresh   bool   `msgpack:"Fresh"` // it holds no state: nobody formed a consensus with it
}

// welcome answers it. One that turns down says why, and where else to ask.
type welcome struct {
	Reason string   `msgpack:"Reason"`
	Others []string `msgpack:"Others"`
	Path   []string `msgpack:"Path"` // the names from a voter to this broker, itself included
	Name   string   `msgpack:"Name"`
	ID     uint64   `msgpack:"ID"`
	Fresh  bool     `msgpack:"Fresh"`
}

// up goes towards the leader.
type up struct {
	Renewals []clusterconfig.Renewal   `msgpack:"Renewals"`
	Asks     []ask                     `msgpack:"Asks"`
	Offers   []*clusterconfig.Document `msgpack:"Offers"`
}

// ask is an operator's call, for the leader to answer.
type ask struct {
	Holder   string                  `msgpack:"Holder"` // whose broker was asked
	Number   uint64                  `msgpack:"Number"`
	Call     string                  `msgpack:"Call"`
	Proposal *clusterconfig.Proposal `msgpack:"Proposal"`
	Version  uint64                  `msgpack:"Version"`
}

// reply answers it.
type reply struct {
	Holder string `msgpack:"Holder"`
	Number uint64 `msgpack:"Number"`
	Error  string `msgpack:"Error"`
	Kind   string `msgpack:"Kind"` // of the error: "expected", "unknown", "invalid", "none"
	Text   []byte `msgpack:"Text"`
}

// down goes from the leader. Grants share what they carry.
type down struct {
	Epoch   uint64                  `msgpack:"Epoch"`
	Term    uint64                  `msgpack:"Term"`
	Grants  []granted               `msgpack:"Grants"`
	Entries []clusterconfig.Entry   `msgpack:"Entries"`
	Whole   *clusterconfig.Document `msgpack:"Whole"`
	Prepare *clusterconfig.Entry    `msgpack:"Prepare"`
	Poke    bool                    `msgpack:"Poke"` // there is news: renew now
	Lend    []string                `msgpack:"Lend"`
	Replies []reply                 `msgpack:"Replies"`
}

type granted struct {
	Holder  string `msgpack:"Holder"`
	Number  uint64 `msgpack:"Number"`
	Life    uint64 `msgpack:"Life"`
	Seq     uint64 `msgpack:"Seq"`
	After   uint64 `msgpack:"After"` // entries behind this version
	Whole   bool   `msgpack:"Whole"`
	Prepare bool   `msgpack:"Prepare"`
}

// form has voters without state begin alike.
type form struct {
	Epoch   uint64            `msgpack:"Epoch"`
	Members map[string]uint64 `msgpack:"Members"`
}

// frame is what goes over a connection; one of its fields is set, or none to show that the peer is there.
type frame struct {
	Hello   *hello   `msgpack:"Hello,omitempty"`
	Welcome *welcome `msgpack:"Welcome,omitempty"`
	Raft    []byte   `msgpack:"Raft,omitempty"`
	Up      *up      `msgpack:"Up,omitempty"`
	Down    *down    `msgpack:"Down,omitempty"`
	Form    *form    `msgpack:"Form,omitempty"`
}

// pack shares out what grants of one leader carry.
func pack(grants []*clusterconfig.Grant) *down {
	d := &down{}
	known := map[uint64]bool{}
	for _, g := range grants {
		d.Epoch, d.Term = g.Epoch, g.Term
		h := granted{Holder: g.Holder, Number: g.Number, Life: g.Life, Seq: g.Seq, Whole: g.Whole != nil, Prepare: g.Prepare != nil}
		if g.Whole != nil {
			d.Whole = g.Whole
		}
		if g.Prepare != nil {
			d.Prepare = g.Prepare
		}
		if h.After = ^uint64(0); len(g.Entries) > 0 {
			h.After = g.Entries[0].Version - 1
		}
		for _, e := range g.Entries {
			if !known[e.Version] {
				known[e.Version] = true
				d.Entries = append(d.Entries, e)
			}
		}
		d.Grants = append(d.Grants, h)
	}
	return d
}

// unpack is what pack was given.
func (d *down) unpack() ([]*clusterconfig.Grant, error) {
	var grants []*clusterconfig.Grant
	for _, h := range d.Grants {
		g := &clusterconfig.Grant{Holder: h.Holder, Number: h.Number, Life: h.Life, Seq: h.Seq, Epoch: d.Epoch, Term: d.Term}
		if h.Whole {
			if g.Whole = d.Whole; d.Whole == nil {
				return nil, errors.New("a grant lacks its document")
			}
		}
		if h.Prepare {
			if g.Prepare = d.Prepare; d.Prepare == nil {
				return nil, errors.New("a grant lacks what it prepares")
			}
		}
		for _, e := range d.Entries {
			if e.Version > h.After {
				g.Entries = append(g.Entries, e)
			}
		}
		grants = append(grants, g)
	}
	return grants, nil
}

// readFrame reads a length in four bytes and so many bytes. What a peer claims to send takes no memory before it has come.
func readFrame(in *bufio.Reader, most int) (frame, int, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return frame{}, 0, err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > most {
		return frame{}, 0, fmt.Errorf("a frame of %d bytes, at most %d may come", size, most)
	}
	var text bytes.Buffer
	if n, err := io.CopyN(&text, in, int64(size)); err != nil {
		return frame{}, int(n), err
	}
	var f frame
	if err := msgpack.Unmarshal(text.Bytes(), &f); err != nil {
		return frame{}, size, fmt.Errorf("a frame of %d bytes: %w", size, err)
	}
	return f, size + len(head), nil
}

func writeFrame(to io.Writer, f frame) (int, error) {
	text, err := msgpack.Marshal(f)
	if err != nil {
		return 0, err
	}
	if len(text) > mostFrame {
		return 0, fmt.Errorf("a frame of %d bytes is over %d", len(text), mostFrame)
	}
	return to.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, len(text)+4), uint32(len(text))), text...))
}

// link is a connection whose beginning is over. A peer that stalls costs its own connection alone.
type link struct {
	net.Conn
	in     *bufio.Reader
	name   string
	listen string
	id     uint64
	fresh  bool
	voter  bool
	path   []string
	out    chan frame
	gone   chan struct{}
	closed atomic.Bool
	counts *counts
}

// counts are a broker's own.
type counts struct{ sent, received, dropped, refused atomic.Int64 }

func newLink(conn net.Conn, in *bufio.Reader, c *counts) *link {
	return &link{Conn: conn, in: in, out: make(chan frame, mostQueue), gone: make(chan struct{}), counts: c}
}

// send queues a frame, or drops it.
func (l *link) send(f frame) {
	select {
	case l.out <- f:
	default:
		l.counts.dropped.Add(1)
	}
}

func (l *link) end() {
	if !l.closed.Swap(true) {
		close(l.gone)
		l.Close()
	}
}

// write sends what is queued, and now and then that it is there.
func (l *link) write() {
	defer l.end()
	quiet := time.NewTicker(quietSpan)
	defer quiet.Stop()
	for {
		var f frame
		select {
		case <-l.gone:
			return
		case <-quiet.C:
		case f = <-l.out:
		}
		l.SetWriteDeadline(time.Now().Add(writeSpan))
		n, err := writeFrame(l.Conn, f)
		l.counts.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// read hands on what comes until the connection ends, and returns why.
func (l *link) read(take func(frame) error) error {
	defer l.end()
	for {
		l.SetReadDeadline(time.Now().Add(deadSpan))
		f, n, err := readFrame(l.in, mostFrame)
		l.counts.received.Add(int64(n))
		if err == nil {
			err = take(f)
		}
		if err != nil {
			return err
		}
	}
}
