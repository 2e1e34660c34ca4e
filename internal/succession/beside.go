package succession

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
)

const (
	lookEach   = 50 * time.Millisecond  // between looks: what two processes do without knowing of each other in it stays small
	quietTime  = 500 * time.Millisecond // without another listener, after which its process has ended: the listener goes first
	socketList = "/proc/net/tcp"        // lists all listening sockets first, so the kernel's documentation says
	listening  = "0A"
)

// Alone tells, as far as the system's list of sockets shows, whether this process is the only one that listens at an address. It
// needs no word from the other process, nor its good will: one that hangs still has its listener. It is not safe for concurrent use.
type Alone struct {
	address string
	list    func() (io.ReadCloser, error)
	since   time.Time // when another listener was last seen, or this process's own was not
}

// NewAlone watches an address that this process listens at.
func NewAlone(address string) *Alone {
	return &Alone{address: address, list: func() (io.ReadCloser, error) { return os.Open(socketList) }}
}

// Look tells whether this process is alone, as of now. Where the system's list cannot be read, or lacks this process's own listener,
// it may not be.
func (a *Alone) Look(now time.Time) bool {
	file, err := a.list()
	if err != nil {
		a.since = now
		return false
	}
	defer file.Close()
	count, err := listenersAt(file, a.address)
	if err != nil || count != 1 || a.since.IsZero() {
		a.since = now
	}
	return now.Sub(a.since) >= quietTime
}

// Run looks while it is asked to, and tells of each change until ctx ends. Before it tells anything, this process may not be alone.
func (a *Alone) Run(ctx context.Context, asked func() bool, tell func(alone bool)) {
	tick := time.NewTicker(lookEach)
	defer tick.Stop()
	for told := false; ; {
		if !asked() {
			a.since = time.Time{}
		} else if now := a.Look(time.Now()); now != told {
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
