package console

import (
	"fmt"
	"io"
	"net"
	"time"
)

// dialTimeout bounds the connection to a console, which is on this machine or near it. Higher, a command takes longer
// to say that no broker runs; lower, it says so of a busy one.
const dialTimeout = time.Second

// Call makes a call at a console and returns the whole answer, within a timeout.
func Call(address, call string, timeout time.Duration) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	defer func() { _ = conn.Close() }() // the answer has come, or an error says why not
	setDeadline(conn, timeout)
	if _, err := io.WriteString(conn, call+"\n"); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		return answer, fmt.Errorf("console: %w", err)
	}
	return answer, nil
}
