package handover

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

const heading = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n"

func row(address, state string) string {
	return "   0: " + address + " 00000000:0000 " + state + " 00000000:00000000 00:00000000 00000000 0 0 1127 1\n"
}

// A process that started beside another, or met one later, is not alone until the other's listener has been gone for a while; nor
// where the list says nothing of its own.
func TestAlone(t *testing.T) {
	own, other, client := row("0204007F:18EB", listening), row("0204007F:18EC", listening), row("0204007F:18EB", "01")
	text, broken := "", false
	a := NewPresenceWatcher("127.0.4.2:6379")
	a.list = func() (io.ReadCloser, error) {
		if broken {
			return nil, errors.New("no such file")
		}
		return io.NopCloser(strings.NewReader(heading + text)), nil
	}
	now := time.Unix(1000, 0)
	look := func(what string, want Presence) {
		t.Helper()
		if got := a.Check(now); got != want {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	text = own + other + client + own // what stands behind a connection is none that listens
	look("at the start", Present)
	now = now.Add(quietTime - 1)
	look("too soon", Present)
	now = now.Add(1)
	look("in time", Absent)
	text = own + own + other
	look("with another", Present)
	now = now.Add(quietTime)
	look("still with another", Present)
	text = own
	look("as it goes", Present)
	now = now.Add(quietTime - 1)
	look("soon after it went", Present)
	now = now.Add(1)
	look("after it went", Absent)
	for _, spoil := range []func(){func() { text = other }, func() { text = "" }, func() { text, broken = own, true }} {
		spoil()
		look("without a list of its own listener", Unknown)
	}
	if NewPresenceWatcher("[::1]:6379").Check(now) != Unknown || NewPresenceWatcher("here").Check(now) != Unknown {
		t.Error("something is known of an address that the list does not show")
	}
}

// The system's own list shows listeners that share an address.
func TestAloneSeesListeners(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	count := func() int {
		a := NewPresenceWatcher(first.Addr().String())
		file, err := a.list()
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		n, err := listenersAt(file, a.address)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if n := count(); n != 1 {
		t.Errorf("%d listeners, want one", n)
	}
	if !AddressInUse(first.Addr().String()) {
		t.Error("an address at which somebody listens is free")
	}
	second, err := Listen(first.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if n := count(); n != 2 {
		t.Errorf("%d listeners, want two", n)
	}
	second.Close()
	if n := count(); n != 1 {
		t.Errorf("%d listeners after one went", n)
	}
	first.Close()
	if AddressInUse(first.Addr().String()) {
		t.Error("an address at which nobody listens is taken")
	}
}
