package sftp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

func joined(buffers ...net.Buffers) []byte {
	var all []byte
	for _, b := range buffers {
		all = append(all, bytes.Join(b, nil)...)
	}
	return all
}

// talk is a client's side of a connection that uses each command.
var talk = joined(message(typeInit, 3),
	message(typeOpen, 1, text("/d/f"), number(flagRead|flagWrite|flagCreate), number(0)),
	message(typeOpendir, 2, text("/d")), message(typeReaddir, 3, text("\x00\x00\x00\x00\x00\x00\x00\x01")),
	message(typeStat, 4, text("/d/f")), message(typeRemove, 5, text("/d/f")), message(200, 6, text("other")),
	message(typeRead, 7, text("none"), offset(0), number(10)), message(typeClose, 8, text("\x00\x00\x00\x00\x00\x00\x00\x01")))

func testPlan(t testing.TB) *Mapping {
	set := scheduler.Settings{Brokers: 1, MaxUnits: 8, Plans: []scheduler.Plan{{Name: "plan"}}, Classes: []scheduler.Class{
		{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second},
		{Name: "write", LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: scheduler.NotIdempotent}}}
	terms := map[Command]CommandSettings{}
	for _, c := range Commands {
		terms[c] = CommandSettings{Class: "read"}
		if changes[c] {
			terms[c] = CommandSettings{Class: "write"}
		}
	}
	p := &Mapping{UnitBytes: 10, Commands: terms, Volumes: []Volume{{Prefix: "/d", Volume: "v", Plan: "plan", Shard: 4},
		{Prefix: "/d/deep", Volume: "w", Plan: "plan", Shard: 5}}}
	if err := p.Check(set); err != nil {
		t.Fatal(err)
	}
	return p
}

