package resp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

const largeBodyBytes = 60 << 10

// largeWrite encodes a write with a value of largeBodyBytes that is within the fixture's limits.
func largeWrite(id string) string {
	return bulk(commandWrite, testKey, id, "c=read,t=plan,d=9000,volume=00000003b4d60021,units=1,shard=0,hosts=1",
		strings.Repeat("b", largeBodyBytes))
}

// While nodes hung, clients with pipelines filled the byte budget with answers that waited behind an unanswered one, and
// requests of other clients waited for the budget without any limit in time. Other clients must be served meanwhile.
func TestPipelinesDoNotDelayOtherClients(t *testing.T) {
	const queued = 30
	const budgetBytes = 1 << 20
	ln := listen(t)
	var answered atomic.Int64
	value := strings.Repeat("v", largeBodyBytes)
	go serveCommands(ln, func() {}, func(conn net.Conn, cmd redcon.Command) bool {
		if string(cmd.Args[argID]) == "hang" {
			return true
		}
		_, err := fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
		answered.Add(1)
		return err == nil
	})
	server := NewServer(newLoopTo(t, ln.Addr().String()), testLimits, 8, 8, budgetBytes, testLogger(t))
	address := serve(t, server)
	t.Cleanup(server.Close)
	options := option("d=480", "d=6000")
	pipeline := dial(t, address, longWaitLimit)
	write(t, pipeline, bulk(commandRead, testKey, "hang", options))
	for i := range queued {
		write(t, pipeline, bulk(commandRead, testKey, fmt.Sprint("queued", i), options))
	}
	eventually(t, waitLimit, "the node has answered the queued requests", func() bool { return answered.Load() == queued })
	const inTime = 2 * time.Second // well before the hanging request fails
	other := dial(t, address, inTime)
	reader := bufio.NewReader(other)
	for i := range 3 {
		write(t, other, bulk(commandRead, testKey, fmt.Sprint("other", i), options))
		expectLine(t, reader, fmt.Sprintf("$%d\r\n", len(value)))
		if _, err := io.CopyN(io.Discard, reader, int64(len(value)+len(lineEnd))); err != nil {
			t.Fatal(err)
		}
	}
}
