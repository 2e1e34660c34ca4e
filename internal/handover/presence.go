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
	// checkInterval is the time between two reads of the system's list of sockets. With a larger value, two processes
	// that are not connected both use the whole limits for longer. With a smaller value, reading the list costs more
	// processor time.
	checkInterval = 50 * time.Millisecond
	// absentAfter is the time without another listener after which the other process is considered ended. A process
	// closes its listener first and continues to send requests for a while. With a smaller value, the two processes
	// exceed a limit together. With a larger value, the remaining process uses only half of the limit for longer.
	absentAfter = 500 * time.Millisecond
	// socketListPath is the kernel's list of TCP sockets over IPv4. According to the kernel's documentation, listening
	// sockets come first.
	socketListPath = "/proc/net/tcp"
	// stateListen is the state of a listening socket in the list.
	stateListen = "0A"
)

// errNotIPv4 is returned for an address that cannot be in the list of sockets.
var errNotIPv4 = errors.New("not an IPv4 address and port")

// Presence says whether another process listens at the same address.
type Presence int

// The values of Presence.
const (
	Unknown Presence = iota // the system's list cannot be read, or lacks this process's own listener
	Present                 // another process listens, or may have listened less than absentAfter ago
	Absent                  // no other process has listened for absentAfter
)

// PresenceWatcher reports whether another process listens at an address, according to the system's list of sockets. It
// does not depend on messages from the other process, so it also detects a process that hangs. It is not safe for
// concurrent use.
type PresenceWatcher struct {
	address  string
	openList func() (io.ReadCloser, error)
	lastSeen time.Time // when another listener was last seen, or the first check of a series; zero before it
}

// NewPresenceWatcher returns a watcher for an address at which this process listens.
func NewPresenceWatcher(address string) *PresenceWatcher {
	openList := func() (io.ReadCloser, error) { return os.Open(socketListPath) }
	return &PresenceWatcher{address: address, openList: openList}
}

// Check reads the list of sockets and returns the result at the time now.
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
	defer func() { _ = list.Close() }() // the list was only read
	return listenersAt(list, w.address)
}

// Run checks once per checkInterval while enabled returns true, and calls notify on each change of the result, until
// ctx ends. Before the first call of notify the caller must assume Unknown.
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

// kernelAddress formats an address as the kernel's list does: in hexadecimal, with the IP address in the machine's byte
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

// parseSocket parses a row of the kernel's list. It returns false for the heading.
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
