package sftp

import (
	"io"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
)

// eventually waits until a condition is true, and fails the test after waitLimit.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// A client could fill 512 KiB with the paths of its handles, which counted nowhere. They must be reserved, and released
// when the handles are closed or the client leaves. Without memory, no handle may be opened.
func TestHandlesReserveTheirPaths(t *testing.T) {
	s, _ := newTestSession(t)
	longPath := "/d/" + strings.Repeat("p", maxPathBytes-len("/d/"))
	opendir := func() error {
		return s.serveOpendir(1, &fields{rest: encodeString(longPath)})
	}
	for range maxHandles {
		if err := opendir(); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := s.server.budget.Reserved(), maxHandles*(handleOverhead+maxPathBytes); got != want {
		t.Errorf("%d bytes are reserved for %d handles, want %d", got, maxHandles, want)
	}
	s.findHandle([]byte(firstHandle), true)
	if got, want := s.server.budget.Reserved(), (maxHandles-1)*(handleOverhead+maxPathBytes); got != want {
		t.Errorf("%d bytes are reserved after a CLOSE, want %d", got, want)
	}
	full := s.server.budget.NewReservation()
	full.ForceResize(1 << 20)
	if err := opendir(); err != nil || len(s.handles) != maxHandles-1 {
		t.Errorf("%d handles are open without memory, error %v, want %d", len(s.handles), err, maxHandles-1)
	}
	full.End()
	s.handleInputEnd()
	if got := s.server.budget.Reserved(); got != 0 {
		t.Errorf("%d bytes are reserved after the end of the session, want 0", got)
	}
}

// A client that sends commands and reads no answers made the server buffer answers without a bound. The reader must
// stop at maxPending unwritten answers.
func TestUnreadAnswersAreBounded(t *testing.T) {
	s, client := newTestSession(t)
	go s.read()
	go s.write()
	message := join(encodePacket(unknownType, 1))
	sent := make(chan int, 1)
	_ = client.SetDeadline(time.Now().Add(time.Second))
	go func() {
		_, _ = client.Write(join(encodePacket(typeInit, protocolVersion)))
		for count := 0; ; count++ {
			if _, err := client.Write(message); err != nil {
				sent <- count
				return
			}
		}
	}()
	const readBufferBytes = 4096 // of bufio
	if count := <-sent; count > 2*maxPending+readBufferBytes/len(message) {
		t.Errorf("the server took %d commands of a client that reads nothing", count)
	}
	_ = client.Close()
	eventually(t, "the session has ended", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.writerEnded && s.closedToCommands
	})
}

// The only command of a session never waits for memory: without memory it must be rejected at once. A further command
// waits, and must be rejected at its deadline.
func TestCommandsWithoutMemory(t *testing.T) {
	s, _ := newTestSession(t)
	full := s.server.budget.NewReservation()
	if !full.TryResize(1 << 20) {
		t.Fatal("the budget is not free")
	}
	op := &operation{command: Write, path: "/d/f", data: []byte("x")}
	if err := s.submit(1, op, forwardAnswer(1)); err != nil {
		t.Fatal(err)
	}
	if len(s.pending) != 0 || len(s.out) == 0 {
		t.Error("a command without memory was not rejected")
	}
	began := time.Now()
	if s.reserve(op, began.Add(50*time.Millisecond)) != nil || time.Since(began) < 50*time.Millisecond {
		t.Error("a further command did not wait until its deadline")
	}
	full.End()
	memory := s.reserve(op, time.Now().Add(waitLimit))
	if memory == nil {
		t.Fatal("a further command was not admitted once there was memory")
	}
	memory.End()
	if got := s.server.budget.Reserved(); got != 0 {
		t.Errorf("%d bytes are reserved, want 0", got)
	}
}

// The memory of a command is released when its answer is written, and the memory of a listing when the client has read
// it.
func TestMemoryIsReleased(t *testing.T) {
	s, client := newTestSession(t)
	go s.write()
	h := &handle{path: "/d", isDir: true}
	s.mu.Lock()
	s.handles["h"] = h
	s.mu.Unlock()
	if err := s.serveReaddir(1, h); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	names := [][]byte{make([]byte, 1000), make([]byte, 1000)}
	value := answer{kind: typeName, names: names}
	s.complete(s.pending[0], broker.Response{Verdict: broker.Served, Value: value})
	s.mu.Unlock()
	go func() { _, _ = io.Copy(io.Discard, client) }() // until the connection ends
	eventually(t, "only the listing is reserved", func() bool {
		return s.server.budget.Reserved() == pool.MessageSize(names)
	})
	for range 2 {
		if err := s.serveReaddir(2, h); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "no bytes are reserved", func() bool { return s.server.budget.Reserved() == 0 })
	_ = client.Close()
}

// A listing must reserve its memory as it grows, and must not grow without memory.
func TestListingReservesMemory(t *testing.T) {
	op := &operation{command: List, path: "/d"}
	s, _ := newTestSession(t)
	op.memory = s.server.budget.NewReservation()
	if !op.reserveListing(maxListingBytes/2) || op.reserveListing(2*maxListingBytes) {
		t.Error("a listing was reserved beyond the budget, or not reserved within it")
	}
	op.memory.End()
	if s.server.budget.Reserved() != 0 {
		t.Error("the listing's memory was not released")
	}
	if !(&operation{command: List}).reserveListing(maxListingBytes) {
		t.Error("an operation without a session has no memory")
	}
}

// A client closes a directory before its listing has come, or its connection can no longer be written. No memory may
// stay reserved for the listing or for the answer, since nothing would release it.
func TestLateAnswersHoldNoMemory(t *testing.T) {
	served := broker.Response{Verdict: broker.Served, Value: answer{kind: typeName, names: [][]byte{make([]byte, 1000)}}}
	for _, writerEnded := range []bool{false, true} {
		s, _ := newTestSession(t)
		h := &handle{path: "/d", isDir: true}
		s.handles["h"] = h
		if err := s.serveReaddir(1, h); err != nil {
			t.Fatal(err)
		}
		if writerEnded {
			s.handleOutputEnd()
		}
		s.findHandle([]byte("h"), true)
		s.mu.Lock()
		s.complete(s.pending[0], served)
		s.mu.Unlock()
		s.handleOutputEnd()
		if got := s.server.budget.Reserved(); got != 0 {
			t.Errorf("writer ended %v: %d bytes stay reserved, want 0", writerEnded, got)
		}
	}
}
