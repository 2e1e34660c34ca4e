package console

import (
	"fmt"
	"io"
	"net"
	"time"
)

// dialTimeout bounds the time to connect to a console, which is on the same machine or near it. With a larger value, a
// command takes longer to report that no broker is running. With a smaller value, a command reports this wrongly for a
// busy broker.
const dialTimeout = time.Second

// Call makes a call to the console at address and returns the whole answer. The timeout bounds the time from the
// connection to the end of the answer.
func Call(address, call string, timeout time.Duration) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	defer func() { _ = conn.Close() }() // the answer is complete, or an error is returned
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
