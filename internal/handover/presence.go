package handover

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// checkInterval is the time between two looks at the system's list of sockets. Higher, two processes that do not
	// know of each other both use a whole limit for longer; lower, reading the list costs processor time.
	checkInterval = 50 * time.Millisecond
	// absentAfter is how long no other listener may be seen before the other process counts as ended: a process
	// closes its listener first and sends for a while after that. Lower, the two exceed a limit together; higher, the
	// survivor keeps to half of the limit for longer.
	absentAfter = 500 * time.Millisecond
	// socketListPath lists all listening sockets of IPv4 first, as the kernel's documentation says.
	socketListPath = "/proc/net/tcp"
	// stateListen is the state of a listening socket in that list.
	stateListen = "0A"
)

// errNotIPv4 is of an address that the list of sockets cannot show.
var errNotIPv4 = errors.New("not an IPv4 address and port")

// Presence is whether another process listens at the same address.
type Presence int

// What may be known of it.
const (
	Unknown Presence = iota // the system's list cannot be read, or lacks this process's own listener
	Present                 // another process is there, or was a moment ago
	Absent
)

// PresenceWatcher reports, as far as the system's list of sockets shows, whether this process is the only one that
// listens at an address. It needs no message from the other process, nor its good will: one that hangs still has its
// listener. It is not safe for concurrent use.
type PresenceWatcher struct {
	address  string
	openList func() (io.ReadCloser, error)
	lastSeen time.Time // when another listener was last seen; at first the time of the first look
}

// NewPresenceWatcher watches an address that this process listens at.
func NewPresenceWatcher(address string) *PresenceWatcher {
	openList := func() (io.ReadCloser, error) { return os.Open(socketListPath) }
	return &PresenceWatcher{address: address, openList: openList}
}

// Check tells what is known now.
func (w *PresenceWatcher) Check(now time.Time) Presence {
	count, err := w.countListeners()
	if err != nil || count == 0 {
		w.lastSeen = time.Time{}
		return Unknown
	}
	if count > 1 || w.lastSeen.IsZero() {
		w.lastSeen = now
	}
	if now.Sub(w.lastSeen) < absentAfter {
		return Present
	}
	return Absent
}

func (w *PresenceWatcher) countListeners() (int, error) {
	list, err := w.openList()
	if err != nil {
		return 0, err
	}
	defer func() { _ = list.Close() }() // it was only read
	return listenersAt(list, w.address)
}

// Run checks while enabled says so, and notifies of each change until ctx ends. Before its first notification nothing
// is known.
func (w *PresenceWatcher) Run(ctx context.Context, enabled func() bool, notify func(Presence)) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	notified := Unknown
	for {
		if !enabled() {
			w.lastSeen = time.Time{}
		} else if current := w.Check(time.Now()); current != notified {
			notified = current
			notify(current)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// listenersAt counts the sockets that listen at an address, in the kernel's list of TCP sockets over IPv4.
func listenersAt(list io.Reader, address string) (int, error) {
	wanted, err := kernelAddress(address)
	if err != nil {
		return 0, err
	}
	count := 0
	lines := bufio.NewScanner(list)
	for lines.Scan() {
		socket, isSocket := parseSocket(lines.Text())
		if !isSocket {
			continue
		}
		if socket.state != stateListen {
			break // all listening sockets come first
		}
		if socket.local == wanted {
			count++
		}
	}
	return count, lines.Err()
}

// kernelAddress writes an address as the kernel's list does: in hexadecimal, the IP address in the machine's byte
// order.
func kernelAddress(address string) (string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		return "", fmt.Errorf("%q: %w", address, errNotIPv4)
	}
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port()), nil
}

// listedSocket is a row of the kernel's list.
type listedSocket struct {
	local string // address and port in hexadecimal
	state string // in hexadecimal
}

// parseSocket reads a row of the kernel's list; false for the heading.
func parseSocket(line string) (listedSocket, bool) {
	const (
		slotField  = 0 // a number and a colon
		localField = 1
		stateField = 3
	)
	fields := strings.Fields(line)
	if len(fields) <= stateField {
		return listedSocket{}, false
	}
	slot, isSlot := strings.CutSuffix(fields[slotField], ":")
	if !isSlot {
		return listedSocket{}, false
	}
	if _, err := strconv.Atoi(slot); err != nil {
		return listedSocket{}, false
	}
	return listedSocket{local: fields[localField], state: fields[stateField]}, true
}
