package handover

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"junctionwharf/internal/discovery"
)

// process stands for one process of a broker.
type process struct {
	*Coordinator
	met   bool
	takes chan StateMessage
	parts chan struct{}
}

func start(t *testing.T, path string, first StateMessage) *process {
	p := &process{takes: make(chan StateMessage, 8), parts: make(chan struct{}, 8)}
	var err error
	p.Coordinator, p.met, err = Open(path, Callbacks{Connected: func() StateMessage { return first }, Received: func(n StateMessage) { p.takes <- n },
		Disconnected: func() { p.parts <- struct{}{} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// Two processes meet, tell each other what the rules ask for, and part; a third finds the second, whatever files the
// others have left.
func TestMeeting(t *testing.T) {
	path := SocketPath(t.TempDir(), "127.0.0.1:6379")
	if err := os.WriteFile(path, nil, 0o600); err != nil { // stale: nobody answers there
		t.Fatal(err)
	}
	old := start(t, path, StateMessage{Endpoints: &discovery.EndpointList{Version: 7, Full: true}, OpenedRequests: []string{"a"}})
	if old.met || old.HasSuccessor() {
		t.Fatal("met nobody")
	}
	young := start(t, path, StateMessage{})
	if first := <-young.takes; !young.met || first.Endpoints.Version != 7 || first.OpenedRequests[0] != "a" {
		t.Errorf("handed over %+v", first)
	}
	if !old.HasSuccessor() || young.HasSuccessor() {
		t.Error("want the old one succeeded")
	}
	old.Send(StateMessage{EndedRequests: []string{"a"}})
	if n := <-young.takes; n.EndedRequests[0] != "a" {
		t.Errorf("%+v", n)
	}
	young.Send(StateMessage{PeerOrdinal: 2, PeerMessage: []byte{0, 255}})
	for n := range old.takes {
		if n.PeerMessage != nil {
			if n.PeerOrdinal != 2 || string(n.PeerMessage) != "\x00\xff" {
				t.Errorf("%+v", n)
			}
			break
		}
	}
	old.Close()
	<-young.parts
	third := start(t, path, StateMessage{})
	if <-third.takes; !third.met || !young.HasSuccessor() {
		t.Error("the third did not meet the second")
	}
	third.Close() // as when the new process dies before it serves
	<-young.parts
	if young.HasSuccessor() {
		t.Error("a successor that died still counts")
	}
}

// Where there is no place to meet, the error says so, and nothing else is harmed.
func TestNoPlace(t *testing.T) {
	if _, _, err := Open(filepath.Join(t.TempDir(), "none", "x.sock"), Callbacks{}); err == nil {
		t.Error("no error")
	}
}

// What waits in the queue of the old listener is not lost, and new connections go to the successor's.
func TestLeadAway(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	address := old.Addr().String()
	var queued []net.Conn
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		return conn
	}
	for range 8 {
		queued = append(queued, dial())
	}
	young, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	defer young.Close()
	if err := RedirectNewConnections(old); err != nil {
		t.Fatal(err)
	}
	greet := func(ln net.Listener, word string, count int) {
		for range count {
			conn, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, word)
			conn.Close()
		}
	}
	var led []net.Conn
	for range 16 {
		led = append(led, dial())
	}
	greet(old, "old", len(queued))
	greet(young, "young", len(led))
	old.Close()
	led = append(led, dial(), dial())
	greet(young, "young", 2)
	for _, c := range queued {
		if got, err := io.ReadAll(c); string(got) != "old" {
			t.Errorf("in the queue: %q, %v", got, err)
		}
	}
	for _, c := range led {
		if got, err := io.ReadAll(c); string(got) != "young" {
			t.Errorf("led away: %q, %v", got, err)
		}
	}
}
