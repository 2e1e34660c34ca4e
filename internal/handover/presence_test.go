package handover

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

const (
	testAddress  = "127.0.4.2:6379"
	testKernel   = "0204007F:18EB" // testAddress in the kernel's list
	otherKernel  = "0204007F:18EC"
	stateConnect = "01"
	listHeading  = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n"
)

// socketRow is a row of the kernel's list.
func socketRow(address, state string) string {
	return "   0: " + address + " 00000000:0000 " + state + " 00000000:00000000 00:00000000 00000000 0 0 1127 1\n"
}

// scriptedList is a fake list of sockets.
type scriptedList struct {
	rows string
	err  error
}

func (l *scriptedList) open() (io.ReadCloser, error) {
	if l.err != nil {
		return nil, l.err
	}
	return io.NopCloser(strings.NewReader(listHeading + l.rows)), nil
}

// The other process is Absent only once no other listener has been seen for absentAfter: after the first check, and
// again after another listener has been seen.
func TestPresenceOfOtherProcess(t *testing.T) {
	var list scriptedList
	watcher := NewPresenceWatcher(testAddress)
	watcher.openList = list.open
	own := socketRow(testKernel, stateListen)
	other := socketRow(otherKernel, stateListen)
	client := socketRow(testKernel, stateConnect)
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		name  string
		after time.Duration
		rows  string
		want  Presence
	}{
		{"at the start", 0, own + other + client + own, Present}, // rows after a connection are not listeners
		{"before absentAfter", absentAfter - 1, own + other + client + own, Present},
		{"after absentAfter", 1, own + other + client + own, Absent},
		{"with another listener", 0, own + own + other, Present},
		{"still with another listener", absentAfter, own + own + other, Present},
		{"when the listener closed", 0, own, Present},
		{"before absentAfter since the close", absentAfter - 1, own, Present},
		{"after absentAfter since the close", 1, own, Absent},
	} {
		now = now.Add(step.after)
		list.rows = step.rows
		if got := watcher.Check(now); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}

// The result is Unknown if the list cannot be read or does not contain this process's own listener, even if the result
// before was Absent.
func TestPresenceUnknown(t *testing.T) {
	var list scriptedList
	watcher := NewPresenceWatcher(testAddress)
	watcher.openList = list.open
	list.rows = socketRow(testKernel, stateListen)
	now := time.Unix(1000, 0)
	watcher.Check(now)
	now = now.Add(absentAfter)
	if got := watcher.Check(now); got != Absent {
		t.Fatalf("without another listener: %v, want absent", got)
	}
	for _, step := range []struct {
		name string
		list scriptedList
	}{
		{"only another address", scriptedList{rows: socketRow(otherKernel, stateListen)}},
		{"empty list", scriptedList{}},
		{"no list", scriptedList{rows: socketRow(testKernel, stateListen), err: errors.New("no such file")}},
	} {
		list = step.list
		if got := watcher.Check(now); got != Unknown {
			t.Errorf("%s: %v, want unknown", step.name, got)
		}
	}
	for _, address := range []string{"[::1]:6379", "here"} {
		if got := NewPresenceWatcher(address).Check(now); got != Unknown {
			t.Errorf("address %s, which cannot be in the list: %v, want unknown", address, got)
		}
	}
}

// listenersAt returns errNotIPv4 for an address that cannot be in the list.
func TestListenersAtOtherAddress(t *testing.T) {
	for _, address := range []string{"[::1]:6379", "here"} {
		if _, err := listenersAt(strings.NewReader(""), address); !errors.Is(err, errNotIPv4) {
			t.Errorf("address %s: error %v, want errNotIPv4", address, err)
		}
	}
}

// countOwnList counts the listeners at an address in the system's list.
func countOwnList(t *testing.T, address string) int {
	t.Helper()
	count, err := NewPresenceWatcher(address).countListeners()
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// The system's list contains all listeners that share an address.
func TestSystemListShowsListeners(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	address := first.Addr().String()
	if n := countOwnList(t, address); n != 1 {
		t.Errorf("%d listeners, want 1", n)
	}
	if !AddressInUse(address) {
		t.Error("an address with a listener is reported as free")
	}
	second, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	if n := countOwnList(t, address); n != 2 {
		t.Errorf("%d listeners, want 2", n)
	}
	_ = second.Close()
	if n := countOwnList(t, address); n != 1 {
		t.Errorf("%d listeners after one closed, want 1", n)
	}
	_ = first.Close()
	if AddressInUse(address) {
		t.Error("an address without a listener is reported as in use")
	}
}
