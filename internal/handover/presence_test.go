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

// scriptedList is a list of sockets that a test sets.
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

// A process started beside another one, and later a third starts and ends. Each time the process is alone only once
// the other's listener has been gone for absentAfter.
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
		{"at the start", 0, own + other + client + own, Present}, // rows behind a connection are not listeners
		{"too soon", absentAfter - 1, own + other + client + own, Present},
		{"in time", 1, own + other + client + own, Absent},
		{"with another", 0, own + own + other, Present},
		{"still with another", absentAfter, own + own + other, Present},
		{"as it goes", 0, own, Present},
		{"soon after it went", absentAfter - 1, own, Present},
		{"after it went", 1, own, Absent},
	} {
		now = now.Add(step.after)
		list.rows = step.rows
		if got := watcher.Check(now); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}

// Nothing is known without a list that shows this process's own listener, also where it was known to be alone before.
func TestPresenceUnknown(t *testing.T) {
	var list scriptedList
	watcher := NewPresenceWatcher(testAddress)
	watcher.openList = list.open
	list.rows = socketRow(testKernel, stateListen)
	now := time.Unix(1000, 0)
	watcher.Check(now)
	now = now.Add(absentAfter)
	if got := watcher.Check(now); got != Absent {
		t.Fatalf("alone: %v, want absent", got)
	}
	for _, step := range []struct {
		name string
		list scriptedList
	}{
		{"only another's listener", scriptedList{rows: socketRow(otherKernel, stateListen)}},
		{"an empty list", scriptedList{}},
		{"no list", scriptedList{rows: socketRow(testKernel, stateListen), err: errors.New("no such file")}},
	} {
		list = step.list
		if got := watcher.Check(now); got != Unknown {
			t.Errorf("%s: %v, want unknown", step.name, got)
		}
	}
	for _, address := range []string{"[::1]:6379", "here"} {
		if got := NewPresenceWatcher(address).Check(now); got != Unknown {
			t.Errorf("%s, which the list does not show: %v, want unknown", address, got)
		}
	}
}

// An address that the list cannot show is a typed error.
func TestListenersAtOtherAddress(t *testing.T) {
	for _, address := range []string{"[::1]:6379", "here"} {
		if _, err := listenersAt(strings.NewReader(""), address); !errors.Is(err, errNotIPv4) {
			t.Errorf("%s: %v", address, err)
		}
	}
}

// countOwnList counts listeners in the system's own list.
func countOwnList(t *testing.T, address string) int {
	t.Helper()
	count, err := NewPresenceWatcher(address).countListeners()
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// The system's own list shows listeners that share an address.
func TestSystemListShowsListeners(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	address := first.Addr().String()
	if n := countOwnList(t, address); n != 1 {
		t.Errorf("%d listeners, want one", n)
	}
	if !AddressInUse(address) {
		t.Error("an address at which somebody listens is free")
	}
	second, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	if n := countOwnList(t, address); n != 2 {
		t.Errorf("%d listeners, want two", n)
	}
	_ = second.Close()
	if n := countOwnList(t, address); n != 1 {
		t.Errorf("%d listeners after one closed", n)
	}
	_ = first.Close()
	if AddressInUse(address) {
		t.Error("an address at which nobody listens is in use")
	}
}
