package handover

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lookEach   = 50 * time.Millisecond  // between looks: what two processes do without knowing of each other in it stays small
	quietTime  = 500 * time.Millisecond // without another listener, after which its process has ended: the listener goes first
	socketList = "/proc/net/tcp"        // lists all listening sockets first, so the kernel's documentation says
	listening  = "0A"
)

// Presence is whether another process listens at the same address.
type Presence int

// What may be known of it.
const (
	Unknown Presence = iota // the system's list cannot be read, or lacks this process's own listener
	Present                 // another process is there, or was a moment ago
	Absent
)

// PresenceWatcher tells, as far as the system's list of sockets shows, whether this process is the only one that listens at an address. It
// needs no word from the other process, nor its good will: one that hangs still has its listener. It is not safe for concurrent use.
type PresenceWatcher struct {
	address string
	list    func() (io.ReadCloser, error)
	since   time.Time // when another listener was last seen
}

// NewPresenceWatcher watches an address that this process listens at.
func NewPresenceWatcher(address string) *PresenceWatcher {
	return &PresenceWatcher{address: address, list: func() (io.ReadCloser, error) { return os.Open(socketList) }}
}

// Check tells what is known now.
func (w *PresenceWatcher) Check(now time.Time) Presence {
	count, err := 0, error(nil)
	file, err := w.list()
	if err == nil {
		count, err = listenersAt(file, w.address)
		file.Close()
	}
	if err != nil || count == 0 {
		w.since = time.Time{}
		return Unknown
	}
	if count > 1 || w.since.IsZero() {
		w.since = now
	}
	if now.Sub(w.since) < quietTime {
		return Present
	}
	return Absent
}

// Run looks while it is asked to, and tells of each change until ctx ends. Before it tells anything, nothing is known.
func (w *PresenceWatcher) Run(ctx context.Context, asked func() bool, tell func(Presence)) {
	tick := time.NewTicker(lookEach)
	defer tick.Stop()
	for told := Unknown; ; {
		if !asked() {
			w.since = time.Time{}
		} else if now := w.Check(time.Now()); now != told {
			told = now
			tell(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// AddressInUse tells whether another process listens at an address, which this one does not yet, or that may not be told. It listens nowhere
// itself: no client meets it.
func AddressInUse(address string) bool {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return true
	}
	family, to := unix.AF_INET6, unix.Sockaddr(&unix.SockaddrInet6{Port: int(at.Port()), Addr: at.Addr().As16()})
	if at.Addr().Is4() {
		family, to = unix.AF_INET, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return true
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // connections that ended do not count
	return unix.Bind(fd, to) != nil
}

// listenersAt counts the sockets that listen at an address, in the kernel's list of TCP sockets over IPv4.
func listenersAt(list io.Reader, address string) (int, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return 0, fmt.Errorf("%q is no address of IPv4", address)
	}
	ip := at.Addr().As4()
	want := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), at.Port())
	lines, count := bufio.NewScanner(list), 0
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasSuffix(fields[0], ":") {
			continue // the heading
		}
		if _, err := strconv.Atoi(strings.TrimSuffix(fields[0], ":")); err != nil {
			continue
		}
		if fields[3] != listening {
			break
		}
		if fields[1] == want {
			count++
		}
	}
	return count, lines.Err()
}
