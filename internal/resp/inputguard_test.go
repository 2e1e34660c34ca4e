package resp

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// sendParts writes texts one by one and closes the connection.
func sendParts(t *testing.T, conn net.Conn, parts ...string) {
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			t.Error(err)
		}
	}
	_ = conn.Close()
}

// A connection whose close is requested while it handles a command must check again when it begins to wait for the next
// command, since nothing else wakes it. Therefore the guard must call onWait each time it begins to wait for a command,
// and at no other time.
func TestGuardReportsThatItWaits(t *testing.T) {
	near, far := net.Pipe()
	phases := make(chan readPhase, 8)
	guard := &inputGuard{Conn: near, detached: true}
	guard.onWait = func() { phases <- guard.phase.Load() }
	go sendParts(t, far, pingText[:5], pingText[5:])
	for reader := newCommandReader(guard); ; {
		if _, err := reader.ReadCommand(); err != nil {
			break
		}
		if guard.phase.Load() != takingCommand {
			t.Error("after a command was returned, the phase is not takingCommand")
		}
	}
	close(phases)
	count := 0
	for phase := range phases {
		count++
		if phase != waitingForCommand {
			t.Errorf("onWait was called in phase %d, want waitingForCommand", phase)
		}
	}
	if count != 2 { // before the command and after it, not inside it
		t.Errorf("onWait was called %d times, want 2", count)
	}
}

// While too many requests wait for the processor, onCommand rejects requests. The command reader must call it only with
// a complete command that arrived alone in one read. Input that arrives in parts or together with other input, and
// commands that onCommand does not answer, must be returned completely.
func TestWholeRequestMayBeAnsweredUnread(t *testing.T) {
	request := "*2\r\n$8\r\nBLK.READ\r\n$1\r\nx\r\n"
	for _, test := range []struct {
		name     string
		parts    []string
		rejected int
		passed   string
	}{
		{"one", []string{request}, 1, ""},
		{"two, apart", []string{request, request}, 2, ""},
		{"two at once", []string{request + request}, 0, request + request},
		{"half", []string{request[:9], request[9:]}, 0, request},
		{"a greeting", []string{pingText}, 0, pingText},
		{"one, and half of another", []string{request + request[:7], request[7:], request}, 1, request + request},
	} {
		t.Run(test.name, func(t *testing.T) {
			near, far := net.Pipe()
			rejected := 0
			reader := newCommandReader(&inputGuard{Conn: near, detached: true})
			reader.onCommand = func(raw []byte) bool {
				if !strings.Contains(string(raw), "BLK.") {
					return false
				}
				rejected++
				return true
			}
			go sendParts(t, far, test.parts...)
			var passed []byte
			cmd, err := reader.ReadCommand()
			for ; err == nil; cmd, err = reader.ReadCommand() {
				passed = append(passed, cmd.Raw...)
			}
			if rejected != test.rejected || string(passed) != test.passed || !errors.Is(err, io.EOF) {
				t.Errorf("%d rejected, %q returned, error %v, want %d rejected and %q", rejected, passed, err,
					test.rejected, test.passed)
			}
		})
	}
}
