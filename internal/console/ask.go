package console

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Call calls a console and returns all that it answers, within a span.
func Call(address, call string, within time.Duration) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(conn, call+"\n"); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	text, err := io.ReadAll(conn)
	if err != nil {
		return text, fmt.Errorf("console: %w", err)
	}
	return text, nil
}
