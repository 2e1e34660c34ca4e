package sftp

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/pool"
)

// waitLimit is how long a test waits for an expected event before it fails.
const waitLimit = 5 * time.Second

// FuzzServer sends arbitrary input, split at arbitrary positions. The server must not panic, and the connection must
// end when the client closes it.
func FuzzServer(f *testing.F) {
	f.Add(allCommands, uint64(1))
	f.Add(allCommands[:50], uint64(2))
	f.Add([]byte("\x00\x00\x00\x05\x01\x00\x00\x00\x03\xff\xff\xff\xff"), uint64(3))
	hugeWrite := encodePacket(typeWrite, 1, encodeString("h"), encodeUint64(1<<63), encodeUint32(1<<31))
	f.Add(join(encodePacket(typeInit, protocolVersion), hugeWrite), uint64(4))
	f.Fuzz(func(t *testing.T, input []byte, seed uint64) {
		s, client := newTestSession(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		ended := make(chan struct{})
		go func() {
			s.write()
			close(ended)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }() // until the connection ends
		go func() {
			defer func() { _ = client.Close() }()
			for rest := input; len(rest) > 0; {
				n := 1 + rng.IntN(len(rest))
				if _, err := client.Write(rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		s.read()
		select {
		case <-ended:
		case <-time.After(waitLimit):
			t.Fatal("the connection did not end")
		}
	})
}

// newConnectedSession returns a session over a loopback connection, and its client. The session's goroutines do not
// run.
func newConnectedSession(t *testing.T) (s *session, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	budget := clientconn.NewByteBudget(1 << 20)
	return newSession(NewServer(nil, nil, testMapping(t), 4, budget, logging.Discard()), conn), client
}

// A client sends more commands than may be pending, and disconnects while the reader waits for space or for memory. Its
// commands must be cancelled: nodes executed them although the client had gone, since the blocked reader did not
// notice.
func TestClientLeavesWhileTheReaderWaits(t *testing.T) {
	stat := func(id uint32) net.Buffers { return encodePacket(typeStat, id, encodeString("/d/f")) }
	for _, test := range []struct {
		name       string
		fillBudget bool
		pending    int
	}{
		{"for space", false, maxPending},
		{"for memory", true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, client := newLoopbackSession(t)
			s.server.mapping.Load().Commands[Stat] = CommandSettings{Class: "read", WaitMS: 60_000}
			go s.read()
			go s.write()
			input := join(encodePacket(typeInit, protocolVersion), stat(1))
			if _, err := client.Write(input); err != nil {
				t.Fatal(err)
			}
			countPending := func() int {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.pending)
			}
			eventually(t, "the first command is pending", func() bool { return countPending() == 1 })
			if test.fillBudget {
				s.server.budget.NewReservation().ForceResize(1 << 20)
			}
			for id := range uint32(3 * maxPending) {
				if _, err := client.Write(join(stat(2 + id))); err != nil {
					t.Fatal(err)
				}
			}
			eventually(t, "the reader waits", func() bool { return countPending() == test.pending })
			_ = client.Close()
			eventually(t, "the commands are cancelled and the session has ended", func() bool {
				return countPending() == 0 && s.server.Count() == 0
			})
		})
	}
}

// The mapping changes while commands wait unread, behind as many as may be pending. They must keep the mapping that
// they came under, and a later command must get the new one.
func TestUnreadCommandsKeepTheirMapping(t *testing.T) {
	const unread = 4
	s, client := newLoopbackSession(t)
	go s.read()
	go s.write()
	stat := func(id uint32) []byte { return join(encodePacket(typeStat, id, encodeString("/d/f"))) }
	input := join(encodePacket(typeInit, protocolVersion))
	for id := range uint32(maxPending + unread) {
		input = append(input, stat(id)...)
	}
	if _, err := client.Write(input); err != nil {
		t.Fatal(err)
	}
	generations := map[uint64]int{}
	pending := func() []*pendingCommand {
		s.mu.Lock()
		defer s.mu.Unlock()
		return slices.Clone(s.pending)
	}
	eventually(t, "the reader waits for space", func() bool { return len(pending()) == maxPending })
	later := *s.server.mapping.Load()
	later.Generation = 2
	s.server.SetMapping(&later)
	if _, err := client.Write(stat(maxPending + unread)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, client) }() // until the connection ends
	for served := 0; served < maxPending+unread+1; {
		for _, command := range pending() {
			generations[command.request.Generation]++
			served++
			s.mu.Lock()
			s.complete(command, broker.Response{Verdict: broker.Rejected})
			s.mu.Unlock()
		}
		time.Sleep(time.Millisecond)
	}
	if generations[0] != maxPending+unread || generations[2] != 1 {
		t.Errorf("commands by generation %v, want %d of generation 0 and 1 of generation 2", generations, maxPending+unread)
	}
}

// An eviction or a drain must not close a connection while a command is pending, part of a command has been received,
// or input is unread. After the connection was closed to commands, a command that was being read must not be accepted.
func TestEndingConnectionAcceptsNoCommand(t *testing.T) {
	s, client := newConnectedSession(t)
	s.pending = []*pendingCommand{{}}
	if s.Evict() {
		t.Error("the connection was evicted while a command was pending")
	}
	s.pending = nil
	s.setInsidePacket(true)
	if s.closeToCommands() {
		t.Error("the session was closed to commands while it was reading a command")
	}
	s.setInsidePacket(false)
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); pool.IsQuiet(s.conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if s.Evict() {
		t.Error("the connection was evicted with unread input")
	}
	if _, err := io.ReadFull(s.conn, make([]byte, 1)); err != nil { // as if the reader had begun to read a command
		t.Fatal(err)
	}
	if !s.Evict() {
		t.Error("the idle connection was not evicted")
	}
	err := s.submit(1, &operation{command: Stat, path: "/d/f"}, forwardAnswer(1))
	if !errors.Is(err, net.ErrClosed) {
		t.Errorf("submit after the eviction: error %v, want %v", err, net.ErrClosed)
	}
}

// A write waits for an earlier write to the same file. It must be submitted only when the earlier write is answered. If
// its deadline passes first, it must be rejected without being submitted.
func TestWritesOfOneFileKeepTheirOrder(t *testing.T) {
	s, _ := newTestSession(t)
	s.server.mapping.Load().Commands[Write] = CommandSettings{Class: "write", WaitMS: 60_000}
	submit := func(id uint32) *pendingCommand {
		t.Helper()
		op := &operation{command: Write, path: "/d/f", data: []byte("x")}
		if err := s.submit(id, op, forwardAnswer(id)); err != nil {
			t.Fatal(err)
		}
		return s.pending[len(s.pending)-1]
	}
	first := submit(1)
	second := submit(2)
	third := submit(3)
	if !first.submitted || second.submitted || third.submitted {
		t.Fatal("only the first write may be submitted")
	}
	third.timer.Reset(0) // the deadline has passed
	<-s.wake
	s.mu.Lock()
	defer s.mu.Unlock()
	if out := string(join(s.out)); !strings.Contains(out, busyText) || third.submitted {
		t.Errorf("answer %q, submitted %v, want a rejection of a write that was not submitted", out, third.submitted)
	}
	s.complete(first, broker.Response{Verdict: broker.Failed})
	if !second.submitted || len(s.pending) != 1 {
		t.Error("after the answer to the first write, the second one was not submitted or is not the only pending one")
	}
}
