package load

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// maxAnswerSize is the largest answer in bytes that is read: above what the protocol lets a node send.
	maxAnswerSize = 16 << 20
	// lineEndSize is the length in bytes of the line end behind an answer's body.
	lineEndSize = 2
)

// client is a connection that speaks RESP2 as the platform's clients do. One request uses it at a time.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	out  []byte // reused for each command
	used bool   // it has had an answer
}

func newClient(conn net.Conn) *client {
	return &client{conn: conn, in: bufio.NewReader(conn)}
}

// AppendCommand appends a RESP2 command of these words.
func AppendCommand(to []byte, words ...string) []byte {
	to = fmt.Appendf(to, "*%d\r\n", len(words))
	for _, word := range words {
		to = fmt.Appendf(to, "$%d\r\n%s\r\n", len(word), word)
	}
	return to
}

// exchange sends a request and reads its answer. With an error the connection cannot be used again.
func (c *client) exchange(t Traffic, a Arrival, number int, until time.Time) (Outcome, error) {
	c.out = appendRequest(c.out[:0], t, a, number)
	_ = c.conn.SetDeadline(until) // fails on a closed connection only, as the write below does
	if _, err := c.conn.Write(c.out); err != nil {
		return Lost, err
	}
	outcome, err := c.readAnswer()
	if err == nil {
		c.used = true
	}
	return outcome, err
}

// appendRequest appends the command of a request.
func appendRequest(to []byte, t Traffic, a Arrival, number int) []byte {
	class := t.Classes[a.Class]
	options := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%016x,units=%d,shard=%d,hosts=%d",
		class.Name, t.Plans[a.Plan], class.Deadline.Milliseconds(), a.Volume, a.Units, a.Shard, max(1, t.Brokers))
	key := fmt.Sprintf("%016x", a.Key)
	id := fmt.Sprintf("%08x%08x", uint32(t.Seed), number)
	if class.Write {
		return AppendCommand(to, "BLK.WRITE", key, id, options, "BODY")
	}
	return AppendCommand(to, "BLK.READ", key, id, options)
}

// readAnswer reads an answer: a bulk string, or an error.
func (c *client) readAnswer() (Outcome, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return Lost, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "$"):
		return c.readBody(line[1:])
	case strings.HasPrefix(line, "-BUSY"):
		return Rejected, nil
	}
	return Failed, nil
}

// readBody reads past a bulk string of a size.
func (c *client) readBody(sizeText string) (Outcome, error) {
	size, err := strconv.Atoi(sizeText)
	if err != nil || size < 0 || size > maxAnswerSize {
		return Failed, err
	}
	if _, err := c.in.Discard(size + lineEndSize); err != nil {
		return Lost, err
	}
	return Served, nil
}
