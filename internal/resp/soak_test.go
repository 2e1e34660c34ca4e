package resp

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

const (
	soakTimeout = 300 * time.Millisecond // of each request
	soakSlack   = 3 * time.Second        // for a slow machine
)

// soakSizes are the sizes in bytes of the commands' bodies and of the nodes' values.
var soakSizes = []int{10, smallBytes + 1, 20 << 10, maxValueBytes, maxValueBytes + 5000}

// soakCommand is a command with the size of its value, 0 for a node that hangs.
type soakCommand struct {
	id   string // empty for a greeting
	size int
	text string
}

// answerSoak answers a command as a node does. The request's ID ends with the size of the value.
func answerSoak(conn net.Conn, cmd redcon.Command) bool {
	id := string(cmd.Args[argID])
	size, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:])
	if size == 0 {
		return true
	}
	value := soakValue(id, size)
	_, err := fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	return err == nil
}

func soakValue(id string, size int) string { return id + strings.Repeat("v", size) }

// drawSoakCommand draws a command: mostly a read or a write, sometimes a greeting or a request to a node that hangs.
func drawSoakCommand(rng *rand.Rand, name string) soakCommand {
	size := soakSizes[rng.IntN(len(soakSizes))]
	switch rng.IntN(10) {
	case 0:
		return soakCommand{text: pingText}
	case 1:
		size = 0
	}
	c := soakCommand{id: fmt.Sprint(name, "-", size), size: size}
	options := option("d=480", fmt.Sprint("d=", soakTimeout.Milliseconds()))
	c.text = bulk(commandRead, testKey, c.id, options)
	if body := soakSizes[rng.IntN(len(soakSizes)-1)]; rng.IntN(3) == 0 {
		c.text = bulk(commandWrite, testKey, c.id, options, strings.Repeat("b", body))
	}
	return c
}

// readSoakAnswer reads the answer to a command and checks it.
func readSoakAnswer(reader *bufio.Reader, c soakCommand) error {
	line, err := reader.ReadString('\n')
	if err != nil {
		return err
	}
	unserved := line == failedLine || strings.HasPrefix(line, busyPrefix)
	if c.id == "" && line != pongLine || c.id != "" && line[0] != '$' && !unserved {
		return fmt.Errorf("the answer to %.80q is %q", c.text, line)
	}
	if line[0] != '$' {
		return nil
	}
	want := soakValue(c.id, c.size) + lineEnd
	value := make([]byte, len(want))
	if _, err := io.ReadFull(reader, value); err != nil || string(value) != want {
		return fmt.Errorf("the value of %s is wrong or incomplete: %w", c.id, err)
	}
	return nil
}

// soakClient sends pipelines of random commands, and reads the answers quickly, slowly or not to the end.
func soakClient(t *testing.T, address string, rng *rand.Rand, name string) {
	for round := range 8 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		var commands []soakCommand
		for i := range 1 + rng.IntN(maxPipeline+20) {
			commands = append(commands, drawSoakCommand(rng, fmt.Sprint(name, "-", round, "-", i)))
		}
		var sent strings.Builder
		for _, c := range commands {
			sent.WriteString(c.text)
		}
		stopAfter := len(commands)
		if rng.IntN(4) == 0 { // the client leaves, perhaps inside a command
			stopAfter = rng.IntN(len(commands))
		}
		delay := time.Duration(rng.IntN(3)) * time.Millisecond
		go func() { _, _ = io.WriteString(conn, sent.String()) }() // until the client leaves
		reader := bufio.NewReader(conn)
		for _, c := range commands[:stopAfter] {
			_ = conn.SetReadDeadline(time.Now().Add(soakTimeout + soakSlack))
			if err := readSoakAnswer(reader, c); err != nil {
				t.Errorf("%s: %v", name, err)
				break
			}
			time.Sleep(delay)
		}
		_ = conn.Close()
	}
}

// Clients with pipelines of all lengths and sizes, fast and slow, that stay or leave, share a small budget, while some
// requests hang. Each request must get its own answer, in order and in time after the one before. The reserved bytes
// must stay within the budget and the pieces of streams, and nothing may remain at the end.
func TestPipelineSoak(t *testing.T) {
	const clients = 16
	const streams = 8 // connections to the node
	for seed, budgetBytes := range []int{128 << 10, 512 << 10, 4 << 20} {
		t.Run(fmt.Sprint("budget ", budgetBytes), func(t *testing.T) {
			ln := listen(t)
			go serveCommands(ln, func() {}, answerSoak)
			loop := newLoopTo(t, ln.Addr().String())
			server := NewServer(loop, testLimits, 8*clients, 8*clients, budgetBytes, testLogger(t))
			address := serve(t, server)
			var running sync.WaitGroup
			for i := range clients {
				rng := rand.New(rand.NewPCG(uint64(seed), uint64(i)))
				running.Go(func() { soakClient(t, address, rng, fmt.Sprint("c", i)) })
			}
			ended := make(chan struct{})
			go func() {
				running.Wait()
				close(ended)
			}()
			most := 0
			for done := false; !done; {
				most = max(most, server.Budget().Reserved())
				select {
				case <-ended:
					done = true
				case <-time.After(time.Millisecond):
				}
			}
			if most > budgetBytes+streams*pieceBytes {
				t.Errorf("%d bytes were reserved", most)
			}
			eventually(t, longWaitLimit, "nothing remains", func() bool {
				return server.Budget().Reserved() == 0 && server.Count() == 0 && loop.OpenRequests() == 0 &&
					openIDs(server) == 0
			})
			t.Logf("at most %d of %d bytes were reserved; %+v", most, budgetBytes, server.MemoryMetrics())
		})
	}
}
