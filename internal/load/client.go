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
	// maxAnswerSize is the maximum size of an answer in bytes. It is above the protocol's limit for answers of nodes.
	maxAnswerSize = 16 << 20
	// lineEndSize is the length in bytes of the line end that follows an answer's body.
	lineEndSize = 2
)

// client is a connection that speaks RESP2 like the platform's clients. It carries one request at a time.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	out  []byte // buffer of the command, reused by each request
	used bool   // an answer was received on the connection
}

func newClient(conn net.Conn) *client {
	return &client{conn: conn, in: bufio.NewReader(conn)}
}

// AppendCommand appends a RESP2 command with the given words.
func AppendCommand(to []byte, words ...string) []byte {
	to = fmt.Appendf(to, "*%d\r\n", len(words))
	for _, word := range words {
		to = fmt.Appendf(to, "$%d\r\n%s\r\n", len(word), word)
	}
	return to
}

// exchange sends a request and reads its answer. After an error, the connection cannot be used again.
func (c *client) exchange(t Traffic, a Arrival, number int, until time.Time) (Outcome, error) {
	c.out = appendRequest(c.out[:0], t, a, number)
	_ = c.conn.SetDeadline(until) // fails only on a closed connection, where the write below fails too
	if _, err := c.conn.Write(c.out); err != nil {
		return Lost, err
	}
	outcome, err := c.readAnswer()
	if err == nil {
		c.used = true
	}
	return outcome, err
}

// appendRequest appends the command of a request, a BLK.READ or a BLK.WRITE.
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

// readAnswer reads an answer, either a bulk string or an error, and returns its outcome.
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

// readBody discards the body of a bulk string of the given size.
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
