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
	*Office
	met   bool
	takes chan News
	parts chan struct{}
}

func start(t *testing.T, path string, first News) *process {
	p := &process{takes: make(chan News, 8), parts: make(chan struct{}, 8)}
	var err error
	p.Office, p.met, err = Open(path, Side{Meet: func() News { return first }, Take: func(n News) { p.takes <- n },
		Part: func() { p.parts <- struct{}{} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// Two processes meet, tell each other what the rules ask for, and part; a third finds the second, whatever files the
// others have left.
func TestMeeting(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:6379")
	if err := os.WriteFile(path, nil, 0o600); err != nil { // stale: nobody answers there
		t.Fatal(err)
	}
	old := start(t, path, News{List: &discovery.List{Seq: 7, Whole: true}, Opened: []string{"a"}})
	if old.met || old.Succeeded() {
		t.Fatal("met nobody")
	}
	young := start(t, path, News{})
	if first := <-young.takes; !young.met || first.List.Seq != 7 || first.Opened[0] != "a" {
		t.Errorf("handed over %+v", first)
	}
	if !old.Succeeded() || young.Succeeded() {
		t.Error("want the old one succeeded")
	}
	old.Tell(News{Ended: []string{"a"}})
	if n := <-young.takes; n.Ended[0] != "a" {
		t.Errorf("%+v", n)
	}
	young.Tell(News{From: 2, Heard: []byte{0, 255}})
	for n := range old.takes {
		if n.Heard != nil {
			if n.From != 2 || string(n.Heard) != "\x00\xff" {
				t.Errorf("%+v", n)
			}
			break
		}
	}
	old.Close()
	<-young.parts
	third := start(t, path, News{})
	if <-third.takes; !third.met || !young.Succeeded() {
		t.Error("the third did not meet the second")
	}
	third.Close() // as when the new process dies before it serves
	<-young.parts
	if young.Succeeded() {
		t.Error("a successor that died still counts")
	}
}

// Where there is no place to meet, the error says so, and nothing else is harmed.
func TestNoPlace(t *testing.T) {
	if _, _, err := Open(filepath.Join(t.TempDir(), "none", "x.sock"), Side{}); err == nil {
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
	if err := LeadAway(old); err != nil {
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
