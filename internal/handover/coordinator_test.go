package handover

import (
	"os"
	"path/filepath"
	"testing"

	"junctionwharf/internal/discovery"
)

// testProcess is one process of a broker.
type testProcess struct {
	*Coordinator
	found        bool
	received     chan StateMessage
	disconnected chan struct{}
}

func startProcess(t *testing.T, path string, first StateMessage) *testProcess {
	t.Helper()
	p := &testProcess{received: make(chan StateMessage, 8), disconnected: make(chan struct{}, 8)}
	var err error
	p.Coordinator, p.found, err = Open(path, Callbacks{
		Connected:    func() StateMessage { return first },
		Received:     func(message StateMessage) { p.received <- message },
		Disconnected: func() { p.disconnected <- struct{}{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// Two processes connect, although there is a stale file at the socket's path, and exchange their state. The old process
// ends. A third process connects to the second one and ends before it takes over.
func TestHandoverBetweenProcesses(t *testing.T) {
	path := SocketPath(t.TempDir(), "127.0.0.1:6379")
	if err := os.WriteFile(path, nil, 0o600); err != nil { // a stale file without a listener
		t.Fatal(err)
	}
	oldProcess := startProcess(t, path, StateMessage{
		Endpoints:      &discovery.EndpointList{Version: 7, Full: true},
		OpenedRequests: []string{"a"},
	})
	if oldProcess.found || oldProcess.HasSuccessor() {
		t.Fatal("the first process found another process")
	}
	newProcess := startProcess(t, path, StateMessage{})
	first := <-newProcess.received
	if !newProcess.found || first.Endpoints.Version != 7 || first.OpenedRequests[0] != "a" {
		t.Errorf("first message to the successor: %+v, want endpoint list 7 and the open request a", first)
	}
	if !oldProcess.HasSuccessor() || newProcess.HasSuccessor() {
		t.Error("want HasSuccessor true at the old process and false at the new one")
	}
	exchangeMessages(t, oldProcess, newProcess)
	oldProcess.Close()
	<-newProcess.disconnected
	third := startProcess(t, path, StateMessage{})
	<-third.received
	if !third.found || !newProcess.HasSuccessor() {
		t.Error("the third process did not find the second")
	}
	third.Close()
	<-newProcess.disconnected
	if newProcess.HasSuccessor() {
		t.Error("the second process still has a successor after the third ended")
	}
}

func exchangeMessages(t *testing.T, oldProcess, newProcess *testProcess) {
	t.Helper()
	oldProcess.Send(StateMessage{EndedRequests: []string{"a"}})
	if message := <-newProcess.received; message.EndedRequests[0] != "a" {
		t.Errorf("message from the old process: %+v, want the ended request a", message)
	}
	newProcess.Send(StateMessage{PeerOrdinal: 2, PeerMessage: []byte{0, 255}})
	for message := range oldProcess.received {
		if message.PeerMessage == nil {
			continue
		}
		if message.PeerOrdinal != 2 || string(message.PeerMessage) != "\x00\xff" {
			t.Errorf("message from the new process: %+v, want the datagram of peer 2", message)
		}
		return
	}
}

// Open returns an error if the directory of the socket does not exist.
func TestOpenWithoutDirectory(t *testing.T) {
	if _, _, err := Open(filepath.Join(t.TempDir(), "none", "x.sock"), Callbacks{}); err == nil {
		t.Error("Open returned no error")
	}
}