// testFront serves one end of a pipe; its loop is never turned, so requests wait.
func testFront(t testing.TB) (*Server, *session, net.Conn) {
	state, err := broker.NewState(scheduler.Settings{Brokers: 1, Classes: []scheduler.Class{{Name: "read", LatencyObjective: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{})
	f := NewServer(loop, nil, testPlan(t), 1, logging.ToFunc(func(line string) { t.Error(line) }))
	near, far := net.Pipe()
	return f, newSession(f, near), far
}

// FuzzFront sends anything, cut anywhere: no panic, and the connection ends when its client does.
func FuzzFront(f *testing.F) {
	f.Add(talk, uint64(1))
	f.Add(talk[:50], uint64(2))
	f.Add([]byte("\x00\x00\x00\x05\x01\x00\x00\x00\x03\xff\xff\xff\xff"), uint64(3))
	f.Add(joined(message(typeInit, 3), message(typeWrite, 1, text("h"), offset(1<<63), number(1<<31))), uint64(4))
	f.Fuzz(func(t *testing.T, input []byte, seed uint64) {
		_, s, far := testFront(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		ended := make(chan struct{})
		go func() { s.write(); close(ended) }()
		go io.Copy(io.Discard, far)
		go func() {
			for rest := input; len(rest) > 0; {
				n := 1 + rng.IntN(len(rest))
				if _, err := far.Write(rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
			far.Close()
		}()
		s.read()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection did not end")
		}
	})
}

func FuzzPacket(f *testing.F) {
	f.Add(talk)
	f.Add(joined(message(typeStatus, 1, status(statusFailure, "BUSY")), message(typeData, 2, text("abc"))))
	f.Fuzz(func(t *testing.T, input []byte) {
		in := bufio.NewReader(bytes.NewReader(input))
		for {
			p, err := readPacket(in)
			if err != nil {
				return
			}
			if again := joined(message(p.kind, p.id, p.body)); !bytes.Contains(input, again) {
				t.Fatalf("%x was read, not sent", again)
			}
			result(p, nil)
		}
	})
}

func TestCutsAnywhere(t *testing.T) {
	in := bufio.NewReader(iotest.OneByteReader(bytes.NewReader(talk)))
	var kinds []byte
	for {
		p, err := readPacket(in)
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, p.kind)
	}
	if want := []byte{1, 3, 11, 12, 17, 13, 200, 5, 4}; !bytes.Equal(kinds, want) {
		t.Errorf("%v, want %v", kinds, want)
	}
	for n := 1; n < 20; n++ {
		if _, err := readPacket(bufio.NewReader(bytes.NewReader(talk[9 : 9+n]))); err == nil {
			t.Errorf("a packet cut to %d bytes was read", n)
		}
	}
}

func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		code  uint32
		words string
		reply broker.Reply
	}{{statusOK, "", broker.ReplyOK}, {statusEOF, "", broker.ReplyOK}, {statusNoSuchFile, "no such file", broker.ReplyOK},
		{statusDenied, "", broker.ReplyOK}, {statusFailure, "disk", broker.ReplyError}, {statusFailure, "BUSY", broker.ReplyRejected},
		{6, "", broker.ReplyError}, {7, "", broker.ReplyError}, {99, "", broker.ReplyError}} {
		r, err := result(packet{kind: typeStatus, body: status(c.code, c.words)}, nil)
		if err != nil || r.Reply != c.reply {
			t.Errorf("%d %q: %v, %v", c.code, c.words, r.Reply, err)
		}
	}
	if _, err := result(packet{kind: 77}, nil); !errors.Is(err, errPacket) {
		t.Error(err)
	}
	s := &session{}
	for want, final := range map[string]broker.Response{"BUSY: come again after 151 ms": {Verdict: broker.Rejected, RetryAfter: 150_001},
		"failed: it may or may not have run": {Verdict: broker.Failed}} {
		if got := joined(s.word(9, final, nil)); !strings.Contains(string(got), want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
}

func TestPlan(t *testing.T) {
	p := testPlan(t)
	for _, c := range []struct {
		op     operation
		volume string
		units  float64
		write  bool
	}{{operation{command: Read, path: "/d/f", length: 25}, "v", 3, false}, {operation{command: Write, path: "/d/deep/f", data: make([]byte, 500)}, "w", 8, true},
		{operation{command: Stat, path: "/d"}, "v", 1, false}, {operation{command: Remove, path: "/deep/f"}, "", 0, false},
		{operation{command: List, path: "/dx"}, "", 0, false}} {
		r := p.request(&c.op)
		if r == nil {
			if c.volume != "" {
				t.Errorf("%s has no volume", c.op.path)
			}
			continue
		}
		if r.Volume != c.volume || r.Units != c.units || r.Write != c.write || r.Timeout != 2*broker.Second || len(r.Key) != 16 {
			t.Errorf("%+v", r)
		}
	}
}

// Commands on one file keep their order only where that can be seen.
func TestConflicts(t *testing.T) {
	read := func(at uint64) *operation { return &operation{command: Read, path: "/d/f", offset: at, length: 10} }
	write := func(at uint64) *operation {
		return &operation{command: Write, path: "/d/f", offset: at, data: make([]byte, 10)}
	}
	other := &operation{command: Remove, path: "/d/g"}
	appended := &operation{command: Write, path: "/d/f", flags: flagAppend, data: make([]byte, 1)}
	for i, c := range []struct {
		a, b *operation
		want bool
	}{{read(0), read(5), false}, {write(0), read(5), true}, {write(0), write(9), true}, {write(0), write(10), false},
		{write(0), other, false}, {&operation{command: Remove, path: "/d/f"}, read(900), true}, {appended, write(100), true},
		{write(1<<64 - 5), read(1<<64 - 3), true}} {
		if c.a.conflicts(c.b) != c.want || c.b.conflicts(c.a) != c.want {
			t.Errorf("case %d: want %v", i, c.want)
		}
	}
}

// A write that waits for an earlier one on its file is sent only after that is answered, and if its deadline
// passes first it is refused, never sent.
func TestOrderOnOneFile(t *testing.T) {
	front, s, _ := testFront(t)
	front.plan.Load().Commands[Write] = CommandSettings{Class: "write", WaitMS: 60_000}
	submit := func(id uint32) *pending {
		if err := s.submit(id, &operation{command: Write, path: "/d/f", data: []byte("x")}, pass(id)); err != nil {
			t.Fatal(err)
		}
		return s.ops[len(s.ops)-1]
	}
	first, second, third := submit(1), submit(2), submit(3)
	if !first.taken || second.taken || third.taken {
		t.Fatal("the order is lost")
	}
	third.timer.Reset(0) // its deadline has passed
	<-s.wake
	s.mu.Lock()
	defer s.mu.Unlock()
	if out := fmt.Sprintf("%s", joined(s.out)); !strings.Contains(out, "BUSY") || third.taken {
		t.Errorf("%q, taken %v", out, third.taken)
	}
	s.settle(first, broker.Response{Verdict: broker.Failed})
	if !second.taken || len(s.ops) != 1 {
		t.Error("the second did not follow")
	}
}
